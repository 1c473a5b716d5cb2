#include "connectionguard.h"

#include <base/logline.h>

#include <utility>

namespace Http
{

namespace
{

// Between two lines of one event and reason; a crowd would write thousands.
constexpr Base::Duration LogPeriod = std::chrono::seconds{1};

} // namespace

std::string_view toString(ShedReason reason)
{
    switch (reason) {
    case ShedReason::Receiving:
        return "receiving";
    case ShedReason::Sending:
        return "sending";
    case ShedReason::Connections:
        return "connections";
    }
    return {};
}

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BodyTooLarge:
        return "body-too-large";
    case RefusalReason::HeaderTooLarge:
        return "header-too-large";
    case RefusalReason::Malformed:
        return "malformed";
    case RefusalReason::NoMemory:
        return "no-memory";
    }
    return {};
}

ConnectionGuard::ConnectionGuard(Base::TimerService &timers, const Base::ConnectionLimits &limits)
    : m_timers(timers)
    , m_budget(limits)
{
}

ConnectionGuard::Door ConnectionGuard::addDoor()
{
    return ++m_lastDoor;
}

bool ConnectionGuard::makeRoom()
{
    if (!m_budget.hasRoom()) {
        if (const auto id = m_budget.leastActive()) {
            shed(*id, ShedReason::Connections);
        }
    }
    return m_budget.hasRoom();
}

ConnectionGuard::Id ConnectionGuard::add(Door door, Shedder shedder)
{
    const Id id = m_budget.add(door, m_timers.now());
    m_shedders[id] = std::move(shedder);
    return id;
}

void ConnectionGuard::remove(Id id)
{
    m_budget.remove(id);
    m_shedders.erase(id);
}

void ConnectionGuard::hold(Id id, Base::Holding holding, std::size_t bytes)
{
    const Base::Instant now = m_timers.now();
    m_budget.hold(id, holding, bytes, now);
    while (const auto most = m_budget.excess(now)) {
        shed(*most, holding == Base::Holding::Sending ? ShedReason::Sending : ShedReason::Receiving);
    }
}

void ConnectionGuard::noteRefusal(RefusalReason reason)
{
    log(m_refused.at(static_cast<std::size_t>(reason)), "requests-refused", toString(reason));
}

const Base::ConnectionBudget &ConnectionGuard::budget() const
{
    return m_budget;
}

std::uint64_t ConnectionGuard::shedConnections(ShedReason reason) const
{
    return m_shed.at(static_cast<std::size_t>(reason)).total;
}

std::uint64_t ConnectionGuard::refusedRequests(RefusalReason reason) const
{
    return m_refused.at(static_cast<std::size_t>(reason)).total;
}

void ConnectionGuard::shed(Id id, ShedReason reason)
{
    log(m_shed.at(static_cast<std::size_t>(reason)), "connections-shed", toString(reason));
    const auto it = m_shedders.find(id);
    const Shedder shedder = it != m_shedders.end() ? it->second : Shedder();
    m_budget.giveUp(id, m_timers.now());
    if (shedder) {
        shedder(reason);
    }
}

void ConnectionGuard::log(Count &count, std::string_view event, std::string_view reason)
{
    ++count.total;
    const Base::Instant now = m_timers.now();
    if (count.loggedAt && now - *count.loggedAt < LogPeriod) {
        return;
    }
    Base::LogLine(Base::LogLevel::Warning, event)
        .with("reason", reason)
        .with("count", count.total - count.logged)
        .with("connections", m_budget.connections())
        .with("receiving_bytes", m_budget.bytes(Base::Holding::Receiving))
        .with("handling_bytes", m_budget.bytes(Base::Holding::Handling))
        .with("sending_bytes", m_budget.bytes(Base::Holding::Sending));
    count.logged = count.total;
    count.loggedAt = now;
}

} // namespace Http
