#pragma once

#include "instant.h"
#include "strongid.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace Base
{

struct TimerTag;
using TimerId = StrongId<TimerTag>;

/// Calls subscribers back when their time has come. Its owner advances it, from one thread: in a daemon by
/// a clock that it is given, in a test by hand.
class TimerService
{
public:
    using Callback = std::function<void()>;

    using Clock = Instant (*)();

    explicit TimerService(Instant start = {});
    explicit TimerService(Clock clock);

    /// The clock's time, or else the time that it was advanced to.
    Instant now() const;

    /// Calls back once at `when`, or at the next advance when that has passed.
    TimerId subscribeAt(Instant when, Callback callback);

    /// Calls back once after `delay`.
    TimerId subscribeAfter(Duration delay, Callback callback);

    /// Calls back every `period` until cancelled; a period that was missed is not made up for.
    TimerId subscribeEvery(Duration period, Callback callback);

    /// Returns false when the timer is not subscribed (any more).
    bool cancel(TimerId id);

    /// Drops all subscriptions without calling back.
    void clear();

    /// Moves time forward, calling back in the order of the times asked for. Time never goes back.
    void advanceTo(Instant now);

    /// The time of the earliest subscription.
    std::optional<Instant> nextDue() const;

private:
    struct Subscription {
        TimerId id;
        Duration period{};
        Callback callback;
    };
    using Queue = std::multimap<Instant, Subscription>;

    TimerId insert(Instant when, Subscription subscription);
    void fire(Queue::iterator it);

    Clock m_clock = nullptr;
    Instant m_now;
    std::uint64_t m_lastId = 0;
    Queue m_queue;
    std::unordered_map<TimerId, Queue::iterator> m_byId;
};

} // namespace Base
