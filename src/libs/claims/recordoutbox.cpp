#include "recordoutbox.h"

#include <algorithm>
#include <iterator>

namespace Claims
{

namespace
{

// One lost answer is no outage; two in a row are taken for one.
constexpr unsigned FailuresOfAnOutage = 2;

} // namespace

RecordOutbox::RecordOutbox(const OutboxSettings &settings)
    : m_settings(settings)
{
}

void RecordOutbox::add(ClaimRecord record)
{
    m_queue.push_back(std::move(record));
}

void RecordOutbox::onAppended()
{
    m_inFlight.clear();
    m_failuresInARow = 0;
}

void RecordOutbox::onUnknown(Base::Instant now)
{
    m_unknown.push_back({now + m_settings.retryDelay, std::exchange(m_inFlight, {})});
    noteFailure(now);
}

std::vector<ClaimRecord> RecordOutbox::onUnavailable(Base::Instant now)
{
    std::vector<ClaimRecord> records = std::exchange(m_inFlight, {});
    m_queue.insert(m_queue.begin(), records.begin(), records.end());
    m_notBefore = std::max(m_notBefore, now + m_settings.retryDelay);
    noteFailure(now);
    return records;
}

// After a while the log gets another chance: with nothing to append, nobody would learn that it is back.
bool RecordOutbox::isLogOut(Base::Instant now) const
{
    return m_failuresInARow >= FailuresOfAnOutage && now < m_lastFailure + 2 * m_settings.retryDelay;
}

std::optional<Base::Instant> RecordOutbox::nextDue() const
{
    if (!m_inFlight.empty()) {
        return std::nullopt;
    }
    if (!m_queue.empty()) {
        return m_notBefore;
    }
    if (!m_unknown.empty()) {
        return std::max(m_notBefore, m_unknown.front().retryAt);
    }
    return std::nullopt;
}

bool RecordOutbox::isDue(Base::Instant now) const
{
    return m_inFlight.empty() && now >= m_notBefore;
}

void RecordOutbox::requeueUnknown(Base::Instant now)
{
    while (!m_unknown.empty() && m_unknown.front().retryAt <= now) {
        std::vector<ClaimRecord> &records = m_unknown.front().records;
        m_queue.insert(m_queue.begin(),
                       std::make_move_iterator(records.begin()),
                       std::make_move_iterator(records.end()));
        m_unknown.pop_front();
    }
}

void RecordOutbox::start(const std::vector<ClaimRecord> &batch, Base::Instant now)
{
    m_inFlight = batch;
    m_notBefore = now + m_settings.minAppendInterval;
}

void RecordOutbox::noteFailure(Base::Instant now)
{
    ++m_failuresInARow;
    m_lastFailure = now;
}

} // namespace Claims
