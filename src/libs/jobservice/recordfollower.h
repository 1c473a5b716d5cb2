#pragma once

#include "readstatistics.h"

#include <base/logline.h>
#include <base/oneshottimer.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace JobService
{

/// One record of a compacted topic, which keeps the newest record of each key.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value; ///< nullopt if the key is deleted
    std::uint64_t offset = 0;
};

/// A page of a topic's snapshot: the newest record of each key.
struct SnapshotPage {
    std::vector<KeyedRecord> records{};
    std::optional<std::string> next; ///< key at which the next page begins, if there is one
    std::uint64_t end = 0; ///< end offset of the topic when the page was read
};

/// Records of a topic from an offset on.
struct TailPage {
    bool isExpired = false; ///< the records at the offset are no longer kept
    std::vector<KeyedRecord> records{};
    std::uint64_t next = 0; ///< offset after the last record
    std::uint64_t end = 0; ///< end offset of the topic when it was read
};

/// A page, or none, and how it was read.
template<typename Page>
struct ReadResult {
    ReadResult(std::optional<Page> readPage, ReadReport readReport = {})
        : page(std::move(readPage))
        , report(std::move(readReport))
    {
    }
    ReadResult(Page readPage)
        : page(std::move(readPage))
    {
    }
    ReadResult(std::nullopt_t)
    {
    }

    std::optional<Page> page{};
    ReadReport report{};
};

/// Gets the bytes received so far of an answer that is not whole.
using ReadProgress = std::function<void(std::size_t bytes)>;

struct FollowerSettings {
    Base::Duration wait =
        std::chrono::milliseconds{1000}; ///< how long the store holds a read without records
    Base::Duration pause{}; ///< between two reads at the end of the topic
    Base::Duration retryDelay = std::chrono::milliseconds{300}; ///< after a failed read
};

/// Follows a compacted topic: keeps the newest value of each key and reports changes. Of several changes of a
/// key in one read only the last is reported. A follower that has fallen behind reads without a pause until
/// it has reached the end.
template<typename Platform>
class RecordFollower
{
public:
    using Change = std::function<void(const std::string &key, const std::string *value)>;
    /// Called after each read that reached the end of the topic, when its changes have been reported.
    using UpToDate = std::function<void()>;

    RecordFollower(Platform &platform,
                   Base::TimerService &timers,
                   std::string topic,
                   const FollowerSettings &settings,
                   Change change,
                   UpToDate upToDate)
        : m_platform(platform)
        , m_timers(timers)
        , m_topic(std::move(topic))
        , m_settings(settings)
        , m_change(std::move(change))
        , m_upToDate(std::move(upToDate))
        , m_timer(timers)
    {
    }

    /// Reads the snapshot and then follows the topic. Does nothing if it has already been called.
    void start()
    {
        if (!std::exchange(m_isStarted, true)) {
            readSnapshot();
        }
    }

    /// Sets the pause between two reads. A shorter pause takes effect at once.
    void setPause(Base::Duration pause)
    {
        const bool isShorter = pause < m_settings.pause;
        m_settings.pause = pause;
        if (isShorter && m_isPaused) {
            m_timer.arm({}, [this] { readTail(); });
        }
    }

    /// Reads at once instead of waiting for new records. To be called when there are known to be some.
    void refresh()
    {
        if (m_end && !m_isReadingSnapshot) {
            m_timer.disarm();
            readTail({});
        }
    }

    /// The offset up to which all records have been reported; nullopt until the snapshot has been read.
    std::optional<std::uint64_t> end() const
    {
        return m_isReadingSnapshot ? std::nullopt : m_end;
    }

    /// The newest value of the key, or null.
    const std::string *value(const std::string &key) const
    {
        const auto it = m_entries.find(key);
        return it != m_entries.end() && it->second.value ? &*it->second.value : nullptr;
    }

    Base::Instant lastRead() const
    {
        return m_lastRead;
    }

    /// Whether an answer with records is arriving, so that the newest records are not known yet.
    bool isReceiving() const
    {
        return m_receivedAt && m_timers.now() - *m_receivedAt < MaxReceivingPause;
    }

