#include "lostruns.h"

#include <algorithm>

namespace Jobs
{

namespace
{

// Longer than a machine takes to come back, and than workers are usually unreachable.
constexpr Milliseconds MaxOpenTime{15'000};

} // namespace

void LostRuns::add(std::string_view worker,
                   std::string_view machine,
                   std::int64_t startTime,
                   const TaskId &task,
                   Base::Instant now)
{
    m_entries.push_back({std::string(worker), std::string(machine), startTime, task, now});
}

std::vector<TaskId> LostRuns::takeRefuted(std::string_view worker, std::int64_t startTime)
{
    std::vector<TaskId> refuted;
    std::erase_if(m_entries, [&](const Entry &it) {
        if (it.worker != worker) {
            return false;
        }
        if (it.startTime == startTime) {
            refuted.push_back(it.task);
        }
        return true;
    });
    return refuted;
}

void LostRuns::settleMachine(std::string_view machine, std::int64_t startTime)
{
    if (!machine.empty()) {
        std::erase_if(m_entries,
                      [&](const Entry &it) { return it.machine == machine && it.startTime < startTime; });
    }
}

void LostRuns::expire(Base::Instant now)
{
    std::erase_if(m_entries, [now](const Entry &it) { return now - it.lostAt > MaxOpenTime; });
}

std::uint32_t LostRuns::openLosses(const TaskId &task) const
{
    return static_cast<std::uint32_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [&task](const Entry &it) { return it.task == task; }));
}

} // namespace Jobs
