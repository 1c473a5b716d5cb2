#pragma once

#include "ports.h"
#include "recordfollower.h"
#include "servicelayout.h"

#include <base/logline.h>
#include <base/oneshottimer.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace JobService
{

/// Sees to it that every service of the configuration has a shard in the stored layout.
template<typename Platform>
class LayoutKeeper
{
public:
    LayoutKeeper(Platform &platform,
                 Base::TimerService &timers,
                 std::string topic,
                 ServiceLayout &layout,
                 std::function<void()> changed)
        : m_platform(platform)
        , m_topic(std::move(topic))
        , m_layout(layout)
        , m_changed(std::move(changed))
        , m_timer(timers)
    {
    }

    void ensure(std::vector<std::string> services)
    {
        m_services = std::move(services);
        if (!m_isReading && !m_layout.missing(m_services).empty()) {
            read();
        }
    }

    bool isComplete() const
    {
        return m_layout.missing(m_services).empty();
    }

private:
    static constexpr Base::Duration RetryPause = std::chrono::milliseconds{200};

    void read()
    {
        m_isReading = true;
        readPage(std::nullopt, std::nullopt);
    }

    void readPage(std::optional<std::string> from, std::optional<std::uint64_t> end)
    {
        m_platform.readNewest(m_topic, from, [this, end](std::optional<NewestPage> page) {
            if (!page) {
                retry();
                return;
            }
            for (const KeyedRecord &it : page->records) {
                if (it.value) {
                    m_layout.load(it.key, *it.value);
                }
            }
            const std::uint64_t first = end.value_or(page->end);
            if (page->next) {
                readPage(page->next, first);
                return;
            }
            extend(first);
        });
    }

    // Another member that writes at the same time makes the condition fail; its numbers are read then.
    void extend(std::uint64_t end)
    {
        const auto records = m_layout.missing(m_services);
        if (records.empty()) {
            m_isReading = false;
            m_changed();
            return;
        }
        m_platform.appendAt(m_topic, end, records, [this](StoreAnswer answer) {
            if (answer.status == StoreStatus::Done) {
                Base::LogLine(Base::LogLevel::Info, "layout-extended").with("services", m_services.size());
            }
            read();
        });
    }

    void retry()
    {
        m_timer.arm(RetryPause, [this] { read(); });
    }

    Platform &m_platform;
    std::string m_topic;
    ServiceLayout &m_layout;
    std::function<void()> m_changed;
    Base::OneShotTimer m_timer;
    std::vector<std::string> m_services;
    bool m_isReading = false;
};

} // namespace JobService