    const std::string &topic() const
    {
        return m_topic;
    }

    const ReadStatistics &statistics() const
    {
        return m_statistics;
    }

private:
    // In records. From here on the snapshot is less to read than all missed records.
    static constexpr std::uint64_t MaxTailLag = 3000;
    static constexpr Base::Duration MaxReceivingPause = std::chrono::milliseconds{1000};
    static constexpr Base::Duration FailureLogInterval = std::chrono::seconds{1};

    void readSnapshot()
    {
        m_snapshotKeys.clear();
        m_end.reset();
        readPage(std::nullopt);
    }

    void readPage(std::optional<std::string> from)
    {
        m_isReadingSnapshot = true;
        m_requestedPage = from;
        m_readAt = m_timers.now();
        m_platform.readSnapshot(m_topic, from, progress(), [this](ReadResult<SnapshotPage> read) {
            auto &page = read.page;
            endRead(read.report, page.has_value());
            if (!page) {
                handleFailure(read.report);
                return;
            }
            if (!m_end) {
                m_end = page->end;
            }
            for (KeyedRecord &it : page->records) {
                m_snapshotKeys.insert(it.key);
                apply(std::move(it));
            }
            if (page->next) {
                readPage(page->next);
                return;
            }
            m_isReadingSnapshot = false;
            removeMissing();
            finishRead();
        });
    }

    // Records written while the snapshot is read can be in a page and in the tail; the older one is skipped.
    void apply(KeyedRecord record)
    {
        auto &entry = m_entries[record.key];
        if (entry.value && entry.offset >= record.offset) {
            return;
        }
        entry.offset = record.offset;
        if (entry.value == record.value) {
            return;
        }
        entry.value = std::move(record.value);
        m_change(record.key, entry.value ? &*entry.value : nullptr);
        if (!entry.value) {
            m_entries.erase(record.key);
        }
    }

    void removeMissing()
    {
        for (auto it = m_entries.begin(); it != m_entries.end();) {
            if (m_snapshotKeys.count(it->first) > 0) {
                ++it;
                continue;
            }
            const std::string key = it->first;
            it = m_entries.erase(it);
            m_change(key, nullptr);
        }
        m_snapshotKeys.clear();
    }

    void readTail()
    {
        readTail(m_settings.wait);
    }

    void readTail(Base::Duration wait)
    {
        m_isPaused = false;
        m_readAt = m_timers.now();
        const std::uint64_t number = ++m_lastTail;
        m_platform.readTail(m_topic, *m_end, wait, progress(), [this, number](ReadResult<TailPage> read) {
            if (number != m_lastTail) {
                return; // replaced by refresh()
            }
            auto &page = read.page;
            endRead(read.report, page.has_value());
            if (!page) {
                handleFailure(read.report);
                return;
            }
            if (page->isExpired) {
                readSnapshot();
                return;
            }
            const std::uint64_t missedBytes = missedBytesAfter(*page);
            applyNewest(page->records);
            const bool hasAdvanced = page->next > *m_end;
            m_end = page->next;
            if (page->next >= page->end || !hasAdvanced) {
                finishRead();
            } else if (page->end - page->next > MaxTailLag || missedBytes > snapshotBytes()) {
                readSnapshot();
            } else {
                readTail();
            }
        });
    }

    // Applies only the last record of each key.
    void applyNewest(std::vector<KeyedRecord> &records)
    {
        std::map<std::string_view, std::size_t> newest;
        for (std::size_t n = 0; n < records.size(); ++n) {
            newest[records[n].key] = n;
        }
        std::vector<std::size_t> order;
        order.reserve(newest.size());
        for (const auto &[key, n] : newest) {
            order.push_back(n);
        }
        std::sort(order.begin(), order.end());
        for (const std::size_t n : order) {
            apply(std::move(records[n]));
        }
    }

