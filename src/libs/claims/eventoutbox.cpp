#include "eventoutbox.h"

#include <algorithm>
#include <iterator>

namespace Claims
{

namespace
{

// A single lost reply is not an outage; two consecutive failures are treated as one.
constexpr unsigned OutageFailureThreshold = 2;

} // namespace

EventOutbox::EventOutbox(const OutboxSettings &settings)
    : m_settings(settings)
{
}

void EventOutbox::add(ClaimEvent event, Base::Instant due)
{
    m_queue.push_back(std::move(event));
    m_queueDue = std::min(m_queueDue.value_or(due), due);
}

void EventOutbox::onAppended()
{
    m_inFlight.clear();
    m_consecutiveFailures = 0;
}

void EventOutbox::onUnknown(Base::Instant now)
{
    m_unknown.push_back({now + m_settings.retryDelay, std::exchange(m_inFlight, {})});
    recordFailure(now);
}

std::vector<ClaimEvent> EventOutbox::onUnavailable(Base::Instant now)
{
    std::vector<ClaimEvent> events = std::exchange(m_inFlight, {});
    requeue(events, now);
    m_notBefore = std::max(m_notBefore, now + m_settings.retryDelay);
    recordFailure(now);
    return events;
}

// Reports the log as available again after a while: while nothing is appended, its recovery would go
// unnoticed.
bool EventOutbox::isLogUnavailable(Base::Instant now) const
{
    return m_consecutiveFailures >= OutageFailureThreshold && now < m_lastFailure + 2 * m_settings.retryDelay;
}

std::optional<Base::Instant> EventOutbox::nextDue() const
{
    if (!m_inFlight.empty()) {
        return std::nullopt;
    }
    std::optional<Base::Instant> due = m_queueDue;
    if (!m_unknown.empty()) {
        const Base::Instant retryAt = m_unknown.front().retryAt;
        due = std::min(due.value_or(retryAt), retryAt);
    }
    return due ? std::optional(std::max(*due, m_notBefore)) : std::nullopt;
}

bool EventOutbox::isDue(Base::Instant now) const
{
    return m_inFlight.empty() && now >= m_notBefore && m_queueDue && *m_queueDue <= now;
}

void EventOutbox::requeue(std::vector<ClaimEvent> events, Base::Instant now)
{
    m_queue.insert(
        m_queue.begin(), std::make_move_iterator(events.begin()), std::make_move_iterator(events.end()));
    m_queueDue = now;
}

void EventOutbox::requeueUnknown(Base::Instant now)
{
    while (!m_unknown.empty() && m_unknown.front().retryAt <= now) {
        requeue(std::move(m_unknown.front().events), now);
        m_unknown.pop_front();
    }
}

void EventOutbox::beginAppend(const std::vector<ClaimEvent> &batch, Base::Instant now)
{
    m_inFlight = batch;
    m_notBefore = now + m_settings.minAppendInterval;
}

void EventOutbox::recordFailure(Base::Instant now)
{
    ++m_consecutiveFailures;
    m_lastFailure = now;
}

} // namespace Claims
