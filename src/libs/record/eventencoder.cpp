#include "encoder_p.h"
#include "lists_p.h"
#include "unknownfields_p.h"

#include <variant>

namespace Record::Internal
{

namespace
{

/// Writes an event into the field of the record that is its own.
class EventWriter
{
public:
    explicit EventWriter(Wire::Record &message)
        : m_message(message)
    {
    }

    void operator()(const Fleet::EditProposed &event)
    {
        Wire::EditProposed &it = *m_message.mutable_edit_proposed();
        it.set_base(event.base.value);
        it.set_author(event.author);
        it.set_comment(event.comment);
        Wire::Delta &delta = *it.mutable_delta();
        write(event.delta, delta);
        restoreUnknownFields(delta, event.unknownFields.document);
        restoreItems(*delta.mutable_set_pools(), event.unknownFields.pools);
        restoreItems(*delta.mutable_set_instances(), event.unknownFields.instances);
        restoreItems(*delta.mutable_set_services(), event.unknownFields.services);
    }

    void operator()(const Fleet::MemberJoined &event)
    {
        Wire::MemberJoined &it = *m_message.mutable_member_joined();
        it.set_member(event.member.value);
        it.set_zone(event.zone.value);
    }

    void operator()(const Fleet::MemberLeft &event)
    {
        Wire::MemberLeft &it = *m_message.mutable_member_left();
        it.set_member(event.member.value);
        it.set_reason(event.reason);
    }

    void operator()(const Fleet::PlannerClaimed &event)
    {
        Wire::PlannerClaimed &it = *m_message.mutable_planner_claimed();
        it.set_zone(event.zone.value);
        it.set_holder(event.holder.value);
        it.set_previous_term(event.previousTerm.value);
    }

    void operator()(const Fleet::PlannerObserved &event)
    {
        Wire::PlannerObserved &it = *m_message.mutable_planner_observed();
        write(event.observations, *it.mutable_observations());
        it.set_zone_offset(event.zoneOffset.value);
        write(event.memory, *it.mutable_memory());
    }

    void operator()(const Fleet::MoveStarted &event)
    {
        Wire::MoveStarted &it = *m_message.mutable_move_started();
        it.set_id(event.id.value);
        it.set_instance(event.instance.value);
        it.set_from(event.from.value);
        it.set_to(event.to.value);
        it.set_reason(event.reason);
    }

    void operator()(const Fleet::DrainAcknowledged &event)
    {
        Wire::DrainAcknowledged &it = *m_message.mutable_drain_acknowledged();
        it.set_id(event.id.value);
        it.set_member(event.member.value);
    }

    void operator()(const Fleet::MoveCommitted &event)
    {
        m_message.mutable_move_committed()->set_id(event.id.value);
    }

    void operator()(const Fleet::MoveAborted &event)
    {
        Wire::MoveAborted &it = *m_message.mutable_move_aborted();
        it.set_id(event.id.value);
        it.set_reason(event.reason);
    }

    void operator()(const Fleet::WaveStarted &event)
    {
        Wire::WaveStarted &it = *m_message.mutable_wave_started();
        it.set_id(event.id.value);
        it.set_number(event.number);
        it.set_zone(event.zone.value);
        it.set_reason(event.reason);
    }

    void operator()(const Fleet::MaintenanceStarted &event)
    {
        Wire::MaintenanceStarted &it = *m_message.mutable_maintenance_started();
        it.set_id(event.id.value);
        it.set_wave(event.wave.value);
        it.set_instance(event.instance.value);
        it.set_reason(event.reason);
    }

    void operator()(const Fleet::RebootRequested &event)
    {
        m_message.mutable_reboot_requested()->set_id(event.id.value);
    }

    void operator()(const Fleet::MaintenanceEnded &event)
    {
        Wire::MaintenanceEnded &it = *m_message.mutable_maintenance_ended();
        it.set_id(event.id.value);
        it.set_is_successful(event.isSuccessful);
        it.set_reason(event.reason);
    }

    void operator()(const Fleet::WaveStopped &event)
    {
        Wire::WaveStopped &it = *m_message.mutable_wave_stopped();
        it.set_id(event.id.value);
        it.set_reason(event.reason);
    }

    void operator()(const Fleet::WaveFinished &event)
    {
        m_message.mutable_wave_finished()->set_id(event.id.value);
    }

    void operator()(const Fleet::InstanceFailed &event)
    {
        Wire::InstanceFailed &it = *m_message.mutable_instance_failed();
        it.set_instance(event.instance.value);
        it.set_reason(event.reason);
    }

    void operator()(const Fleet::InstanceRecovered &event)
    {
        Wire::InstanceRecovered &it = *m_message.mutable_instance_recovered();
        it.set_instance(event.instance.value);
        it.set_reason(event.reason);
    }

    void operator()(const Fleet::SnapshotTaken &event)
    {
        write(event.state, *m_message.mutable_snapshot_taken()->mutable_state());
    }

private:
    Wire::Record &m_message;
};

} // namespace

void write(const Fleet::Record &record, Wire::Record &message)
{
    message.set_id(record.id);
    message.set_author(record.author.value);
    message.set_term(record.term.value);
    message.set_document_offset(record.documentOffset.value);
    std::visit(EventWriter(message), record.event);
    restoreUnknownFields(message, record.unknownFields);
}

void write(const Fleet::PoolDemand &demand, Wire::PoolDemand &message)
{
    message.set_pool(demand.pool.value);
    message.set_busy_slots(demand.busySlots);
    message.set_busy_batch_slots(demand.busyBatchSlots);
    message.set_queued_requests(demand.queuedRequests);
    message.set_queued_batch(demand.queuedBatch);
}

void write(const Fleet::ActionReport &report, Wire::ActionReport &message)
{
    message.set_action(report.action.value);
    message.set_result(static_cast<Wire::ActionResult>(report.result));
    message.set_detail(report.detail);
}

void write(const Fleet::InstanceReport &report, Wire::InstanceReport &message)
{
    message.set_instance(report.instance.value);
    message.set_state(static_cast<Wire::PlatformState>(report.state));
    message.set_in_flight(report.inFlight);
    message.set_is_ejected(report.isEjected);
}

void write(const Fleet::Observations &observations, Wire::Observations &message)
{
    message.set_at_us(observations.at.time_since_epoch().count());
    message.set_is_platform_reachable(observations.isPlatformReachable);
    message.set_are_peers_reachable(observations.arePeersReachable);
    writeItems(observations.demands, *message.mutable_demands());
    writeItems(observations.instances, *message.mutable_instances());
    writeItems(observations.actions, *message.mutable_actions());
    writeNames(observations.liveMembers, *message.mutable_live_members());
}

} // namespace Record::Internal
