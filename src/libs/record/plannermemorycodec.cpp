#include "decoder_p.h"
#include "encoder_p.h"
#include "lists_p.h"

namespace Record::Internal
{

namespace
{

std::int64_t microsecondsOf(Base::Instant instant)
{
    return instant.time_since_epoch().count();
}

Base::Instant instantOf(std::int64_t microseconds)
{
    return Base::instantAt(Base::Duration(microseconds));
}

void write(const Fleet::DemandEstimate &estimate, Wire::DemandEstimate &message)
{
    message.set_pool(estimate.pool.value);
    message.set_fast(estimate.fast);
    message.set_slow(estimate.slow);
    message.set_peak(estimate.peak);
    message.set_seen_for_us(estimate.seenFor.count());
    message.set_shortage(estimate.shortage);
    message.set_excess(estimate.excess);
}

Fleet::DemandEstimate readEstimate(const Wire::DemandEstimate &message)
{
    return {{message.pool()},
            message.fast(),
            message.slow(),
            message.peak(),
            Base::Duration(message.seen_for_us()),
            message.shortage(),
            message.excess()};
}

void writeAction(const Fleet::ActionId &id, const Fleet::ActionMemory &memory, Wire::ActionMemory &message)
{
    message.set_action(id.value);
    message.set_first_seen_us(microsecondsOf(memory.firstSeen));
    if (memory.rebootSeen) {
        message.set_reboot_seen_us(microsecondsOf(*memory.rebootSeen));
    }
    message.set_was_down(memory.wasDown);
}

Fleet::ActionMemory readAction(const Wire::ActionMemory &message)
{
    Fleet::ActionMemory memory;
    memory.firstSeen = instantOf(message.first_seen_us());
    if (message.has_reboot_seen_us()) {
        memory.rebootSeen = instantOf(message.reboot_seen_us());
    }
    memory.wasDown = message.was_down();
    return memory;
}

} // namespace

void write(const Fleet::PlannerMemory &memory, Wire::PlannerMemory &message)
{
    message.set_term(memory.term.value);
    if (memory.lastDecisionOffset) {
        message.set_decided_at(memory.lastDecisionOffset->value);
    }
    writeItems(memory.reports, *message.mutable_reports());
    for (const auto &[id, it] : memory.actions) {
        writeAction(id, it, *message.add_actions());
    }
    for (const auto &[member, since] : memory.absentSince) {
        Wire::GoneMember &gone = *message.add_gone();
        gone.set_member(member.value);
        gone.set_since_us(microsecondsOf(since));
    }
    for (const auto &[instance, it] : memory.health) {
        Wire::HealthMemory &health = *message.add_health();
        health.set_instance(instance.value);
        health.set_is_healthy(it.isHealthy);
        health.set_since_us(microsecondsOf(it.since));
    }
    if (memory.demand.at) {
        message.set_demand_at_us(microsecondsOf(*memory.demand.at));
    }
    for (const auto &it : memory.demand.pools) {
        write(it, *message.add_demands());
    }
}

Fleet::PlannerMemory Decoder::read(const Wire::PlannerMemory &message)
{
    Fleet::PlannerMemory memory;
    memory.term = {message.term()};
    if (message.has_decided_at()) {
        memory.lastDecisionOffset = Fleet::Offset{message.decided_at()};
    }
    for (const auto &it : message.reports()) {
        memory.reports.push_back(read(it));
    }
    for (const auto &it : message.actions()) {
        memory.actions[{it.action()}] = readAction(it);
    }
    for (const auto &it : message.gone()) {
        memory.absentSince[{it.member()}] = instantOf(it.since_us());
    }
    for (const auto &it : message.health()) {
        memory.health[{it.instance()}] = {it.is_healthy(), instantOf(it.since_us())};
    }
    if (message.has_demand_at_us()) {
        memory.demand.at = instantOf(message.demand_at_us());
    }
    for (const auto &it : message.demands()) {
        memory.demand.pools.push_back(readEstimate(it));
    }
    return memory;
}

} // namespace Record::Internal
