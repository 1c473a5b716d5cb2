#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Gateway
{

/// Response header: the Base::Verdict of a request that failed.
constexpr std::string_view VerdictHeader = "Rhubarbcrank-Verdict";

/// Request header: the time in milliseconds that the caller waits for the response.
constexpr std::string_view DeadlineHeader = "Rhubarbcrank-Deadline-Ms";

/// Request header: `interactive`, `urgent` or `batch`; overrides the service's priority for this request.
constexpr std::string_view PriorityHeader = "Rhubarbcrank-Priority";

constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view TraceParentHeader = "traceparent";

/// Maximum size of the chunks in which bodies are passed between the caller side and the target side.
constexpr std::size_t ChunkBytes = 16384;

/// Flow-control window: the maximum number of unacknowledged chunks of one body.
constexpr std::uint32_t ChunkWindow = 2;

/// Maximum number of messages of one exchange in a ring: head or end, body chunks, credits.
constexpr std::size_t MessagesPerExchange = 2 * ChunkWindow + 3;

} // namespace Gateway
