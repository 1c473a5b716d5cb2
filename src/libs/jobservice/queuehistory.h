#pragma once

#include "checksum.h"
#include "ports.h"
#include "recordfollower.h"

#include <base/logline.h>
#include <base/oneshottimer.h>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace JobService
{

/// Stores which services have run the jobs of each queue, so that jobs are found after their queue has got
/// another service, also by members that have started since. A queue is identified by its name, and by the
/// host and path prefix under which its jobs are submitted, as either may change.
template<typename Platform>
class QueueHistory
{
public:
    QueueHistory(Platform &platform, Base::TimerService &timers, std::string topic)
        : m_platform(platform)
        , m_timers(timers)
        , m_topic(std::move(topic))
        , m_follower(
              platform,
              timers,
              m_topic,
              {.wait = ReadWait},
              [this](const std::string &key, const std::string *value) { apply(key, value); },
              [this] { append(); })
        , m_timer(timers)
    {
    }

    void start()
    {
        m_follower.start();
    }

    /// The services that are known to be stored for any of the queue's identifiers.
    std::set<std::string> services(const std::vector<std::string> &queue) const
    {
        std::set<std::string> found;
        for (const std::string &it : queue) {
            if (const auto known = m_services.find(it); known != m_services.end()) {
                found.insert(known->second.begin(), known->second.end());
            }
        }
        return found;
    }

    /// Whether the service is known to be stored for each of the queue's identifiers.
    bool contains(const std::vector<std::string> &queue, const std::string &service) const
    {
        return std::all_of(queue.begin(), queue.end(), [&](const std::string &it) {
            const auto known = m_services.find(it);
            return known != m_services.end() && known->second.count(service) > 0;
        });
    }

    /// Adds a service that another member has stored, perhaps before this one reads the record.
    void learn(const std::vector<std::string> &queue, const std::string &service)
    {
        for (const std::string &it : queue) {
            m_services[it].insert(service);
        }
    }

    using Recorded = std::function<void(bool isStored)>;

    /// Stores that the service runs jobs of the queue. `recorded` is called when that is stored, and all that
    /// was stored before is known, or when the store can't be reached.
    void record(const std::vector<std::string> &queue, const std::string &service, const Recorded &recorded)
    {
        struct Progress {
            Recorded recorded;
            std::size_t remaining = 0;
            bool isStored = true;
        };
        const auto progress = std::make_shared<Progress>();
        progress->recorded = recorded;
        progress->remaining = queue.size();
        for (const std::string &it : queue) {
            Addition &addition = m_additions[keyOf(it, service)];
            if (addition.waiting.empty()) {
                addition.value = fmt::format("{}{}{}", service, Separator, it);
                addition.since = m_timers.now();
            }
            addition.waiting.push_back([progress](bool isStored) {
                progress->isStored = progress->isStored && isStored;
                if (--progress->remaining == 0) {
                    progress->recorded(progress->isStored);
                }
            });
        }
        append();
    }

    const RecordFollower<Platform> &follower() const
    {
        return m_follower;
    }

private:
    static constexpr char Separator = '\n';
    static constexpr Base::Duration ReadWait = std::chrono::milliseconds{5000};
    static constexpr Base::Duration RetryDelay = std::chrono::milliseconds{50};
    static constexpr Base::Duration RecordTimeout = std::chrono::milliseconds{500};

    struct Addition {
        std::string value;
        Base::Instant since;
        std::vector<Recorded> waiting;
    };

    // The store limits the length of keys.
    static std::string keyOf(const std::string &queue, const std::string &service)
    {
        return fmt::format("{:08x}{:08x}", checksum(queue), checksum(service));
    }

    void apply(const std::string &key, const std::string *value)
    {
        if (!value) {
            return;
        }
        const auto end = value->find(Separator);
        if (end == std::string::npos) {
            Base::LogLine(Base::LogLevel::Error, "record-unreadable")
                .with("key", key)
                .with("bytes", value->size());
            return;
        }
        m_services[value->substr(end + 1)].insert(value->substr(0, end));
        finish(key, true);
    }

    // The append is conditional on the offset. If another member has written in the meantime it fails, and
    // what that member has written is read first: soon, as a read that waits may have missed it.
    void append()
    {
        if (!m_additions.empty()) {
            m_timer.arm(RetryDelay, [this] { retry(); });
        }
        const auto end = m_follower.end();
        if (m_isAppending || m_additions.empty() || !end) {
            return;
        }
        std::vector<Jobs::Record> records;
        for (const auto &[key, addition] : m_additions) {
            records.push_back({key, addition.value});
        }
        m_isAppending = true;
        m_platform.appendAt(m_topic, *end, records, [this, records](StoreAnswer answer) {
            m_isAppending = false;
            if (answer.status == StoreStatus::Done) {
                for (const Jobs::Record &it : records) {
                    apply(it.key, &it.value);
                }
            }
            m_mayBeOutdated = answer.status == StoreStatus::NotDone;
        });
    }

    void retry()
    {
        std::vector<std::string> late;
        for (const auto &[key, addition] : m_additions) {
            if (m_timers.now() - addition.since > RecordTimeout) {
                late.push_back(key);
            }
        }
        for (const std::string &it : late) {
            Base::LogLine(Base::LogLevel::Warning, "queue-not-recorded")
                .with("key", it)
                .with("topic", m_topic);
            finish(it, false);
        }
        if (!m_additions.empty() && std::exchange(m_mayBeOutdated, false)) {
            m_timer.arm(RetryDelay, [this] { retry(); });
            m_follower.refresh();
            return;
        }
        append();
    }

    void finish(const std::string &key, bool isStored)
    {
        const auto it = m_additions.find(key);
        if (it == m_additions.end()) {
            return;
        }
        const Addition addition = std::move(it->second);
        m_additions.erase(it);
        for (const Recorded &recorded : addition.waiting) {
            recorded(isStored);
        }
    }

    Platform &m_platform;
    Base::TimerService &m_timers;
    std::string m_topic;
    std::map<std::string, std::set<std::string>> m_services; ///< by identifier of the queue
    std::map<std::string, Addition> m_additions; ///< by key
    RecordFollower<Platform> m_follower;
    Base::OneShotTimer m_timer;
    bool m_isAppending = false;
    bool m_mayBeOutdated = false; ///< the latest append was not done, perhaps as others have written
};

} // namespace JobService
