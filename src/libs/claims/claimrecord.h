#pragma once

#include "keydigest.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Claims
{

/// A position in the stream of claims. The first record is at 1.
using Offset = std::uint64_t;

/// Names one claim of one member; a member never uses one twice.
struct ClaimId {
    std::uint64_t owner = 0; ///< XXH3-64 of the member's name
    std::uint64_t sequence = 0;

    auto operator<=>(const ClaimId &) const = default;
};

std::uint64_t ownerOf(std::string_view member);

/// The owner asks to execute the request with this key. Takes effect if the key is free by then.
struct Claimed {
    KeyDigest key;
    std::uint64_t fingerprint = 0;

    bool operator==(const Claimed &) const = default;
};

/// The request was not run, and won't be under this claim: frees the key.
struct Released {
    bool operator==(const Released &) const = default;
};

/// The request ran and was answered.
struct Completed {
    std::uint16_t status = 0; ///< HTTP status
    std::optional<std::string> answer; ///< nothing when it was too large to keep

    bool operator==(const Completed &) const = default;
};

/// The request may have run; nobody will ever know more.
struct Uncertain {
    bool operator==(const Uncertain &) const = default;
};

/// A claim has one event that begins it and at most one that ends it. Either may be in the log several times.
struct ClaimEvent {
    ClaimId claim;
    std::variant<Claimed, Released, Completed, Uncertain> kind;

    bool operator==(const ClaimEvent &) const = default;
};

bool opensClaim(const ClaimEvent &event);

/// One record of the log: events of one member, in their order.
std::string encode(std::string_view member, std::span<const ClaimEvent> events);

/// Nothing when `data` is damaged or of an unknown kind; every reader skips the same records.
std::optional<std::vector<ClaimEvent>> decode(std::string_view data);

} // namespace Claims
