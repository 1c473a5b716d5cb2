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

/// Identifies a planned action. It is derived from the offset at which the action was decided, so a repeated
/// decision gets the same ID.
struct ActionTag;
using ActionId = Base::StrongName<ActionTag>;

/// The phase of an instance according to the log. The transitions are defined in
/// share/rhubarbcrank/charts/instance.ini.
enum class InstancePhase {
    Serving, ///< receives requests of its pool
    Draining, ///< receives no new requests; completes those in flight
    Rebooting, ///< drained; a reboot was requested from the platform
    Failed, ///< ejected by the platform or after a failed reboot
};

struct InstanceState {
    Document::Instance declared;
    InstancePhase phase = InstancePhase::Serving;
    Base::PoolName pool; ///< the pool it is assigned to at this offset
    std::optional<ActionId> action; ///< the open move or maintenance

    bool operator==(const InstanceState &) const = default;
};

enum class MovePhase { Draining, Committed, Aborted };

/// The move of an instance between two pools. The instance stays in `from` until the move is committed.
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

/// The maintenance of one instance during a wave; open until MaintenanceEnded.
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

/// The exclusive right to take planner decisions for one zone. Records under an older term are ignored.
struct PlannerLease {
    Base::AvailabilityZoneName zone;
    Base::MemberName holder;
    Offset term; ///< offset of the PlannerClaimed record

    bool operator==(const PlannerLease &) const = default;
};

/// An entry instance that is a member of the zone's group.
struct Member {
    Base::MemberName name;
    Base::AvailabilityZoneName zone;
    Offset joinedAt;
    Offset documentInForce; ///< the latest common offset that its records report as applied

    bool operator==(const Member &) const = default;
};

/// The replicated state of one availability zone: a pure function of the common stream up to
/// `commonAppliedTo` and of the zone's stream up to `appliedTo`, however the two were interleaved.
struct FleetState {
    Base::AvailabilityZoneName zone;
    Offset appliedTo; ///< of the zone's stream
    Offset commonAppliedTo;
    Offset causalOffset; ///< the highest `documentOffset` of the applied zone records
    Offset documentOffset; ///< of the last accepted edit
    Document::Document document;
    std::map<Base::InstanceName, InstanceState> instances; ///< of this zone
    std::map<ActionId, Move> moves; ///< open moves
    std::map<ActionId, Maintenance> maintenances; ///< open maintenances
    std::map<ActionId, Wave> waves; ///< the latest of each zone
    std::map<Base::AvailabilityZoneName, PlannerLease> planners;
    std::map<Base::MemberName, Member> members;
    Offset membershipChangedAt; ///< offset of the latest record that added or removed a member
    RecordWindow recentCommon; ///< IDs of the latest records of the common stream
    RecordWindow recentZone; ///< IDs of the latest records of the zone's stream
    UnknownFields unknownFields; ///< of the document and of the initial snapshot

    bool operator==(const FleetState &) const = default;
};

/// The current term of the planner's lease of the state's zone; 0 if the lease was never claimed.
Offset currentTerm(const FleetState &state);

/// True if `acknowledgedBy` contains every member.
bool isAcknowledgedByAll(const FleetState &state, const std::set<Base::MemberName> &acknowledgedBy);

/// True if the document declares the pool. The document's lists are sorted by name.
bool hasPool(const Document::Document &document, const Base::PoolName &pool);

/// The declaration of an instance, or null if there is none. The document's lists are sorted by name.
const Document::Instance *findInstance(const Document::Document &document, const Base::InstanceName &name);

} // namespace Fleet
