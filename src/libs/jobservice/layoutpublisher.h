#pragma once

#include "ports.h"
#include "recordfollower.h"
#include "servicelayout.h"

#include <base/logline.h>
#include <base/oneshottimer.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace JobService
{

/// Ensures that every service of the configuration has shards in the stored layout. The member that knows the
/// sizes of the pools writes the missing entries. The other members read the layout until it is complete;
/// after a timeout they assign one shard to each service that is still missing.
template<typename Platform>
class LayoutPublisher
{
public:
    LayoutPublisher(Platform &platform,
                    Base::TimerService &timers,
                    std::string topic,
                    ServiceLayout &layout,
                    std::function<void()> changed)
        : m_platform(platform)
        , m_timers(timers)
        , m_topic(std::move(topic))
        , m_layout(layout)
        , m_changed(std::move(changed))
        , m_timer(timers)
    {
    }

    void ensure(std::vector<std::string> services)
    {
        m_services = std::move(services);
        if (!m_isReading && !isComplete()) {
            m_incompleteSince = m_timers.now();
            read();
        }
    }

    /// Sets the number of machines per pool.
    void setPoolSizes(std::map<std::string, std::size_t> sizes)
    {
        m_sizes = std::move(sizes);
    }

    bool isComplete() const
    {
        return m_layout.isComplete(m_services);
    }

private:
    static constexpr Base::Duration RetryDelay = std::chrono::milliseconds{400};
    // Longer than the first assignment of the shards and a list of machines take.
    static constexpr Base::Duration PoolSizesTimeout = std::chrono::milliseconds{6000};

    void read()
    {
        m_isReading = true;
        readPage(std::nullopt, std::nullopt);
    }

    void readPage(std::optional<std::string> from, std::optional<std::uint64_t> end)
    {
        m_platform.readSnapshot(m_topic, from, {}, [this, end](const ReadResult<SnapshotPage> &read) {
            const auto &page = read.page;
            if (!page) {
                Base::LogLine(Base::LogLevel::Warning, "layout-read-failed")
                    .with("reason", toString(read.report.failure))
                    .with("detail", read.report.detail)
                    .with("status", read.report.status)
                    .with("bytes", read.report.bytes);
                retry();
                return;
            }
            for (const KeyedRecord &it : page->records) {
                if (it.value) {
                    m_layout.load(it.key, *it.value);
                }
            }
            const std::uint64_t snapshotEnd = end.value_or(page->end);
            if (page->next) {
                readPage(page->next, snapshotEnd);
                return;
            }
            extend(snapshotEnd);
        });
    }

    // The append is conditional on the offset. If another member has written in the meantime it fails, and
    // the layout written by that member is read.
    void extend(std::uint64_t end)
    {
        if (isComplete()) {
            m_isReading = false;
            m_changed();
            return;
        }
        if (!m_sizes && m_timers.now() - m_incompleteSince < PoolSizesTimeout) {
            retry();
            return;
        }
        std::vector<ServiceSize> sizes;
        for (const std::string &it : m_services) {
            const bool isKnown = m_sizes && m_sizes->count(it) > 0;
            sizes.push_back({it, isKnown ? m_sizes->at(it) : 0});
        }
        const auto records = m_layout.missing(sizes);
        m_platform.appendAt(m_topic, end, records, [this](StoreAnswer answer) {
            if (answer.status == StoreStatus::Done) {
                Base::LogLine(Base::LogLevel::Info, "layout-extended").with("services", m_services.size());
            }
            read();
        });
    }

    void retry()
    {
        m_timer.arm(RetryDelay, [this] { read(); });
    }

    Platform &m_platform;
    Base::TimerService &m_timers;
    std::string m_topic;
    ServiceLayout &m_layout;
    std::function<void()> m_changed;
    Base::OneShotTimer m_timer;
    std::vector<std::string> m_services;
    std::optional<std::map<std::string, std::size_t>> m_sizes;
    Base::Instant m_incompleteSince;
    bool m_isReading = false;
};

} // namespace JobService
