#pragma once

#include <base/names.h>
#include <fleet/observations.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Peering
{

/// Which member of which environment and zone speaks.
struct PeerIdentity {
    Base::EnvironmentName environment;
    Base::AvailabilityZoneName zone;
    Base::MemberName member;
    std::string address; ///< where it listens for peers, "IP:port"

    bool operator==(const PeerIdentity &) const = default;
};

struct InstanceLoad {
    Base::InstanceName instance;
    std::uint32_t inFlight = 0; ///< requests of this member
    bool isEjected = false;

    bool operator==(const InstanceLoad &) const = default;
};

/// What one member sees of its zone.
struct PeerReport {
    PeerIdentity from;
    std::uint64_t commonOffset = 0; ///< folded up to here
    std::uint64_t zoneOffset = 0;
    std::uint64_t documentOffset = 0;
    std::vector<Fleet::PoolDemand> demands;
    std::vector<InstanceLoad> instances; ///< those with load, or ejected

    bool operator==(const PeerReport &) const = default;
};

struct PeerEntry {
    std::uint64_t offset = 0;
    std::string data;

    bool operator==(const PeerEntry &) const = default;
};

/// The state that one member has folded, as records.
struct PeerState {
    PeerIdentity from;
    std::string snapshot; ///< an encoded Fleet::SnapshotTaken
    std::vector<PeerEntry> commonEntries; ///< of the common stream, after what the snapshot covers

    bool operator==(const PeerState &) const = default;
};

} // namespace Peering
