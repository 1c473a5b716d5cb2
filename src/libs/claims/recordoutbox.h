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
    Base::Duration minAppendInterval = std::chrono::milliseconds(20);
    Base::Duration retryDelay = std::chrono::milliseconds(250); ///< after an append that did not succeed
    std::size_t maxBatchRecords = 1000;
};

/// Group commit: at most one append is outstanding, carries all that waits, and starts no sooner than the
/// minimum interval after the last one. Records of an append whose outcome is unknown are sent again.
class RecordOutbox
{
public:
    explicit RecordOutbox(const OutboxSettings &settings);

    void add(ClaimRecord record);

    /// The records of the next append, of those that `isWanted`; empty when none is due.
    template<typename IsWanted>
    std::vector<ClaimRecord> takeBatch(Base::Instant now, IsWanted isWanted)
    {
        if (!isDue(now)) {
            return {};
        }
        requeueUnknown(now);
        std::vector<ClaimRecord> batch;
        while (!m_queue.empty() && batch.size() < m_settings.maxBatchRecords) {
            if (isWanted(m_queue.front())) {
                batch.push_back(std::move(m_queue.front()));
            }
            m_queue.pop_front();
        }
        if (!batch.empty()) {
            start(batch, now);
        }
        return batch;
    }

    // The outcome of the outstanding append.
    void onAppended();
    void onUnknown(Base::Instant now);

    /// Proven not taken. Returns the records of the append.
    std::vector<ClaimRecord> onUnavailable(Base::Instant now);

    /// Whether appends have failed of late.
    bool isLogOut(Base::Instant now) const;

    std::optional<Base::Instant> nextDue() const;

private:
    struct UnknownBatch {
        Base::Instant retryAt;
        std::vector<ClaimRecord> records;
    };

    bool isDue(Base::Instant now) const;
    void requeueUnknown(Base::Instant now);
    void start(const std::vector<ClaimRecord> &batch, Base::Instant now);
    void noteFailure(Base::Instant now);

    OutboxSettings m_settings;
    std::deque<ClaimRecord> m_queue;
    std::vector<ClaimRecord> m_inFlight;
    std::deque<UnknownBatch> m_unknown;
    Base::Instant m_notBefore;
    Base::Instant m_lastFailure;
    unsigned m_failuresInARow = 0;
};

} // namespace Claims
