#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace Claims
{

/// Stands for one idempotency key of one service: XXH3-128 of both.
struct KeyDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const KeyDigest &) const = default;
};

KeyDigest digestOf(std::string_view service, std::string_view key);

/// XXH3-64 of what makes two requests the same one, such as method, path and body. Each part counts with
/// its length, so that parts can't run into each other.
std::uint64_t fingerprintOf(std::span<const std::string_view> parts);

/// For hash tables; the digest's bits are spread already.
struct KeyDigestHash {
    std::size_t operator()(const KeyDigest &digest) const noexcept
    {
        return digest.low;
    }
};

} // namespace Claims
