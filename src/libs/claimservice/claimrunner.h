#pragma once

#include <base/logline.h>
#include <base/timerservice.h>
#include <claims/claimcoordinator.h>
#include <platform/streamfollower.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ClaimService
{

struct RunnerSettings {
    std::string stream = "claims";
    Base::MemberName member;
    Claims::CoordinatorSettings coordinator;
    Platform::FollowerSettings follower;
    Base::Duration startRetryDelay = std::chrono::milliseconds(200); ///< while the log is unreachable
    std::uint64_t seed = 0; ///< for the retry jitter of the follower
};

/// The reply to a claim: the request is granted and must be dispatched, or gets its final answer.
using ClaimReply = std::variant<Claims::Grant, Claims::ClaimAnswer>;

/// Runs a ClaimCoordinator over a stream of the log. Not thread-safe. It is not ready, and refuses claims,
/// until it has applied the records that were in the log when it started.
template<Platform::LogService Log>
class ClaimRunner
{
public:
    struct Events {
        std::function<void(ClaimReply)> onReply;
        std::function<void(bool isReady)> onReadiness; ///< called when readiness changes
    };

    ClaimRunner(Log &log, Base::TimerService &timers, const RunnerSettings &settings, Events events)
        : m_log(log)
        , m_timers(timers)
        , m_settings(settings)
        , m_events(std::move(events))
        , m_coordinator(std::make_unique<Claims::ClaimCoordinator>(
              settings.coordinator, settings.member, Platform::FirstOffset))
        , m_follower(log, timers, settings.stream, settings.follower, settings.seed)
        , m_callbackGuard(std::make_shared<ClaimRunner *>(this))
    {
    }
    ClaimRunner(const ClaimRunner &) = delete;
    ClaimRunner &operator=(const ClaimRunner &) = delete;
    ~ClaimRunner()
    {
        m_timers.cancel(m_tickTimer);
        m_timers.cancel(m_startTimer);
    }

    void start()
    {
        readTail(Platform::FirstOffset);
    }

    void claim(const Claims::ClaimRequest &request)
    {
        m_coordinator->claim(request, m_timers.now());
        takeOutputs();
    }

    void finish(std::uint64_t requestId, const Claims::RequestOutcome &outcome)
    {
        m_coordinator->onOutcome(requestId, outcome, m_timers.now());
        takeOutputs();
    }

    bool isReady() const
    {
        return m_coordinator->isReady();
    }

    /// The number of claims whose end event has not been read back from the log.
    std::size_t openClaims() const
    {
        return m_coordinator->openClaims();
    }

private:
    // Every successful read returns the end of the log. A read of trimmed records returns the first offset
    // instead.
    void readTail(Platform::Offset from)
    {
        m_log.read({m_settings.stream, from, 1, 0},
                   [guard = std::weak_ptr(m_callbackGuard)](const Platform::ReadOutcome &outcome) {
                       if (const auto self = guard.lock()) {
                           (*self)->onTailRead(outcome);
                       }
                   });
    }

    void onTailRead(const Platform::ReadOutcome &outcome)
    {
        if (const auto *read = std::get_if<Platform::ReadEntries>(&outcome)) {
            initialize(*read);
        } else if (const auto *trimmed = std::get_if<Platform::TrimmedPast>(&outcome)) {
            readTail(trimmed->first);
        } else {
            m_startTimer = m_timers.subscribeAfter(m_settings.startRetryDelay,
                                                   [this] { readTail(Platform::FirstOffset); });
        }
    }

    // Starts two windows before the end of the log: keys claimed in the first window may already have been
    // held before it, see ClaimTable. Counting offsets is sufficient because every record has at least one
    // event.
    void initialize(const Platform::ReadEntries &tail)
    {
        const Platform::Offset span = 2 * m_settings.coordinator.table.window;
        const Platform::Offset wanted = tail.end > span ? tail.end - span : Platform::FirstOffset;
        const Platform::Offset from = std::max(tail.first, wanted);
        m_coordinator =
            std::make_unique<Claims::ClaimCoordinator>(m_settings.coordinator, m_settings.member, from);
        m_coordinator->setTail(tail.end);
        follow(from);
        takeOutputs();
        Base::LogLine(Base::LogLevel::Info, "claims-start").with("from", from).with("tail", tail.end);
    }

    void follow(Platform::Offset from)
    {
        Platform::FollowerEvents events;
        events.onEntries = [this](std::span<const Platform::LogEntry> entries) {
            applyEntries(entries);
        };
        events.onTrimmedPast = [this](Platform::Offset first) {
            restartFrom(first);
        };
        m_follower.start(from, events);
    }

    void applyEntries(std::span<const Platform::LogEntry> entries)
    {
        for (const Platform::LogEntry &it : entries) {
            m_coordinator->applyRecord(it.data, m_timers.now());
        }
        takeOutputs();
    }

    void restartFrom(Platform::Offset first)
    {
        Base::LogLine(Base::LogLevel::Warning, "claims-lost-records")
            .with("next", m_coordinator->next())
            .with("first", first);
        m_coordinator->restartFrom(first, m_timers.now());
        m_coordinator->setTail(std::max(first, m_follower.tail()));
        takeOutputs();
        follow(first);
    }

    void takeOutputs()
    {
        for (auto &it : m_coordinator->takeOutputs()) {
            if (auto *record = std::get_if<Claims::AppendRecord>(&it)) {
                append(std::move(*record));
            } else if (const auto *grant = std::get_if<Claims::Grant>(&it)) {
                m_events.onReply(*grant);
            } else {
                m_events.onReply(std::get<Claims::ClaimAnswer>(std::move(it)));
            }
        }
        scheduleTick();
        reportReadiness();
    }

    void reportReadiness()
    {
        if (std::exchange(m_wasReady, isReady()) != isReady()) {
            m_events.onReadiness(isReady());
        }
    }

    void scheduleTick()
    {
        m_timers.cancel(m_tickTimer);
        if (const auto due = m_coordinator->nextDue()) {
            m_tickTimer = m_timers.subscribeAt(*due, [this] {
                m_coordinator->tick(m_timers.now());
                takeOutputs();
            });
        }
    }

    void append(Claims::AppendRecord record)
    {
        const Platform::LogRecord records[] = {{std::move(record.id), std::move(record.data)}};
        m_log.append(m_settings.stream,
                     records,
                     [guard = std::weak_ptr(m_callbackGuard)](const Platform::AppendOutcome &outcome) {
                         if (const auto self = guard.lock()) {
                             (*self)->onAppend(outcome);
                         }
                     });
    }

    void onAppend(const Platform::AppendOutcome &outcome)
    {
        if (const auto *rejected = std::get_if<Platform::AppendRejected>(&outcome)) {
            Base::LogLine(Base::LogLevel::Error, "claims-rejected").with("reason", rejected->reason);
        }
        m_coordinator->onAppend(resultOf(outcome), m_timers.now());
        takeOutputs();
    }

    static Claims::AppendResult resultOf(const Platform::AppendOutcome &outcome)
    {
        if (std::holds_alternative<Platform::Appended>(outcome)) {
            return Claims::AppendResult::Appended;
        }
        const bool isUnknown = std::holds_alternative<Platform::AppendUnknown>(outcome);
        return isUnknown ? Claims::AppendResult::Unknown : Claims::AppendResult::Unavailable;
    }

    Log &m_log;
    Base::TimerService &m_timers;
    RunnerSettings m_settings;
    Events m_events;
    std::unique_ptr<Claims::ClaimCoordinator> m_coordinator;
    Platform::StreamFollower<Log> m_follower;
    bool m_wasReady = false;
    Base::TimerId m_tickTimer;
    Base::TimerId m_startTimer;
    std::shared_ptr<ClaimRunner *> m_callbackGuard; ///< expires with the runner
};

} // namespace ClaimService
