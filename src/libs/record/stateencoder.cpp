#include "digestbytes_p.h"
#include "encoder_p.h"
#include "lists_p.h"
#include "unknownfields_p.h"

namespace Record::Internal
{

namespace
{

bool isAsDeclared(const Fleet::InstanceState &instance)
{
    return instance.phase == Fleet::InstancePhase::Serving && instance.pool == instance.declared.pool
        && !instance.action;
}

} // namespace

void write(const Fleet::InstanceState &instance, Wire::InstanceState &message)
{
    message.set_name(instance.declared.name.value);
    message.set_phase(static_cast<Wire::InstancePhase>(instance.phase));
    if (instance.pool != instance.declared.pool) {
        message.set_pool(instance.pool.value);
    }
    if (instance.action) {
        message.set_action(instance.action->value);
    }
}

void write(const Fleet::Move &move, Wire::Move &message)
{
    message.set_id(move.id.value);
    message.set_instance(move.instance.value);
    message.set_from(move.from.value);
    message.set_to(move.to.value);
    message.set_phase(static_cast<Wire::MovePhase>(move.phase));
    message.set_started_at(move.startedAt.value);
    writeNames(move.acknowledgedBy, *message.mutable_acknowledged_by());
}

void write(const Fleet::Maintenance &maintenance, Wire::Maintenance &message)
{
    message.set_id(maintenance.id.value);
    message.set_wave(maintenance.wave.value);
    message.set_instance(maintenance.instance.value);
    message.set_phase(static_cast<Wire::MaintenancePhase>(maintenance.phase));
    message.set_started_at(maintenance.startedAt.value);
    writeNames(maintenance.acknowledgedBy, *message.mutable_acknowledged_by());
}

void write(const Fleet::Wave &wave, Wire::Wave &message)
{
    message.set_id(wave.id.value);
    message.set_number(wave.number);
    message.set_zone(wave.zone.value);
    message.set_phase(static_cast<Wire::WavePhase>(wave.phase));
    message.set_stop_reason(wave.stopReason);
    writeNames(wave.done, *message.mutable_done());
    writeNames(wave.failed, *message.mutable_failed());
}

void write(const Fleet::PlannerLease &lease, Wire::PlannerLease &message)
{
    message.set_zone(lease.zone.value);
    message.set_holder(lease.holder.value);
    message.set_term(lease.term.value);
}

void write(const Fleet::Member &member, Wire::Member &message)
{
    message.set_name(member.name.value);
    message.set_zone(member.zone.value);
    message.set_joined_at(member.joinedAt.value);
    message.set_document_in_force(member.documentInForce.value);
}

void write(const Fleet::RecordWindow &window, Wire::RecordWindow &message)
{
    std::uint64_t previous = 0;
    std::string &digests = *message.mutable_digests();
    digests.reserve(window.marks().size() * DigestBytes);
    for (const Fleet::RecordWindowEntry &it : window.marks()) {
        message.add_offset_steps(it.offset.value - previous);
        previous = it.offset.value;
        appendDigest(digests, it.digest);
    }
}

void write(const Fleet::FleetState &state, Wire::FleetState &message)
{
    message.set_zone(state.zone.value);
    message.set_applied_to(state.appliedTo.value);
    message.set_common_applied_to(state.commonAppliedTo.value);
    message.set_causal_offset(state.causalOffset.value);
    message.set_membership_changed_at(state.membershipChangedAt.value);
    message.set_document_offset(state.documentOffset.value);
    Wire::Document &document = *message.mutable_document();
    write(state.document, document);
    for (const auto &it : state.instances) {
        if (!isAsDeclared(it.second)) {
            write(it.second, *message.add_instances());
        }
    }
    writeValues(state.moves, *message.mutable_moves());
    writeValues(state.maintenances, *message.mutable_maintenances());
    writeValues(state.waves, *message.mutable_waves());
    writeValues(state.planners, *message.mutable_planners());
    writeValues(state.members, *message.mutable_members());
    write(state.recentCommon, *message.mutable_recent_common());
    write(state.recentZone, *message.mutable_recent_zone());
    restoreUnknownFields(message, state.unknownFields.own);
    restoreUnknownFields(document, state.unknownFields.document);
    restoreItems(*document.mutable_pools(), state.unknownFields.pools);
    restoreItems(*document.mutable_instances(), state.unknownFields.instances);
    restoreItems(*document.mutable_services(), state.unknownFields.services);
}

} // namespace Record::Internal
