#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Gateway
{

/// Response header with the Base::Verdict of a request that failed.
constexpr std::string_view VerdictHeader = "Rhubarbcrank-Verdict";

/// Request header: milliseconds that the caller will wait.
constexpr std::string_view DeadlineHeader = "Rhubarbcrank-Deadline-Ms";

/// Request header: `batch` or `urgent`; lowers or raises the service's priority for this request.
constexpr std::string_view PriorityHeader = "Rhubarbcrank-Priority";

constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view TraceParentHeader = "traceparent";

/// Bodies travel between duties in pieces of at most this size.
constexpr std::size_t ChunkBytes = 16384;

/// Pieces of one body that may be under way between two duties.
constexpr std::uint32_t ChunkWindow = 2;

/// Messages of one exchange that can be in a ring at once: head or end, body pieces, credits.
constexpr std::size_t MessagesPerExchange = 2 * ChunkWindow + 3;

} // namespace Gateway
