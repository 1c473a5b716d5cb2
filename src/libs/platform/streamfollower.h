#pragma once

#include "services.h"

#include <base/timerservice.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <utility>

namespace Platform
{

struct FollowerSettings {
    std::uint32_t maxRecords = 1000; ///< per read
    std::uint32_t pollMilliseconds = 1500; ///< how long a read may wait for records at the tail
    Base::Duration firstRetryDelay = std::chrono::milliseconds(50);
    Base::Duration longestRetryDelay = std::chrono::seconds(2);
};

/// What a follower tells its owner; all are optional. The follower may be stopped from within each.
struct FollowerEvents {
    std::function<void(std::span<const LogEntry>)> onEntries; ///< in offset order, without gaps
    std::function<void(Offset first)> onTrimmedPast; ///< records were lost to it; it has stopped
    std::function<void(bool isReachable)> onReachable; ///< when this changes
};

/// Follows a stream by long polls, and backs off with jitter while the log is out.
template<LogService Log>
class StreamFollower
{
public:
    StreamFollower(Log &log,
                   Base::TimerService &timers,
                   std::string stream,
                   FollowerSettings settings,
                   std::uint64_t seed)
        : m_state(std::make_shared<State>(log, timers, std::move(stream), settings, seed))
    {
    }
    StreamFollower(const StreamFollower &) = delete;
    StreamFollower &operator=(const StreamFollower &) = delete;
    ~StreamFollower()
    {
        stop();
    }

    /// Begins at offset `from`, also after onTrimmedPast.
    void start(Offset from, const FollowerEvents &events)
    {
        stop();
        m_state->events = events;
        m_state->next = from;
        m_state->isTailKnown = false;
        m_state->isRunning = true;
        m_state->poll();
    }

    void stop()
    {
        m_state->isRunning = false;
        ++m_state->generation;
        m_state->timers.cancel(m_state->retryTimer);
    }

    /// The next offset to be handed on.
    Offset next() const
    {
        return m_state->next;
    }

    /// The log's end as last seen: the offset that the next record will get.
    Offset tail() const
    {
        return m_state->tail;
    }

    /// Everything up to the tail as last seen was handed on; false before the log was reached.
    bool isCaughtUp() const
    {
        return m_state->isTailKnown && m_state->next >= m_state->tail;
    }

    /// Whether the last read was answered.
    bool isReachable() const
    {
        return m_state->isReachable;
    }

private:
    // Shared with the callbacks of reads under way, which may come after the follower's end.
    struct State : std::enable_shared_from_this<State> {
        State(Log &theLog,
              Base::TimerService &theTimers,
              std::string theStream,
              FollowerSettings theSettings,
              std::uint64_t seed)
            : log(theLog)
            , timers(theTimers)
            , stream(std::move(theStream))
            , settings(theSettings)
            , random(seed)
        {
        }

        // The first read does not wait: the tail is wanted at once.
        void poll()
        {
            const std::uint32_t wait = isTailKnown && next >= tail ? settings.pollMilliseconds : 0;
            log.read({stream, next, settings.maxRecords, wait},
                     [self = this->weak_from_this(), asked = generation](ReadOutcome outcome) {
                         const auto state = self.lock();
                         if (state && state->isRunning && state->generation == asked) {
                             state->onRead(std::move(outcome));
                         }
                     });
        }

        void onRead(ReadOutcome outcome)
        {
            if (const auto *read = std::get_if<ReadEntries>(&outcome)) {
                onAnswered(*read);
            } else if (const auto *trimmed = std::get_if<TrimmedPast>(&outcome)) {
                isRunning = false;
                setReachable(true);
                if (events.onTrimmedPast) {
                    events.onTrimmedPast(trimmed->first);
                }
            } else {
                onOutage();
            }
        }

        void onAnswered(const ReadEntries &read)
        {
            const std::uint64_t asked = generation;
            retryDelay = settings.firstRetryDelay;
            isTailKnown = true;
            tail = std::max(tail, read.end);
            next += read.entries.size();
            setReachable(true);
            if (!read.entries.empty() && events.onEntries) {
                events.onEntries(read.entries);
            }
            if (isRunning && generation == asked) {
                poll();
            }
        }

        // Full jitter: followers that lost the log together don't come back together.
        void onOutage()
        {
            const std::uint64_t asked = generation;
            setReachable(false);
            if (!isRunning || generation != asked) {
                return;
            }
            std::uniform_int_distribution<Base::Duration::rep> draw(1, retryDelay.count());
            retryTimer = timers.subscribeAfter(Base::Duration(draw(random)), [self = this->weak_from_this()] {
                if (const auto state = self.lock()) {
                    state->poll();
                }
            });
            retryDelay = std::min(retryDelay * 2, settings.longestRetryDelay);
        }

        void setReachable(bool reachable)
        {
            if (std::exchange(isReachable, reachable) != reachable && events.onReachable) {
                events.onReachable(reachable);
            }
        }

        Log &log;
        Base::TimerService &timers;
        std::string stream;
        FollowerSettings settings;
        std::minstd_rand random;
        FollowerEvents events;
        Base::Duration retryDelay = settings.firstRetryDelay;
        Base::TimerId retryTimer;
        Offset next = FirstOffset;
        Offset tail = FirstOffset;
        std::uint64_t generation = 0;
        bool isTailKnown = false;
        bool isReachable = false;
        bool isRunning = false;
    };

    std::shared_ptr<State> m_state;
};

} // namespace Platform
