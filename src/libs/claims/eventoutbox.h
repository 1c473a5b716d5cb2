#pragma once

#include "claimrecord.h"

#include <base/instant.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace Claims
{

struct OutboxSettings {
    Base::Duration minAppendInterval = std::chrono::milliseconds(40);
    Base::Duration retryDelay = std::chrono::milliseconds(250); ///< after an append that did not succeed
    std::size_t maxBatchEvents = 1000;
};

/// Group commit: at most one append is outstanding, carries all that waits, and starts no sooner than the
/// minimum interval after the last one. Events of an append whose outcome is unknown are sent again.
class EventOutbox
{
public:
    explicit EventOutbox(const OutboxSettings &settings);

    /// `due` is when it has to be on its way at the latest, the minimum interval allowing. An append that is
    /// due sooner takes it along.
    void add(ClaimEvent event, Base::Instant due);

    /// The events of the next append, of those that `isWanted`; empty when none is due.
    template<typename IsStillNeeded>
    std::vector<ClaimEvent> takeBatch(Base::Instant now, IsStillNeeded isStillNeeded)
    {
        requeueUnknown(now);
        if (!isDue(now)) {
            return {};
        }
        std::vector<ClaimEvent> batch;
        while (!m_queue.empty() && batch.size() < m_settings.maxBatchEvents) {
            if (isStillNeeded(m_queue.front())) {
                batch.push_back(std::move(m_queue.front()));
            }
            m_queue.pop_front();
        }
        m_queueDue = m_queue.empty() ? std::nullopt : std::optional(now);
        if (!batch.empty()) {
            beginAppend(batch, now);
        }
        return batch;
    }

    // The outcome of the outstanding append.
    void onAppended();
    void onUnknown(Base::Instant now);

    /// Proven not taken. Returns the events of the append.
    std::vector<ClaimEvent> onUnavailable(Base::Instant now);

    /// Whether appends have failed of late.
    bool isLogUnavailable(Base::Instant now) const;

    std::optional<Base::Instant> nextDue() const;

private:
    struct UnknownBatch {
        Base::Instant retryAt;
        std::vector<ClaimEvent> events;
    };

    bool isDue(Base::Instant now) const;
    void requeue(std::vector<ClaimEvent> events, Base::Instant now);
    void requeueUnknown(Base::Instant now);
    void beginAppend(const std::vector<ClaimEvent> &batch, Base::Instant now);
    void recordFailure(Base::Instant now);

    OutboxSettings m_settings;
    std::deque<ClaimEvent> m_queue;
    std::optional<Base::Instant> m_queueDue; ///< the earliest of the queue
    std::vector<ClaimEvent> m_inFlight;
    std::deque<UnknownBatch> m_unknown;
    Base::Instant m_notBefore;
    Base::Instant m_lastFailure;
    unsigned m_consecutiveFailures = 0;
};

} // namespace Claims
