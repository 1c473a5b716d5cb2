#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace Claims
{

/// Identifies one idempotency key of one service: the XXH3-128 hash of both.
struct KeyDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const KeyDigest &) const = default;
};

KeyDigest digestOf(std::string_view service, std::string_view key);

/// XXH3-64 hash of the parts that identify a request, such as method, path and body. Each part is hashed with
/// its length, so that moving bytes from one part to the next changes the hash.
std::uint64_t fingerprintOf(std::span<const std::string_view> parts);

/// For hash tables; the bits of a digest are already uniformly distributed.
struct KeyDigestHash {
    std::size_t operator()(const KeyDigest &digest) const noexcept
    {
        return digest.low;
    }
};

} // namespace Claims
