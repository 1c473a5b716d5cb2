#include "job.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <span>

namespace Jobs
{

namespace
{

// By the users' rules a result counts as late up to this multiple of the time between due time and objective,
// and is worth nothing after it.
constexpr int LateFactor = 3;

// Stages depend on earlier stages only, so a single pass in order finds the longest path.
template<typename TimeOf>
Milliseconds longestPath(std::span<const Stage> stages, TimeOf timeOf)
{
    Milliseconds longest{};
    std::vector<Milliseconds> ends(stages.size());
    for (std::size_t n = 0; n < stages.size(); ++n) {
        for (const std::uint32_t it : stages[n].dependsOn) {
            ends[n] = std::max(ends[n], ends[it]);
        }
        ends[n] += timeOf(n);
        longest = std::max(longest, ends[n]);
    }
    return longest;
}

template<typename Occurrences>
auto findTask(Occurrences &occurrences, const TaskId &id)
    -> decltype(&occurrences.begin()->second.stages[0].tasks[0])
{
    const auto it = occurrences.find(id.occurrence);
    if (it == occurrences.end() || id.stage >= it->second.stages.size()) {
        return nullptr;
    }
    auto &tasks = it->second.stages[id.stage].tasks;
    return id.index < tasks.size() ? &tasks[id.index] : nullptr;
}

} // namespace

std::string toString(const TaskId &task)
{
    return fmt::format("{}.{}.{}.{}", task.job, task.occurrence, task.stage, task.index);
}

std::optional<TaskId> taskIdFromString(std::string_view text)
{
    std::uint32_t numbers[3] = {};
    for (int n = 2; n >= 0; --n) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        const auto digits = text.substr(dot + 1);
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), numbers[n]);
        if (ec != std::errc() || end != digits.data() + digits.size()) {
            return std::nullopt;
        }
        text = text.substr(0, dot);
    }
    return TaskId{std::string(text), numbers[0], numbers[1], numbers[2]};
}

std::string_view toString(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NoRoom:
        return "no-room";
    case WaitReason::Share:
        return "share";
    case WaitReason::Quota:
        return "quota";
    case WaitReason::UnknownQuota:
        return "unknown-quota";
    case WaitReason::Advice:
        return "advice";
    case WaitReason::EmptyWorker:
        return "empty-worker";
    case WaitReason::OpenLoss:
        return "open-loss";
    }
    return "unknown";
}

void StageProgress::setWait(WaitReason reason, Base::Instant now)
{
    const Base::Instant since = wait ? wait->since : now;
    const Base::Instant reasonSince = wait && wait->reason == reason ? wait->reasonSince : now;
    wait = StageWait{reason, reasonSince, since};
}

bool StageProgress::hasWaitingTask() const
{
    return std::any_of(tasks.begin(), tasks.end(), [](const Task &it) { return it.isWaiting(); });
}

Occurrence &Job::addOccurrence(std::uint32_t number)
{
    Occurrence &occurrence = occurrences[number];
    occurrence.stages.resize(spec.stages.size());
    for (std::size_t n = 0; n < spec.stages.size(); ++n) {
        occurrence.stages[n].tasks.resize(spec.stages[n].count);
    }
    nextOccurrence = std::max(nextOccurrence, number + 1);
    return occurrence;
}

Task *Job::find(const TaskId &id)
{
    return findTask(occurrences, id);
}

const Task *Job::find(const TaskId &id) const
{
    return findTask(occurrences, id);
}

const Stage *Job::stageOf(const TaskId &id) const
{
    return id.stage < spec.stages.size() ? &spec.stages[id.stage] : nullptr;
}

bool Job::isReady(const Occurrence &occurrence, std::uint32_t stage) const
{
    const auto &needed = spec.stages[stage].dependsOn;
    return std::all_of(
        needed.begin(), needed.end(), [&](std::uint32_t it) { return occurrence.stages[it].isDone(); });
}

std::string_view Job::failureReason() const
{
    if (storedState != JobState::Failed) {
        return {};
    }
    std::uint32_t crashes = 0;
    std::uint32_t failures = 0;
    for (const auto &[number, occurrence] : occurrences) {
        for (const StageProgress &stage : occurrence.stages) {
            for (const Task &it : stage.tasks) {
                crashes = std::max(crashes, it.crashes);
                failures = std::max(failures, it.failures);
            }
        }
    }
    return failures >= spec.queue.maxAttempts || crashes == 0 ? "a task failed too often"
                                                              : "workers crashed under a task";
}

bool Job::hasRuns() const
{
    for (const auto &[number, occurrence] : occurrences) {
        for (const StageProgress &stage : occurrence.stages) {
            for (const Task &it : stage.tasks) {
                if (it.run != RunState::None) {
                    return true;
                }
            }
        }
    }
    return false;
}

Milliseconds Job::expectedTime(const Occurrence &occurrence, std::size_t stage) const
{
    const auto &expectation = occurrence.stages[stage].expectation;
    return expectation ? expectation->time : spec.stages[stage].estimate;
}

Milliseconds Job::remainingCriticalPath(const Occurrence &occurrence) const
{
    return longestPath(spec.stages, [&](std::size_t stage) {
        return occurrence.stages[stage].isDone() ? Milliseconds{} : expectedTime(occurrence, stage);
    });
}

Milliseconds Job::criticalPath(std::uint32_t occurrence) const
{
    const auto it = occurrences.find(occurrence);
    return longestPath(spec.stages, [&](std::size_t stage) {
        return it != occurrences.end() ? expectedTime(it->second, stage) : spec.stages[stage].estimate;
    });
}

double Job::work() const
{
    double sum = 0;
    for (std::size_t n = 0; n < spec.stages.size(); ++n) {
        const Stage &stage = spec.stages[n];
        const Milliseconds time =
            occurrences.empty() ? stage.estimate : expectedTime(occurrences.begin()->second, n);
        if (!stage.isLongRunning) {
            sum += stage.count * double(stage.size.milliCores) / 1000 * double(time.count()) / 1000;
        }
    }
    return sum;
}

WallTime Job::due(std::uint32_t occurrence) const
{
    return spec.isTimed() ? spec.firstDue + spec.interval * occurrence : acceptedAt;
}

WallTime Job::objective(std::uint32_t occurrence) const
{
    return due(occurrence)
        + Milliseconds(
               static_cast<std::int64_t>(spec.queue.slackFactor * double(criticalPath(occurrence).count())))
        + spec.queue.targetLatency;
}

WallTime Job::lateLimit(std::uint32_t occurrence) const
{
    return due(occurrence) + LateFactor * (objective(occurrence) - due(occurrence));
}

} // namespace Jobs
