#pragma once

#include "jobspec.h"

#include <base/instant.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Jobs
{

/// Runs that ended when the lease of their silent worker did. Whether the worker has crashed or could not be
/// reached is not known until it answers again, its machine has a later worker, or for some time neither.
class LostRuns
{
public:
    /// `machine` and `startTime` are those of the worker's life that the run belonged to.
    void add(std::string_view worker,
             std::string_view machine,
             std::int64_t startTime,
             const TaskId &task,
             Base::Instant now);

    /// The worker has answered. Returns the tasks whose runs it had in this life, so that it has not crashed
    /// under them. What it had in an earlier life is settled.
    std::vector<TaskId> takeRefuted(std::string_view worker, std::int64_t startTime);
    /// A worker is listed on the machine. What an earlier one had there is settled.
    void settleMachine(std::string_view machine, std::int64_t startTime);
    /// Settles what has been open for too long.
    void expire(Base::Instant now);

    /// How many workers of the task's runs may still answer.
    std::uint32_t openLosses(const TaskId &task) const;

private:
    struct Entry {
        std::string worker;
        std::string machine;
        std::int64_t startTime = 0;
        TaskId task;
        Base::Instant lostAt;
    };

    std::vector<Entry> m_entries;
};

} // namespace Jobs
