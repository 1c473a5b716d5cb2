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
    Base::Duration retryDelay = std::chrono::milliseconds(250); ///< after a failed append
    std::size_t maxBatchEvents = 1000;
};

/// Queues events and appends them with group commit: at most one append is in flight. It carries the waiting
/// events, up to the maximum batch size, and starts no sooner than the minimum interval after the previous
/// one. Events of an append whose outcome is unknown are sent again.
class EventOutbox
{
public:
    explicit EventOutbox(const OutboxSettings &settings);

    /// Queues `event` to be sent by `due` at the latest, subject to the minimum interval. An append that is
    /// due earlier also carries it.
    void add(ClaimEvent event, Base::Instant due);

    /// Returns the events of the next append, or none if no append is due. Drops events for which
    /// `isStillNeeded` returns false.
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

    // Report the outcome of the append in flight.
    void onAppended();
    void onUnknown(Base::Instant now);

    /// The append is certain not to have been added to the log. Returns its events.
    std::vector<ClaimEvent> onUnavailable(Base::Instant now);

    /// Whether recent appends have failed.
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
    std::optional<Base::Instant> m_queueDue; ///< the earliest due time in the queue
    std::vector<ClaimEvent> m_inFlight;
    std::deque<UnknownBatch> m_unknown;
    Base::Instant m_notBefore;
    Base::Instant m_lastFailure;
    unsigned m_consecutiveFailures = 0;
};

} // namespace Claims
