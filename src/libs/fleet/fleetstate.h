#pragma once

#include <base/names.h>
#include <document/document.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fleet
{

/// A position in a stream of the log. The first record is at 1; 0 is before all of them.
struct OffsetTag;
using Offset = Base::StrongId<OffsetTag>;

/// Names one planned action; made from the offset that decided it, so that a repeat is the same action.
struct ActionTag;
using ActionId = Base::StrongName<ActionTag>;

/// The life of an instance as the record has it; share/rhubarbcrank/charts/instance.ini has the transitions.
enum class InstancePhase {
    Serving, ///< gets requests of its pool
    Draining, ///< gets no new work; finishes what it has
    Rebooting, ///< drained, the platform was asked to reboot it
    Failed, ///< ejected by the platform or after a failed reboot
};

struct InstanceState {
    Document::Instance declared;
    InstancePhase phase = InstancePhase::Serving;
    Base::PoolName pool; ///< the one pool it belongs to at this offset
    std::optional<ActionId> action; ///< the move or maintenance it is in

    bool operator==(const InstanceState &) const = default;
};

enum class MovePhase { Draining, Committed, Aborted };

/// An instance on its way from one pool to another. It belongs to `from` until the move is committed.
struct Move {
    ActionId id;
    Base::InstanceName instance;
    Base::PoolName from;
    Base::PoolName to;
    MovePhase phase = MovePhase::Draining;
    Offset startedAt;
    std::set<Base::MemberName> acknowledgedBy;

    bool operator==(const Move &) const = default;
};

/// The planned stop of one instance for a wave. How far it got is the instance's phase.
struct Maintenance {
    ActionId id;
    ActionId wave;
    Base::InstanceName instance;
    Offset startedAt;
    std::set<Base::MemberName> acknowledgedBy;

    bool operator==(const Maintenance &) const = default;
};

enum class WavePhase { Running, Stopped, Finished };

/// One maintenance wave of one availability zone.
struct Wave {
    ActionId id;
    std::uint64_t number = 0; ///< Document::Maintenance::waveNumber
    Base::AvailabilityZoneName zone;
    WavePhase phase = WavePhase::Running;
    std::string stopReason;
    std::set<Base::InstanceName> done;
    std::set<Base::InstanceName> failed;

    bool operator==(const Wave &) const = default;
};

/// The right to decide for one zone. Records under an older term are ignored.
struct PlannerLease {
    Base::AvailabilityZoneName zone;
    Base::MemberName holder;
    Offset term; ///< offset of the claim

    bool operator==(const PlannerLease &) const = default;
};

/// An entry instance that takes part.
struct Member {
    Base::MemberName name;
    Base::AvailabilityZoneName zone;
    Offset joinedAt;
    Offset documentInForce; ///< the last edit it said it has in force

    bool operator==(const Member &) const = default;
};

/// What the records up to `appliedTo` say; a pure function of them.
struct FleetState {
    Offset appliedTo;
    Offset documentOffset; ///< of the last accepted edit
    Document::Document document;
    std::map<Base::InstanceName, InstanceState> instances;
    std::map<ActionId, Move> moves; ///< open ones
    std::map<ActionId, Maintenance> maintenances; ///< open ones
    std::map<ActionId, Wave> waves; ///< the latest of each zone
    std::map<Base::AvailabilityZoneName, PlannerLease> planners;
    std::map<Base::MemberName, Member> members;

    bool operator==(const FleetState &) const = default;
};

} // namespace Fleet
