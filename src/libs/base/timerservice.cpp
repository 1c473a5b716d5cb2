#include "timerservice.h"

#include <algorithm>
#include <utility>

namespace Base
{

TimerService::TimerService(Instant start)
    : m_now(start)
{
}

TimerService::TimerService(Clock clock)
    : m_clock(clock)
    , m_now(clock())
{
}

// A thread that slept until something arrived runs its handler before anybody advances the time: delays
// that began at the last advance would be too short.
Instant TimerService::now() const
{
    return m_clock ? std::max(m_now, m_clock()) : m_now;
}

TimerId TimerService::subscribeAt(Instant when, Callback callback)
{
    return insert(when, {TimerId{++m_lastId}, Duration::zero(), std::move(callback)});
}

TimerId TimerService::subscribeAfter(Duration delay, Callback callback)
{
    return subscribeAt(now() + delay, std::move(callback));
}

TimerId TimerService::subscribeEvery(Duration period, Callback callback)
{
    return insert(now() + period, {TimerId{++m_lastId}, period, std::move(callback)});
}

bool TimerService::cancel(TimerId id)
{
    const auto it = m_byId.find(id);
    if (it == m_byId.end()) {
        return false;
    }
    m_queue.erase(it->second);
    m_byId.erase(it);
    return true;
}

// What a callback holds may cancel other subscriptions when it is destroyed.
void TimerService::clear()
{
    while (!m_queue.empty()) {
        const Subscription dropped = std::move(m_queue.begin()->second);
        m_byId.erase(dropped.id);
        m_queue.erase(m_queue.begin());
    }
}

void TimerService::advanceTo(Instant now)
{
    m_now = std::max(m_now, now);
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
        fire(m_queue.begin());
    }
}

std::optional<Instant> TimerService::nextDue() const
{
    if (m_queue.empty()) {
        return std::nullopt;
    }
    return m_queue.begin()->first;
}

TimerId TimerService::insert(Instant when, Subscription subscription)
{
    const TimerId id = subscription.id;
    m_byId[id] = m_queue.emplace(when, std::move(subscription));
    return id;
}

// A periodic subscription is put back before its callback runs, so that the callback may cancel it.
void TimerService::fire(Queue::iterator it)
{
    Subscription due = std::move(it->second);
    m_byId.erase(due.id);
    m_queue.erase(it);
    if (due.period > Duration::zero()) {
        insert(m_now + due.period, due);
    }
    due.callback();
}

} // namespace Base
