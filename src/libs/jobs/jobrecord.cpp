#include "jobrecord.h"

#include "jsonfields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <exception>

namespace Jobs
{

namespace
{

namespace json = boost::json;

// Longer than any lease of a worker.
constexpr Milliseconds MaxLeaseTime{3'600'000};

std::optional<std::map<std::string, std::int64_t, std::less<>>> decodeNumbers(std::string_view text)
{
    try {
        const json::value parsed = json::parse(json::string_view(text.data(), text.size()));
        std::map<std::string, std::int64_t, std::less<>> numbers;
        for (const auto &it : parsed.as_object()) {
            numbers.emplace(it.key(), it.value().to_number<std::int64_t>());
        }
        return numbers;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

json::object encodeStage(const Stage &stage)
{
    json::object out{{"count", stage.count},
                     {"cores", stage.size.milliCores},
                     {"memory", stage.size.memory},
                     {"estimate", stage.estimate.count()}};
    const auto addFlag = [&out](const char *name, bool isSet) {
        if (isSet) {
            out[name] = true;
        }
    };
    const auto addText = [&out](const char *name, const std::string &text) {
        if (!text.empty()) {
            out[name] = text;
        }
    };
    const auto addNumber = [&out](const char *name, std::int64_t number) {
        if (number != 0) {
            out[name] = number;
        }
    };
    addNumber("accelerators", stage.size.accelerators);
    if (!stage.dependsOn.empty()) {
        out["depends_on"] = json::array(stage.dependsOn.begin(), stage.dependsOn.end());
    }
    addFlag("checkpoints", stage.canCheckpoint);
    addFlag("gang", stage.isGang);
    addFlag("rack_sensitive", stage.isRackSensitive);
    addFlag("speculative", stage.isSpeculative);
    addFlag("long_running", stage.isLongRunning);
    addFlag("fills", stage.isBestEffort);
    addText("label", stage.requiredLabel);
    addText("data_rack", stage.dataRack);
    addText("image", stage.image);
    addNumber("per_worker", stage.tasksPerWorker);
    addNumber("tail_target", stage.tailTarget.count());
    addNumber("max_unavailable", stage.maxUnavailable);
    return out;
}

Stage decodeStage(const json::object &from)
{
    Stage stage;
    stage.count = from.at("count").to_number<std::uint32_t>();
    stage.size.milliCores = from.at("cores").to_number<std::int64_t>();
    stage.size.memory = from.at("memory").to_number<std::int64_t>();
    stage.size.accelerators = numberOr<std::int64_t>(from, "accelerators", 0);
    stage.estimate = Milliseconds(from.at("estimate").to_number<std::int64_t>());
    if (const json::value *found = from.if_contains("depends_on")) {
        for (const json::value &it : found->as_array()) {
            stage.dependsOn.push_back(it.to_number<std::uint32_t>());
        }
    }
    stage.canCheckpoint = flagOrFalse(from, "checkpoints");
    stage.isGang = flagOrFalse(from, "gang");
    stage.isRackSensitive = flagOrFalse(from, "rack_sensitive");
    stage.isSpeculative = flagOrFalse(from, "speculative");
    stage.isLongRunning = flagOrFalse(from, "long_running");
    stage.isBestEffort = flagOrFalse(from, "fills");
    stage.requiredLabel = textOrEmpty(from, "label");
    stage.dataRack = textOrEmpty(from, "data_rack");
    stage.image = textOrEmpty(from, "image");
    stage.tasksPerWorker = numberOr<std::uint32_t>(from, "per_worker", 0);
    stage.tailTarget = Milliseconds(numberOr<std::int64_t>(from, "tail_target", 0));
    stage.maxUnavailable = numberOr<std::uint32_t>(from, "max_unavailable", 0);
    return stage;
}

json::object encodeQueue(const QueuePolicy &queue)
{
    json::object out{{"name", queue.name},
                     {"service", queue.service},
                     {"priority", queue.priority},
                     {"max_attempts", queue.maxAttempts},
                     {"slack_factor", queue.slackFactor},
                     {"target_latency", queue.targetLatency.count()}};
    if (queue.advice) {
        out["advice"] = json::array{queue.advice->timePerCall.count(), queue.advice->timePerWorker.count()};
    }
    return out;
}

QueuePolicy decodeQueue(const json::object &from)
{
    QueuePolicy queue;
    queue.name = textOrEmpty(from, "name");
    queue.service = textOrEmpty(from, "service");
    queue.priority = from.at("priority").to_number<std::uint32_t>();
    queue.maxAttempts = from.at("max_attempts").to_number<std::uint32_t>();
    queue.slackFactor = from.at("slack_factor").to_number<double>();
    queue.targetLatency = Milliseconds(from.at("target_latency").to_number<std::int64_t>());
    if (const json::value *found = from.if_contains("advice")) {
        queue.advice = AdvicePolicy{Milliseconds(found->at(0).to_number<std::int64_t>()),
                                    Milliseconds(found->at(1).to_number<std::int64_t>())};
    }
    return queue;
}

// Encodes a task as [done, attempt, failures, worker, checkpoint, failed attempt, crashes, start of the
// worker, milliseconds until an unconfirmed run has ended or 0 for a confirmed one]. Trailing empty parts are
// omitted.
json::array encodeTask(std::uint32_t stage, const Task &task, const UnconfirmedTime &timeLeft)
{
    json::array out{task.isDone ? 1 : 0, task.attempt, task.failures};
    const bool isAssigned = task.run != RunState::None;
    const bool hasStart = isAssigned && task.workerStart != 0;
    const bool hasCrashes = hasStart || (task.crashes != 0 && !task.isDone);
    const bool hasFailedAttempt = hasCrashes || (task.failedAttempt != 0 && !task.isDone);
    const bool hasCheckpoint = hasFailedAttempt || (!task.checkpoint.empty() && !task.isDone);
    if (isAssigned || hasCheckpoint) {
        out.emplace_back(isAssigned ? task.worker : std::string());
    }
    if (hasCheckpoint) {
        out.emplace_back(task.checkpoint);
    }
    if (hasFailedAttempt) {
        out.emplace_back(task.failedAttempt);
    }
    if (hasCrashes) {
        out.emplace_back(task.crashes);
    }
    if (hasStart) {
        out.emplace_back(task.workerStart);
    }
    if (hasStart && task.isConfirmed && !task.openStart) {
        out.emplace_back(0);
    } else if (const auto time = hasStart && timeLeft ? timeLeft(stage, task) : std::nullopt) {
        out.emplace_back(std::max<std::int64_t>(1, time->count()));
    }
    return out;
}

Task decodeTask(const json::array &from)
{
    Task task;
    task.isDone = from.at(0).to_number<int>() != 0;
    task.attempt = from.at(1).to_number<std::uint32_t>();
    task.failures = from.at(2).to_number<std::uint32_t>();
    if (from.size() > 3) {
        task.worker = std::string(from.at(3).as_string());
    }
    if (from.size() > 4) {
        task.checkpoint = std::string(from.at(4).as_string());
    }
    if (from.size() > 5) {
        task.failedAttempt = from.at(5).to_number<std::uint32_t>();
    }
    if (from.size() > 6) {
        task.crashes = from.at(6).to_number<std::uint32_t>();
    }
    if (from.size() > 7) {
        task.workerStart = from.at(7).to_number<std::int64_t>();
    }
    if (from.size() > 8) {
        const auto time = from.at(8).to_number<std::int64_t>();
        task.isConfirmed = time == 0;
        if (time > 0) {
            task.unconfirmedTimeLeft = Milliseconds(time);
        }
    }
    if (!task.isDone && !task.worker.empty()) {
        task.run = RunState::Inherited;
    }
    return task;
}

// The reader opens untouched occurrences from here on itself, as far as they are due.
std::uint32_t recordedNext(const Job &job)
{
    std::uint32_t next = job.nextOccurrence;
    for (auto it = job.occurrences.rbegin(); it != job.occurrences.rend(); ++it) {
        if (it->first + 1 != next || it->second.isTouched()) {
            break;
        }
        next = it->first;
    }
    return next;
}

} // namespace

std::string specKey(std::string_view job)
{
    return "spec/" + std::string(job);
}

std::string redirectKey(std::string_view job)
{
    return "elsewhere/" + std::string(job);
}

std::string encodeRedirect(const RedirectRecord &record)
{
    return json::serialize(
        json::object{{"shard", record.shard}, {"since", record.since.time_since_epoch().count()}});
}

std::optional<RedirectRecord> decodeRedirect(std::string_view text)
{
    try {
        const json::value parsed = json::parse(json::string_view(text.data(), text.size()));
        const json::object &from = parsed.as_object();
        return RedirectRecord{from.at("shard").to_number<ShardNumber>(),
                              WallTime(Milliseconds(from.at("since").to_number<std::int64_t>()))};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

const std::string_view LeasesKey = "leases";

std::string encodeLeases(const LeaseTimes &leases)
{
    json::object out;
    for (const auto &[worker, time] : leases) {
        out[worker] = time.count();
    }
    return json::serialize(out);
}

std::optional<LeaseTimes> decodeLeases(std::string_view text)
{
    const auto numbers = decodeNumbers(text);
    if (!numbers) {
        return std::nullopt;
    }
    LeaseTimes leases;
    for (const auto &[worker, number] : *numbers) {
        const Milliseconds time(number);
        if (time < Milliseconds::zero() || time > MaxLeaseTime) {
            return std::nullopt;
        }
        leases.emplace(worker, time);
    }
    return leases;
}

const std::string_view IncarnationsKey = "incarnations";

std::string encodeIncarnations(const Incarnations &incarnations)
{
    json::object out;
    for (const auto &[worker, startTime] : incarnations) {
        out[worker] = startTime;
    }
    return json::serialize(out);
}

std::optional<Incarnations> decodeIncarnations(std::string_view text)
{
    return decodeNumbers(text);
}

std::string progressKey(std::string_view job)
{
    return "progress/" + std::string(job);
}

std::string encodeSpec(const JobSpec &spec, WallTime acceptedAt)
{
    json::object out{{"id", spec.id},
                     {"queue", encodeQueue(spec.queue)},
                     {"payload", spec.payload},
                     {"accepted", acceptedAt.time_since_epoch().count()}};
    if (!spec.workspace.empty()) {
        out["workspace"] = spec.workspace;
    }
    if (spec.isExcess) {
        out["excess"] = true;
    }
    json::array stages;
    for (const Stage &it : spec.stages) {
        stages.push_back(encodeStage(it));
    }
    out["stages"] = std::move(stages);
    if (spec.isTimed()) {
        out["first_due"] = spec.firstDue.time_since_epoch().count();
        out["interval"] = spec.interval.count();
        out["occurrences"] = spec.occurrences;
    }
    return json::serialize(out);
}

std::string encodeProgress(const Job &job, const UnconfirmedTime &timeLeft)
{
    json::object out{{"state", static_cast<int>(job.state)}, {"done", job.occurrencesDone}};
    if (job.hasStarted) {
        out["started"] = true;
    }
    if (job.state != JobState::Active) {
        out["ended"] = job.endedAt.time_since_epoch().count();
    }
    const std::uint32_t next = recordedNext(job);
    json::object occurrences;
    for (const auto &[number, occurrence] : job.occurrences) {
        if (number >= next) {
            continue;
        }
        json::array stages;
        for (std::uint32_t n = 0; n < occurrence.stages.size(); ++n) {
            const StageProgress &progress = occurrence.stages[n];
            json::array tasks;
            tasks.reserve(progress.count);
            for (const Task &it : progress.tasks) {
                tasks.push_back(encodeTask(n, it, timeLeft));
            }
            // Earlier builds take a stage for done whose tasks in the record are.
            while (tasks.size() < progress.count) {
                tasks.push_back(encodeTask(n, Task(), {}));
            }
            stages.push_back(std::move(tasks));
        }
        occurrences[std::to_string(number)] = std::move(stages);
    }
    out["next"] = next;
    out["tasks"] = std::move(occurrences);
    return json::serialize(out);
}

std::optional<Job> decodeSpec(std::string_view text)
{
    try {
        const json::value parsed = json::parse(json::string_view(text.data(), text.size()));
        const json::object &from = parsed.as_object();
        Job job;
        job.spec.id = textOrEmpty(from, "id");
        job.spec.workspace = textOrEmpty(from, "workspace");
        job.spec.isExcess = flagOrFalse(from, "excess");
        job.spec.queue = decodeQueue(from.at("queue").as_object());
        job.spec.payload = textOrEmpty(from, "payload");
        job.acceptedAt = WallTime(Milliseconds(from.at("accepted").to_number<std::int64_t>()));
        for (const json::value &it : from.at("stages").as_array()) {
            job.spec.stages.push_back(decodeStage(it.as_object()));
        }
        job.spec.occurrences = numberOr<std::uint32_t>(from, "occurrences", 0);
        job.spec.interval = Milliseconds(numberOr<std::int64_t>(from, "interval", 0));
        job.spec.firstDue = WallTime(Milliseconds(numberOr<std::int64_t>(from, "first_due", 0)));
        return job;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

bool decodeProgress(std::string_view text, Job &job)
{
    try {
        const json::value parsed = json::parse(json::string_view(text.data(), text.size()));
        const json::object &from = parsed.as_object();
        Job read = job;
        read.occurrences.clear();
        read.state = static_cast<JobState>(from.at("state").to_number<int>());
        read.occurrencesDone = from.at("done").to_number<std::uint32_t>();
        read.hasStarted = flagOrFalse(from, "started");
        read.endedAt = WallTime(Milliseconds(numberOr<std::int64_t>(from, "ended", 0)));
        read.nextOccurrence = from.at("next").to_number<std::uint32_t>();
        for (const auto &it : from.at("tasks").as_object()) {
            const auto number = static_cast<std::uint32_t>(std::stoul(std::string(it.key())));
            Occurrence occurrence;
            for (const json::value &tasks : it.value().as_array()) {
                StageProgress stage;
                for (const json::value &task : tasks.as_array()) {
                    stage.tasks.push_back(decodeTask(task.as_array()));
                    stage.done += stage.tasks.back().isDone ? 1 : 0;
                }
                stage.count = static_cast<std::uint32_t>(stage.tasks.size());
                stage.removeUntouched();
                stage.tasks.shrink_to_fit();
                occurrence.stages.push_back(std::move(stage));
            }
            if (occurrence.stages.size() != read.spec.stages.size()) {
                return false;
            }
            read.occurrences[number] = std::move(occurrence);
        }
        read.storedState = read.state;
        job = std::move(read);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace Jobs
