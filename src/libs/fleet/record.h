#pragma once

#include "fleetstate.h"
#include "observations.h"
#include "plannermemory.h"

#include <document/delta.h>

#include <string>
#include <variant>
#include <vector>

namespace Fleet
{

// Records of the common stream: one for each environment.

/// An edit of the document. It is accepted only if `base` is the offset of the latest accepted edit.
struct EditProposed {
    Offset base;
    std::string author;
    std::string comment;
    Document::Delta delta;
    UnknownFields unknownFields; ///< of the delta

    bool operator==(const EditProposed &) const = default;
};

// Records of a zone's stream.

struct MemberJoined {
    Base::MemberName member;
    Base::AvailabilityZoneName zone;

    bool operator==(const MemberJoined &) const = default;
};

struct MemberLeft {
    Base::MemberName member;
    std::string reason;

    bool operator==(const MemberLeft &) const = default;
};

/// Claims the planner's lease of the zone; the record's own offset becomes the term.
struct PlannerClaimed {
    Base::AvailabilityZoneName zone;
    Base::MemberName holder;
    Offset previousTerm; ///< the claim is refused unless this is the current term

    bool operator==(const PlannerClaimed &) const = default;
};

/// The planner's input for the decisions that follow this record under the same term.
struct PlannerObserved {
    Observations observations;
    Offset zoneOffset; ///< up to which the planner had applied the zone's stream for this pass
    PlannerMemory memory; ///< before this pass

    bool operator==(const PlannerObserved &) const = default;
};

struct MoveStarted {
    ActionId id;
    Base::InstanceName instance;
    Base::PoolName from;
    Base::PoolName to;
    std::string reason;

    bool operator==(const MoveStarted &) const = default;
};

/// `member` sends no more requests to the instance and has none in flight there.
struct DrainAcknowledged {
    ActionId id;
    Base::MemberName member;

    bool operator==(const DrainAcknowledged &) const = default;
};

struct MoveCommitted {
    ActionId id;

    bool operator==(const MoveCommitted &) const = default;
};

struct MoveAborted {
    ActionId id;
    std::string reason;

    bool operator==(const MoveAborted &) const = default;
};

struct WaveStarted {
    ActionId id;
    std::uint64_t number = 0;
    Base::AvailabilityZoneName zone;
    std::string reason;

    bool operator==(const WaveStarted &) const = default;
};

/// Starts to drain an instance for a maintenance wave.
struct MaintenanceStarted {
    ActionId id;
    ActionId wave;
    Base::InstanceName instance;
    std::string reason;

    bool operator==(const MaintenanceStarted &) const = default;
};

/// All members have acknowledged the drain; a reboot is requested from the platform with the action's ID.
struct RebootRequested {
    ActionId id;

    bool operator==(const RebootRequested &) const = default;
};

/// Ends a maintenance. If the reboot was not requested yet, the instance returns to serving whatever the
/// result. After the request, it returns to serving on success and becomes failed otherwise. Only a failure
/// after the request counts as a failure of the wave.
struct MaintenanceEnded {
    ActionId id;
    bool isSuccessful = true;
    std::string reason;

    bool operator==(const MaintenanceEnded &) const = default;
};

struct WaveStopped {
    ActionId id;
    std::string reason;

    bool operator==(const WaveStopped &) const = default;
};

struct WaveFinished {
    ActionId id;

    bool operator==(const WaveFinished &) const = default;
};

struct InstanceFailed {
    Base::InstanceName instance;
    std::string reason;

    bool operator==(const InstanceFailed &) const = default;
};

struct InstanceRecovered {
    Base::InstanceName instance;
    std::string reason;

    bool operator==(const InstanceRecovered &) const = default;
};

/// The complete state, written before the records that it replaces are removed from the log.
struct SnapshotTaken {
    FleetState state;

    bool operator==(const SnapshotTaken &) const = default;
};

using Event = std::variant<EditProposed,
                           MemberJoined,
                           MemberLeft,
                           PlannerClaimed,
                           PlannerObserved,
                           MoveStarted,
                           DrainAcknowledged,
                           MoveCommitted,
                           MoveAborted,
                           WaveStarted,
                           MaintenanceStarted,
                           RebootRequested,
                           MaintenanceEnded,
                           WaveStopped,
                           WaveFinished,
                           InstanceFailed,
                           InstanceRecovered,
                           SnapshotTaken>;

/// One record of the log.
struct Record {
    std::string id; ///< unique; a record appended twice is applied once
    Base::MemberName author; ///< empty for an operator
    Offset term; ///< of the planner; 0 if the record is not a planner's decision
    Offset documentOffset; ///< up to which the author had applied the common stream
    Event event;
    std::string unknownFields; ///< encoded fields that a newer version wrote

    bool operator==(const Record &) const = default;
};

} // namespace Fleet
