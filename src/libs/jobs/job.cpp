#include "job.h"

#include "placement.h"

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

// Open occurrences of a job that are untouched: enough for all starts of a placement. Touched ones are in its
// record, which the store limits. One is open in any case, however many tasks it has.
constexpr std::uint64_t MaxUntouchedOccurrences = 256;
constexpr std::uint64_t MaxUntouchedTasks = 1024;
constexpr std::uint64_t MaxOpenTasks = 2048;

// Due times are clamped to this, about 30,000 years from 1970, so that sums of them don't overflow. Callers
// choose the first due time, the interval and the number of occurrences.
constexpr std::int64_t MaxTime = 1'000'000'000'000'000;

constexpr std::size_t MapNodeBytes = 64;

std::int64_t clampTime(std::int64_t time)
{
    return std::clamp(time, -MaxTime, MaxTime);
}

std::uint64_t tasksPerOccurrence(const JobSpec &spec)
{
    std::uint64_t n = 0;
    for (const Stage &it : spec.stages) {
        n += it.count;
    }
    return std::max<std::uint64_t>(1, n);
}

std::int64_t clampedInterval(const JobSpec &spec)
{
    return std::clamp<std::int64_t>(spec.interval.count(), 0, MaxTime);
}

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

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::None:
        return "none";
    case RunState::Planned:
        return "planned";
    case RunState::Starting:
        return "starting";
    case RunState::Running:
        return "running";
    case RunState::Unanswered:
        return "unanswered";
    case RunState::Inherited:
        return "inherited";
    case RunState::Stopping:
        return "stopping";
    }
    return "unknown";
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
    case WaitReason::OpenTasks:
        return "open-tasks";
    case WaitReason::StrayRun:
        return "stray-run";
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
    return tasks.size() < count
        || std::any_of(tasks.begin(), tasks.end(), [](const Task &it) { return it.isWaiting(); });
}

std::uint32_t StageProgress::waitingTasks() const
{
    const auto waiting =
        std::count_if(tasks.begin(), tasks.end(), [](const Task &it) { return it.isWaiting(); });
    return count - static_cast<std::uint32_t>(tasks.size() - static_cast<std::size_t>(waiting));
}

std::vector<Task> &StageProgress::allTasks()
{
    tasks.resize(count);
    return tasks;
}

Task &StageProgress::addTask()
{
    if (tasks.size() == tasks.capacity()) {
        tasks.reserve(std::min<std::size_t>(count, std::max<std::size_t>(4, 2 * tasks.size())));
    }
    return tasks.emplace_back();
}

void StageProgress::removeUntouched()
{
    while (!tasks.empty() && tasks.back().isUntouched()) {
        tasks.pop_back();
    }
    if (tasks.empty()) {
        tasks.shrink_to_fit();
    }
}

bool Occurrence::isTouched() const
{
    return std::any_of(stages.begin(), stages.end(), [](const StageProgress &it) {
        return std::any_of(
            it.tasks.begin(), it.tasks.end(), [](const Task &task) { return !task.isUntouched(); });
    });
}

std::uint64_t Occurrence::size() const
{
    std::uint64_t n = stages.size();
    for (const StageProgress &it : stages) {
        n += it.count;
    }
    return n;
}

Occurrence &Job::addOccurrence(std::uint32_t number)
{
    Occurrence &occurrence = occurrences[number];
    occurrence.stages.resize(spec.stages.size());
    for (std::size_t n = 0; n < spec.stages.size(); ++n) {
        occurrence.stages[n].count = spec.stages[n].count;
    }
    nextOccurrence = std::max(nextOccurrence, number + 1);
    return occurrence;
}

std::uint64_t Job::openLimit() const
{
    return std::max<std::uint64_t>(1, MaxOpenTasks / tasksPerOccurrence(spec));
}

std::uint64_t Job::untouchedLimit() const
{
    return std::clamp<std::uint64_t>(
        MaxUntouchedTasks / tasksPerOccurrence(spec), 1, MaxUntouchedOccurrences);
}

std::uint32_t Job::dueOccurrences(WallTime time) const
{
    const std::int64_t passed =
        clampTime(time.time_since_epoch().count()) - clampTime(spec.firstDue.time_since_epoch().count());
    if (passed < 0 || !spec.isTimed()) {
        return 0;
    }
    const std::int64_t interval = clampedInterval(spec);
    if (interval == 0) {
        return spec.occurrences;
    }
    return static_cast<std::uint32_t>(std::min<std::int64_t>(spec.occurrences, passed / interval + 1));
}

std::uint32_t Job::unopenedOccurrences(WallTime time) const
{
    const std::uint32_t due = dueOccurrences(time);
    return due - std::min(due, nextOccurrence);
}

void Job::releaseProgress()
{
    releasedFailureReason = failureReason();
    isReleased = true;
    occurrences.clear();
    spec.stages = {};
    spec.payload = {};
}

std::size_t Job::memory() const
{
    std::size_t bytes = sizeof(Job) + MapNodeBytes + spec.id.size() + spec.workspace.size()
        + spec.queue.name.size() + spec.queue.service.size() + spec.payload.size();
    for (const Stage &it : spec.stages) {
        bytes += sizeof(Stage) + it.dependsOn.size() * sizeof(std::uint32_t) + it.requiredLabel.size()
            + it.dataRack.size() + it.image.size();
    }
    const std::size_t open =
        std::min<std::size_t>(untouchedLimit(), std::max<std::uint32_t>(1, spec.occurrences));
    return bytes + open * (sizeof(Occurrence) + MapNodeBytes + spec.stages.size() * sizeof(StageProgress));
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
    if (isReleased) {
        return releasedFailureReason;
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

Resources Job::firstStagesSize() const
{
    Resources sum;
    for (const Stage &it : spec.stages) {
        if (it.dependsOn.empty()) {
            sum += multiple(reservedResources(it), it.count);
        }
    }
    return sum;
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
    if (!spec.isTimed()) {
        return acceptedAt;
    }
    const std::int64_t first = clampTime(spec.firstDue.time_since_epoch().count());
    const std::int64_t interval = clampedInterval(spec);
    const std::int64_t longest = MaxTime - first;
    const bool isBeyond = interval > 0 && occurrence > longest / interval;
    return WallTime(Milliseconds(isBeyond ? MaxTime : first + interval * occurrence));
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
