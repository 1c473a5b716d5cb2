#include "peercodec.h"

#include "generated/peering.pb.h"

#include <utility>
#include <variant>

namespace Peering::Internal
{

namespace Proto = rhubarbcrank::peering;

void encode(const PeerIdentity &identity, Proto::Identity &message)
{
    message.set_environment(identity.environment.value);
    message.set_zone(identity.zone.value);
    message.set_member(identity.member.value);
    message.set_address(identity.address);
}

void encode(const PeerReport &report, Proto::Report &message)
{
    encode(report.from, *message.mutable_from());
    message.set_common_offset(report.commonOffset);
    message.set_zone_offset(report.zoneOffset);
    message.set_document_offset(report.documentOffset);
    for (const auto &it : report.demands) {
        Proto::PoolDemand &demand = *message.add_demands();
        demand.set_pool(it.pool.value);
        demand.set_busy_slots(it.busySlots);
        demand.set_busy_batch_slots(it.busyBatchSlots);
        demand.set_queued_requests(it.queuedRequests);
        demand.set_queued_batch(it.queuedBatch);
    }
    for (const auto &it : report.instances) {
        Proto::InstanceLoad &load = *message.add_instances();
        load.set_instance(it.instance.value);
        load.set_in_flight(it.inFlight);
        load.set_is_ejected(it.isEjected);
    }
}

void encode(const PeerState &state, Proto::State &message)
{
    encode(state.from, *message.mutable_from());
    message.set_snapshot(state.snapshot);
    for (const auto &it : state.commonEntries) {
        Proto::LogEntry &entry = *message.add_common_entries();
        entry.set_offset(it.offset);
        entry.set_data(it.data);
    }
}

namespace
{

class SlotWriter
{
public:
    explicit SlotWriter(Proto::SlotMessage &message)
        : m_message(message)
    {
    }

    void operator()(const Scheduling::SlotHeartbeat &heartbeat)
    {
        Proto::SlotHeartbeat &it = *m_message.mutable_heartbeat();
        it.set_sequence(heartbeat.sequence);
        it.set_echo(heartbeat.echo);
        it.set_acknowledged(heartbeat.acknowledged.value);
        it.set_has_left(heartbeat.hasLeft);
        for (const auto &spare : heartbeat.spares) {
            Proto::SpareSlots &slots = *it.add_spares();
            slots.set_pool(spare.pool.value);
            slots.set_slots(spare.slots);
        }
    }

    void operator()(const Scheduling::BorrowRequest &request)
    {
        Proto::BorrowRequest &it = *m_message.mutable_borrow();
        it.set_sequence(request.sequence);
        it.set_pool(request.pool.value);
        it.set_slots(request.slots);
        it.set_term_us(request.term.count());
    }

    void operator()(const Scheduling::LoanGrant &grant)
    {
        Proto::LoanGrant &it = *m_message.mutable_grant();
        it.set_sequence(grant.sequence);
        it.set_pool(grant.pool.value);
        for (const auto &loan : grant.loans) {
            Proto::Loan &slots = *it.add_loans();
            slots.set_instance(loan.instance.value);
            slots.set_slots(loan.slots);
        }
    }

    void operator()(const Scheduling::LoanReturn &loan)
    {
        Proto::LoanReturn &it = *m_message.mutable_give_back();
        it.set_sequence(loan.sequence);
        it.set_pool(loan.pool.value);
    }

private:
    Proto::SlotMessage &m_message;
};

Scheduling::SlotHeartbeat read(const Proto::SlotHeartbeat &message, Base::MemberName from)
{
    Scheduling::SlotHeartbeat heartbeat{std::move(from),
                                        message.sequence(),
                                        message.echo(),
                                        {message.acknowledged()},
                                        message.has_left(),
                                        {}};
    for (const auto &it : message.spares()) {
        heartbeat.spares.push_back({{it.pool()}, it.slots()});
    }
    return heartbeat;
}

Scheduling::LoanGrant read(const Proto::LoanGrant &message, Base::MemberName from)
{
    Scheduling::LoanGrant grant{std::move(from), message.sequence(), {message.pool()}, {}};
    for (const auto &it : message.loans()) {
        grant.loans.push_back({{it.instance()}, it.slots()});
    }
    return grant;
}

} // namespace

void encode(const Scheduling::SlotMessage &message, Proto::SlotMessage &encoded)
{
    std::visit(SlotWriter(encoded), message);
}

std::optional<Scheduling::SlotMessage> decode(const Proto::SlotMessage &message)
{
    const Base::MemberName from{message.from().member()};
    switch (message.message_case()) {
    case Proto::SlotMessage::kHeartbeat:
        return read(message.heartbeat(), from);
    case Proto::SlotMessage::kBorrow:
        return Scheduling::BorrowRequest{from,
                                         message.borrow().sequence(),
                                         {message.borrow().pool()},
                                         message.borrow().slots(),
                                         Base::Duration(message.borrow().term_us())};
    case Proto::SlotMessage::kGrant:
        return read(message.grant(), from);
    case Proto::SlotMessage::kGiveBack:
        return Scheduling::LoanReturn{from, message.give_back().sequence(), {message.give_back().pool()}};
    default:
        return std::nullopt;
    }
}

PeerIdentity decode(const Proto::Identity &message)
{
    return {{message.environment()}, {message.zone()}, {message.member()}, message.address()};
}

PeerReport decode(const Proto::Report &message)
{
    PeerReport report;
    report.from = decode(message.from());
    report.commonOffset = message.common_offset();
    report.zoneOffset = message.zone_offset();
    report.documentOffset = message.document_offset();
    for (const auto &it : message.demands()) {
        report.demands.push_back(
            {{it.pool()}, it.busy_slots(), it.busy_batch_slots(), it.queued_requests(), it.queued_batch()});
    }
    for (const auto &it : message.instances()) {
        report.instances.push_back({{it.instance()}, it.in_flight(), it.is_ejected()});
    }
    return report;
}

PeerState decode(const Proto::State &message)
{
    PeerState state;
    state.from = decode(message.from());
    state.snapshot = message.snapshot();
    for (const auto &it : message.common_entries()) {
        state.commonEntries.push_back({it.offset(), it.data()});
    }
    return state;
}

} // namespace Peering::Internal
