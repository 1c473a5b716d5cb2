#pragma once

#include "offset.h"
#include "recordwindow.h"
#include "unknownfields.h"

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

enum class MaintenancePhase { Draining, Rebooting };

/// One instance on its way through a maintenance wave; open until MaintenanceEnded.
struct Maintenance {
    ActionId id;
    ActionId wave;
    Base::InstanceName instance;
    MaintenancePhase phase = MaintenancePhase::Draining;
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

/// What the records say to the members of one availability zone: a pure function of the common stream up to
/// `commonAppliedTo` and the zone's stream up to `appliedTo`, in whatever order these two were read.
struct FleetState {
    Base::AvailabilityZoneName zone;
    Offset appliedTo; ///< of the zone's stream
    Offset commonAppliedTo;
    Offset causalOffset; ///< the furthest that an applied zone record says its author had folded the common
                         ///< stream
    Offset documentOffset; ///< of the last accepted edit
    Document::Document document;
    std::map<Base::InstanceName, InstanceState> instances; ///< of this zone
    std::map<ActionId, Move> moves; ///< open ones
    std::map<ActionId, Maintenance> maintenances; ///< open ones
    std::map<ActionId, Wave> waves; ///< the latest of each zone
    std::map<Base::AvailabilityZoneName, PlannerLease> planners;
    std::map<Base::MemberName, Member> members;
    Offset membershipChangedAt; ///< of the record that last added or removed a member
    RecordWindow recentCommon; ///< ids of the latest records of the common stream
    RecordWindow recentZone; ///< ids of the latest records of the zone's stream
    UnknownFields unknownFields; ///< of the document and of the snapshot it began with

    bool operator==(const FleetState &) const = default;
};

/// The term under which planner records of the state's zone count; 0 when nobody has claimed it yet.
Offset currentTerm(const FleetState &state);

/// True when every member is among `acknowledgedBy`.
bool isAcknowledgedByAll(const FleetState &state, const std::set<Base::MemberName> &acknowledgedBy);

/// True when the document declares the pool.
bool hasPool(const Document::Document &document, const Base::PoolName &pool);

/// The declaration of an instance; null when there is none. The document's lists are sorted by name.
const Document::Instance *findInstance(const Document::Document &document, const Base::InstanceName &name);

} // namespace Fleet
