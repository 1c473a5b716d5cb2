#include "decoder_p.h"
#include "digestbytes_p.h"
#include "lists_p.h"
#include "unknownfields_p.h"

#include <deque>
#include <utility>

namespace Record::Internal
{

namespace
{

Fleet::PlannerLease readPlannerLease(const Wire::PlannerLease &message)
{
    return {{message.zone()}, {message.holder()}, {message.term()}};
}

Fleet::Member readMember(const Wire::Member &message)
{
    return {{message.name()}, {message.zone()}, {message.joined_at()}, {message.document_in_force()}};
}

} // namespace

Fleet::FleetState Decoder::read(const Wire::FleetState &message)
{
    Fleet::FleetState state;
    state.zone = {message.zone()};
    state.appliedTo = {message.applied_to()};
    state.commonAppliedTo = {message.common_applied_to()};
    state.causalOffset = {message.causal_offset()};
    state.membershipChangedAt = {message.membership_changed_at()};
    state.documentOffset = {message.document_offset()};
    state.document = read(message.document(), state.unknownFields);
    readInstances(message, state);
    for (const Wire::Move &it : message.moves()) {
        state.moves[{it.id()}] = read(it);
    }
    for (const Wire::Maintenance &it : message.maintenances()) {
        state.maintenances[{it.id()}] = read(it);
    }
    for (const Wire::Wave &it : message.waves()) {
        state.waves[{it.id()}] = read(it);
    }
    for (const Wire::PlannerLease &it : message.planners()) {
        state.planners[{it.zone()}] = readPlannerLease(it);
    }
    for (const Wire::Member &it : message.members()) {
        state.members[{it.name()}] = readMember(it);
    }
    state.recentCommon = read(message.recent_common());
    state.recentZone = read(message.recent_zone());
    state.unknownFields.own = unknownFieldsOf(message);
    return state;
}

void Decoder::readInstances(const Wire::FleetState &message, Fleet::FleetState &state)
{
    for (const Document::Instance &it : state.document.instances) {
        if (it.zone == state.zone) {
            state.instances.emplace_hint(
                state.instances.end(),
                it.name,
                Fleet::InstanceState{it, Fleet::InstancePhase::Serving, it.pool, {}});
        }
    }
    for (const Wire::InstanceState &it : message.instances()) {
        const auto found = state.instances.find({it.name()});
        if (found == state.instances.end()) {
            fail("state of an instance that the document doesn't declare");
            return;
        }
        Fleet::InstanceState &instance = found->second;
        instance.phase = toEnum<Fleet::InstancePhase>(it.phase(), Wire::InstancePhase_IsValid(it.phase()));
        if (it.has_pool()) {
            instance.pool = {it.pool()};
        }
        if (it.has_action()) {
            instance.action = Fleet::ActionId{it.action()};
        }
    }
}

Fleet::Move Decoder::read(const Wire::Move &message)
{
    return {{message.id()},
            {message.instance()},
            {message.from()},
            {message.to()},
            toEnum<Fleet::MovePhase>(message.phase(), Wire::MovePhase_IsValid(message.phase())),
            {message.started_at()},
            readNameSet<Base::MemberName>(message.acknowledged_by())};
}

Fleet::Maintenance Decoder::read(const Wire::Maintenance &message)
{
    return {{message.id()},
            {message.wave()},
            {message.instance()},
            toEnum<Fleet::MaintenancePhase>(message.phase(), Wire::MaintenancePhase_IsValid(message.phase())),
            {message.started_at()},
            readNameSet<Base::MemberName>(message.acknowledged_by())};
}

Fleet::Wave Decoder::read(const Wire::Wave &message)
{
    return {{message.id()},
            message.number(),
            {message.zone()},
            toEnum<Fleet::WavePhase>(message.phase(), Wire::WavePhase_IsValid(message.phase())),
            message.stop_reason(),
            readNameSet<Base::InstanceName>(message.done()),
            readNameSet<Base::InstanceName>(message.failed())};
}

Fleet::RecordWindow Decoder::read(const Wire::RecordWindow &message)
{
    const auto count = static_cast<std::size_t>(message.offset_steps_size());
    if (message.digests().size() != count * DigestBytes) {
        fail("record window whose lists differ in length");
        return {};
    }
    std::deque<Fleet::RecordWindowEntry> marks;
    std::string_view digests = message.digests();
    Fleet::Offset offset;
    for (const std::uint64_t it : message.offset_steps()) {
        offset.value += it;
        marks.push_back({offset, readDigest(digests)});
        digests.remove_prefix(DigestBytes);
    }
    return Fleet::RecordWindow::fromMarks(std::move(marks));
}

} // namespace Record::Internal
