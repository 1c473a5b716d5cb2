#pragma once

#include <fleet/fold.h>
#include <histories/history.h>
#include <replay/step.h>

#include <cstdint>
#include <string>

namespace Scenarios
{

inline const Base::AvailabilityZoneName Zone{"a"};
inline const Base::MemberName Alpha{"alpha"};
inline const Base::MemberName Beta{"beta"};

/// Twelve instances in three pools of four; each service keeps a quarter of its pool's slots.
Document::Document smallDocument();

/// The state before all records.
Fleet::Fold emptyFold();

/// Appends records to both streams and folds them, so that authors know the tail.
class Scenario
{
public:
    /// Two members join and the first one claims the planner's lease.
    explicit Scenario(const Document::Document &document = smallDocument());

    void edit(Document::Delta delta);
    Fleet::Offset report(Fleet::Event event); ///< by a member; the record's offset
    Fleet::Offset decide(Fleet::Event event); ///< by the holder of the lease; the record's offset
    void observe(std::uint64_t seconds, double busySlots);
    void acknowledge(const Fleet::ActionId &id);
    void move(const Fleet::ActionId &id, std::size_t worker, std::size_t from, std::size_t to);
    void maintain(const Fleet::ActionId &id, const Fleet::ActionId &wave, std::size_t worker);

    Replay::Streams streams() const
    {
        return {m_history.common, m_history.zone};
    }

    const Fleet::Fold &fold() const
    {
        return m_fold;
    }

private:
    Fleet::Offset append(Fleet::Event event, Fleet::Offset term);

    Histories::History m_history;
    Fleet::Fold m_fold;
};

Base::InstanceName workerName(std::size_t n);
Base::PoolName poolName(std::size_t n);

/// A move and a maintenance wave, both as they should be, with an edit in between and a snapshot at the end.
Scenario soundScenario();

} // namespace Scenarios
