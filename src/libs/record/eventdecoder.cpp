#include "decoder_p.h"
#include "lists_p.h"
#include "unknownfields_p.h"

namespace Record::Internal
{

namespace
{

Fleet::PoolDemand readDemand(const Wire::PoolDemand &message)
{
    return {{message.pool()},
            message.busy_slots(),
            message.busy_batch_slots(),
            message.queued_requests(),
            message.queued_batch()};
}

} // namespace

Fleet::Record Decoder::read(const Wire::Record &message)
{
    Fleet::Record record;
    record.id = message.id();
    record.author = {message.author()};
    record.term = {message.term()};
    record.documentOffset = {message.document_offset()};
    record.event = readEvent(message);
    record.unknownFields = unknownFieldsOf(message);
    return record;
}

Fleet::Event Decoder::readEvent(const Wire::Record &message)
{
    switch (message.event_case()) {
    case Wire::Record::kEditProposed:
        return read(message.edit_proposed());
    case Wire::Record::kMemberJoined: {
        const Wire::MemberJoined &it = message.member_joined();
        return Fleet::MemberJoined{{it.member()}, {it.zone()}};
    }
    case Wire::Record::kMemberLeft: {
        const Wire::MemberLeft &it = message.member_left();
        return Fleet::MemberLeft{{it.member()}, it.reason()};
    }
    case Wire::Record::kPlannerClaimed: {
        const Wire::PlannerClaimed &it = message.planner_claimed();
        return Fleet::PlannerClaimed{{it.zone()}, {it.holder()}, {it.previous_term()}};
    }
    case Wire::Record::kPlannerObserved: {
        const Wire::PlannerObserved &it = message.planner_observed();
        return Fleet::PlannerObserved{read(it.observations()), {it.zone_offset()}, read(it.memory())};
    }
    case Wire::Record::kMoveStarted: {
        const Wire::MoveStarted &it = message.move_started();
        return Fleet::MoveStarted{{it.id()}, {it.instance()}, {it.from()}, {it.to()}, it.reason()};
    }
    case Wire::Record::kDrainAcknowledged: {
        const Wire::DrainAcknowledged &it = message.drain_acknowledged();
        return Fleet::DrainAcknowledged{{it.id()}, {it.member()}};
    }
    case Wire::Record::kMoveCommitted:
        return Fleet::MoveCommitted{{message.move_committed().id()}};
    case Wire::Record::kMoveAborted: {
        const Wire::MoveAborted &it = message.move_aborted();
        return Fleet::MoveAborted{{it.id()}, it.reason()};
    }
    case Wire::Record::kWaveStarted: {
        const Wire::WaveStarted &it = message.wave_started();
        return Fleet::WaveStarted{{it.id()}, it.number(), {it.zone()}, it.reason()};
    }
    case Wire::Record::kMaintenanceStarted: {
        const Wire::MaintenanceStarted &it = message.maintenance_started();
        return Fleet::MaintenanceStarted{{it.id()}, {it.wave()}, {it.instance()}, it.reason()};
    }
    case Wire::Record::kRebootRequested:
        return Fleet::RebootRequested{{message.reboot_requested().id()}};
    case Wire::Record::kMaintenanceEnded: {
        const Wire::MaintenanceEnded &it = message.maintenance_ended();
        return Fleet::MaintenanceEnded{{it.id()}, it.is_successful(), it.reason()};
    }
    case Wire::Record::kWaveStopped: {
        const Wire::WaveStopped &it = message.wave_stopped();
        return Fleet::WaveStopped{{it.id()}, it.reason()};
    }
    case Wire::Record::kWaveFinished:
        return Fleet::WaveFinished{{message.wave_finished().id()}};
    case Wire::Record::kInstanceFailed: {
        const Wire::InstanceFailed &it = message.instance_failed();
        return Fleet::InstanceFailed{{it.instance()}, it.reason()};
    }
    case Wire::Record::kInstanceRecovered: {
        const Wire::InstanceRecovered &it = message.instance_recovered();
        return Fleet::InstanceRecovered{{it.instance()}, it.reason()};
    }
    case Wire::Record::kSnapshotTaken:
        return Fleet::SnapshotTaken{read(message.snapshot_taken().state())};
    case Wire::Record::EVENT_NOT_SET:
        break;
    }
    fail("unknown event");
    return {};
}

Fleet::EditProposed Decoder::read(const Wire::EditProposed &message)
{
    Fleet::EditProposed event;
    event.base = {message.base()};
    event.author = message.author();
    event.comment = message.comment();
    event.delta = read(message.delta(), event.unknownFields);
    return event;
}

Fleet::Observations Decoder::read(const Wire::Observations &message)
{
    Fleet::Observations observations;
    observations.at = Base::instantAt(Base::Duration(message.at_us()));
    observations.isPlatformReachable = message.is_platform_reachable();
    observations.arePeersReachable = message.are_peers_reachable();
    for (const Wire::PoolDemand &it : message.demands()) {
        observations.demands.push_back(readDemand(it));
    }
    for (const Wire::InstanceReport &it : message.instances()) {
        observations.instances.push_back(read(it));
    }
    for (const Wire::ActionReport &it : message.actions()) {
        observations.actions.push_back(read(it));
    }
    observations.liveMembers = readNames<Base::MemberName>(message.live_members());
    return observations;
}

Fleet::ActionReport Decoder::read(const Wire::ActionReport &message)
{
    const auto result =
        toEnum<Fleet::ActionResult>(message.result(), Wire::ActionResult_IsValid(message.result()));
    return {{message.action()}, result, message.detail()};
}

Fleet::InstanceReport Decoder::read(const Wire::InstanceReport &message)
{
    Fleet::InstanceReport report;
    report.instance = {message.instance()};
    report.state =
        toEnum<Fleet::PlatformState>(message.state(), Wire::PlatformState_IsValid(message.state()));
    report.inFlight = message.in_flight();
    report.isEjected = message.is_ejected();
    return report;
}

} // namespace Record::Internal
