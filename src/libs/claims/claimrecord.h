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

/// A position in the stream of claim records. The first record has offset 1.
using Offset = std::uint64_t;

/// Identifies one claim of one member. A member never reuses an id.
struct ClaimId {
    std::uint64_t owner = 0; ///< XXH3-64 of the member's name
    std::uint64_t sequence = 0;

    auto operator<=>(const ClaimId &) const = default;
};

std::uint64_t ownerOf(std::string_view member);

/// The owner claims the right to execute the request with this key. Takes effect if the key is free when the
/// event is applied.
struct Claimed {
    KeyDigest key;
    std::uint64_t fingerprint = 0;

    bool operator==(const Claimed &) const = default;
};

/// The request was not run and will not be run under this claim. Frees the key.
struct Released {
    bool operator==(const Released &) const = default;
};

/// The request ran and was answered.
struct Completed {
    std::uint16_t status = 0; ///< HTTP status
    std::optional<std::string> answer; ///< empty if it was too large to store

    bool operator==(const Completed &) const = default;
};

/// The request may have run; its outcome can no longer be determined.
struct Uncertain {
    bool operator==(const Uncertain &) const = default;
};

/// A claim is opened by one event and ended by at most one other event. Both may be in the log several times.
struct ClaimEvent {
    ClaimId claim;
    std::variant<Claimed, Released, Completed, Uncertain> kind;

    bool operator==(const ClaimEvent &) const = default;
};

bool opensClaim(const ClaimEvent &event);

/// Encodes events of one member, in order, as one record of the log.
std::string encode(std::string_view member, std::span<const ClaimEvent> events);

/// Returns nothing if `data` is corrupt or contains an event of an unknown kind. The result depends on `data`
/// only, so all readers skip the same records.
std::optional<std::vector<ClaimEvent>> decode(std::string_view data);

} // namespace Claims