    void finishRead()
    {
        m_lastRead = m_timers.now();
        if (m_isFailing) {
            m_isFailing = false;
            Base::LogLine(Base::LogLevel::Info, "topic-regained")
                .with("topic", m_topic)
                .with("offset", *m_end)
                .with("tries", m_failedReads);
            m_failedReads = 0;
        }
        m_upToDate();
        m_isPaused = true;
        m_timer.arm(m_settings.pause, [this] { readTail(); });
    }

    ReadProgress progress()
    {
        return [this](std::size_t) {
            m_receivedAt = m_timers.now();
        };
    }

    // An estimate from the records of the page.
    static std::uint64_t missedBytesAfter(const TailPage &page)
    {
        std::uint64_t bytes = 0;
        for (const KeyedRecord &it : page.records) {
            bytes += it.key.size() + (it.value ? it.value->size() : 0);
        }
        return page.records.empty() ? 0 : bytes * (page.end - page.next) / page.records.size();
    }

    // Base64 makes four bytes of three (RFC 4648).
    std::uint64_t snapshotBytes() const
    {
        std::uint64_t bytes = 0;
        for (const auto &[key, entry] : m_entries) {
            bytes += key.size() + (entry.value ? entry.value->size() * 4 / 3 : 0);
        }
        return bytes;
    }

    void endRead(const ReadReport &report, bool isPage)
    {
        m_receivedAt.reset();
        m_statistics.add(report, m_timers.now() - m_readAt, isPage);
    }

    void handleFailure(const ReadReport &report)
    {
        ++m_failedReads;
        if (!m_isFailing) {
            m_isFailing = true;
            Base::LogLine(Base::LogLevel::Warning, "topic-lost").with("topic", m_topic);
        }
        logFailure(report);
        m_timer.arm(m_settings.retryDelay, [this] {
            // The failed page is requested again. Starting over with the first page would make all members
            // that the store rejects under load request every page again and again.
            if (m_isReadingSnapshot) {
                readPage(m_requestedPage);
            } else {
                readTail();
            }
        });
    }

    void logFailure(const ReadReport &report)
    {
        const Base::Instant now = m_timers.now();
        if (now < m_nextFailureLog) {
            return;
        }
        m_nextFailureLog = now + FailureLogInterval;
        Base::LogLine line(Base::LogLevel::Warning, "topic-read-failed");
        line.with("topic", m_topic)
            .with("reason", toString(report.failure))
            .with("detail", report.detail)
            .with("status", report.status)
            .with("bytes", report.bytes);
        if (report.firstByteAfter) {
            line.with("first_byte_ms", milliseconds(*report.firstByteAfter));
        }
        line.with("duration_ms", milliseconds(now - m_readAt))
            .with("tries", m_failedReads)
            .with("from", m_end.value_or(0))
            .with("snapshot", m_isReadingSnapshot)
            .with("age_ms", milliseconds(now - m_lastRead));
    }

    static std::int64_t milliseconds(Base::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    struct Entry {
        std::optional<std::string> value;
        std::uint64_t offset = 0;
    };

    Platform &m_platform;
    Base::TimerService &m_timers;
    std::string m_topic;
    FollowerSettings m_settings;
    Change m_change;
    UpToDate m_upToDate;
    Base::OneShotTimer m_timer;
    std::map<std::string, Entry> m_entries;
    std::set<std::string> m_snapshotKeys; ///< keys of the snapshot pages read so far
    std::optional<std::uint64_t> m_end;
    std::uint64_t m_lastTail = 0; ///< number of the latest read of the tail
    Base::Instant m_lastRead;
    std::optional<Base::Instant> m_receivedAt; ///< latest part of an answer that is not whole
    Base::Instant m_readAt; ///< start of the latest read
    ReadStatistics m_statistics;
    std::uint64_t m_failedReads = 0; ///< since the last one that succeeded
    Base::Instant m_nextFailureLog;
    bool m_isFailing = false;
    std::optional<std::string> m_requestedPage; ///< last page requested; nullopt for the first
    bool m_isStarted = false;
    bool m_isReadingSnapshot = false;
    bool m_isPaused = false;
};

} // namespace JobService
