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

/// An edit of the document; accepted only if `base` is still the last accepted edit at its own offset.
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
    Offset previousTerm; ///< the term it saw; the claim fails when that is no longer the current one

    bool operator==(const PlannerClaimed &) const = default;
};

/// What the planner saw when it took the decisions that follow it with the same term.
struct PlannerObserved {
    Observations observations;
    Offset zoneOffset; ///< of the zone's stream, up to which the planner had folded it for this pass
    PlannerMemory memory; ///< as it was before this pass

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

/// `member` sends the instance no more work and has none in flight there.
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

/// Begins to drain one instance for the wave.
struct MaintenanceStarted {
    ActionId id;
    ActionId wave;
    Base::InstanceName instance;
    std::string reason;

    bool operator==(const MaintenanceStarted &) const = default;
};

/// All members acknowledged the drain; the platform is asked to reboot the instance under this action's id.
struct RebootRequested {
    ActionId id;

    bool operator==(const RebootRequested &) const = default;
};

/// Ends a maintenance. While the instance drains it serves again, whatever the result; after the reboot was
/// asked for, it serves again when successful and is failed otherwise. Only the latter counts as a failure
/// of the wave.
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

/// The whole state, written before the log drops the records it replaces.
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
    std::string id; ///< unique; a record appended twice counts once
    Base::MemberName author; ///< empty for an operator
    Offset term; ///< of the planner that decided it; 0 for what is no planner's decision
    Offset documentOffset; ///< of the common stream, up to which the author had folded it
    Event event;
    std::string unknownFields; ///< what a newer version wrote besides; encoded

    bool operator==(const Record &) const = default;
};

} // namespace Fleet
