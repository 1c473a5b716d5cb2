#pragma once

#include "report.h"

#include <map>
#include <optional>

namespace Replay::Internal
{

/// Gathers a report step by step.
class ReportBuilder
{
public:
    void add(const Step &step);

    Report finished(const Base::AvailabilityZoneName &zone) const;

private:
    struct PoolSample {
        double availableSlots = 0;
        double busySlots = 0;
    };

    /// The maintenance of a pool's instances in one wave.
    struct RollOut {
        Fleet::ActionId wave;
        Base::Duration startedAt{};
    };

    struct OpenMaintenance {
        Base::PoolName pool;
        bool isRebooting = false;
    };

    void observe(const Step &step, const Fleet::PlannerObserved &observed);
    void charge(Base::Duration duration);
    void noteMoves(const Step &step);
    void endAbortedMoves(const Step &step);
    void noteMaintenance(const Step &step);
    void beginMaintenance(const Step &step, const Fleet::MaintenanceStarted &event);
    void endMaintenance(const Fleet::MaintenanceEnded &event);
    PoolReport &pool(const Base::PoolName &name);

    Report m_report;
    std::map<Base::PoolName, PoolReport> m_pools;
    std::map<Base::PoolName, PoolSample> m_sample; ///< the last
    std::map<Fleet::ActionId, Fleet::MoveStarted> m_moves;
    std::map<Fleet::ActionId, OpenMaintenance> m_maintenances;
    std::map<Base::PoolName, RollOut> m_rollOuts;
    std::map<Base::PoolName, Base::Duration> m_rolledOut; ///< before the current wave
    std::optional<Fleet::Offset> m_term;
    Base::Instant m_observedAt;
    std::size_t m_committed = 0;
};

} // namespace Replay::Internal
