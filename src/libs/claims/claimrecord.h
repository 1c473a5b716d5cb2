#pragma once

#include "keydigest.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

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

/// `owner` asks to execute the request with this key. Takes effect if the key is free at its offset.
struct Claimed {
    std::string owner;
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

struct ClaimRecord {
    ClaimId claim;
    std::variant<Claimed, Released, Completed, Uncertain> event;

    bool operator==(const ClaimRecord &) const = default;
};

/// A record as it is appended to the log.
struct EncodedRecord {
    std::string id; ///< the same for each try to append it
    std::string data;
};

EncodedRecord encode(const ClaimRecord &record);

/// Nothing when `data` is damaged or of an unknown kind; every reader skips the same ones.
std::optional<ClaimRecord> decode(std::string_view data);

} // namespace Claims
