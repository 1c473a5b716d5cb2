#include "simulatedplatform.h"

#include <jobs/jobrecord.h>
#include <jobs/placement.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <tuple>

using namespace std::chrono_literals;

namespace
{

constexpr auto StoreDelay = 2ms; // one way
constexpr auto WorkerDelay = 1ms; // one way
constexpr auto OrderTimeout = 800ms;
constexpr SimulatedPlatform::Milliseconds LongRunningTime = 24h;
constexpr auto StoreTimeout = 1000ms;
constexpr SimulatedPlatform::Milliseconds GangTimeout = 3s; // of a task that waits for the rest of its gang
constexpr const char *QueuesTopic = "queues";
constexpr std::size_t MaxOpenCalls = 200; // limit per worker; older calls have been answered
constexpr auto TailStep = 5ms; // until a read of new records is answered
constexpr auto EarlyStart = 250ms; // an occurrence may start at most this early
constexpr auto EntryLifetime = 4500ms; // of a worker that no longer writes its entry
constexpr auto CapacityOverlap = 5500ms; // starts may use a capacity that was larger at most this long ago
constexpr int CrashesBeforeBudget = 3;
constexpr int MaxStartsAfterCrashes = 2;
constexpr std::uint64_t RepeatableAppends = 5; // the store answers a repeat of one of these like the first

// Elements of a task in a progress record that builds before the failed attempt read and write.
constexpr std::size_t EarlierTaskElements = 5;

std::string earlierProgress(const std::string &text)
{
    boost::json::value progress = boost::json::parse(text);
    for (auto &occurrence : progress.at("tasks").as_object()) {
        for (boost::json::value &stage : occurrence.value().as_array()) {
            for (boost::json::value &task : stage.as_array()) {
                task.as_array().resize(std::min(EarlierTaskElements, task.as_array().size()));
            }
        }
    }
    return boost::json::serialize(progress);
}

// A record as an earlier build has it; nullopt if it has none.
std::optional<Jobs::Record> earlierRecord(Jobs::Record record)
{
    if (record.key == Jobs::LeasesKey || record.key == Jobs::IncarnationsKey) {
        return std::nullopt;
    }
    if (record.key.rfind("progress/", 0) == 0 && !record.value.empty()) {
        record.value = earlierProgress(record.value);
    }
    return record;
}

} // namespace

SimulatedPlatform::SimulatedPlatform(std::uint32_t seed, std::uint32_t shards)
    : timers(Base::Instant{} + 1h)
    , random(seed)
    , m_layout(shards)
    , m_partitions(shards)
{
    m_layout.load("sign", "0");
    m_layout.load("proof", "1");
    // The queue of makeJob() has had jobs before.
    m_topics[QueuesTopic].push_back({"previews", "sign\npreviews", 0});
}

void SimulatedPlatform::splitIntoCells(std::uint32_t cells)
{
    std::string numbers;
    for (std::uint32_t n = 0; n < cells; ++n) {
        numbers += (n > 0 ? "," : "") + std::to_string(n);
    }
    m_layout.load("sign", numbers);
}

SimulatedPlatform::Member::Member(SimulatedPlatform &world, const std::string &memberName)
    : name(memberName)
    , platform(world, memberName)
    , host(
          platform,
          world.timers,
          [&world] {
              return Jobs::WallTime(
                  std::chrono::duration_cast<Milliseconds>(world.timers.now().time_since_epoch()));
          },
          [] { return Base::Duration{}; },
          memberName,
          world.settings,
          world.m_layout)
    , quotas(platform, world.timers, "quotas", host, static_cast<std::uint32_t>(world.random()))
    , queues(platform, world.timers, QueuesTopic)
{
}

SimulatedPlatform::Platform::Platform(SimulatedPlatform &world, std::string member)
    : m_world(world)
    , m_member(std::move(member))
{
}

SimulatedPlatform::Worker &SimulatedPlatform::addWorker(const std::string &id, std::int64_t milliCores)
{
    Worker &worker = workers[id];
    worker.info.id = id;
    worker.info.service = "sign";
    worker.info.address = id + ":1";
    worker.info.capacity = {milliCores, 64'000, 0};
    worker.info.labels = {"a", "r1"};
    worker.info.rack = "r1";
    worker.m_startedAt = timers.now() - 60s;
    worker.info.startTime =
        std::chrono::duration_cast<Milliseconds>(worker.m_startedAt.time_since_epoch()).count();
    return worker;
}

void SimulatedPlatform::crash(const std::string &id, Milliseconds pause, CrashKind kind)
{
    Worker &worker = workers[id];
    worker.isUp = false;
    for (const Run &it : std::exchange(worker.m_runs, {})) {
        breakGang(it.task, it.attempt);
    }
    worker.m_ends.clear();
    worker.m_endTimes.clear();
    worker.m_highestAttempts.clear();
    worker.m_token = 0;
    worker.m_lastEnd = 0;
    worker.m_lapsedEnds = 0;
    worker.m_leaseEnd = 0;
    worker.m_pendingRenewals.clear();
    // The connections of the process are reset, which members notice unless they cannot reach it.
    for (const auto &[member, fail] : std::exchange(worker.m_openCalls, {})) {
        const bool isNoticed = kind == CrashKind::Reset && worker.unreachableFrom.count(member) == 0;
        timers.subscribeAfter(isNoticed ? Milliseconds(WorkerDelay) : Milliseconds(OrderTimeout), fail);
    }
    timers.subscribeAfter(pause, [this, id] {
        Worker &restarted = workers[id];
        restarted.isUp = true;
        restarted.m_earlierStartTime = restarted.info.startTime;
        restarted.m_startedAt = timers.now();
        restarted.info.startTime =
            std::chrono::duration_cast<Milliseconds>(restarted.m_startedAt.time_since_epoch()).count();
    });
}

void SimulatedPlatform::crashUnder(const Jobs::TaskId &task, std::uint32_t attempt, const std::string &id)
{
    const Worker &worker = workers[id];
    const bool isThere =
        worker.isUp && std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const Run &it) {
            return it.task == task && it.attempt == attempt;
        });
    if (!isThere) {
        return;
    }
    ++crashesUnder[task];
    addToHistory(worker, task, attempt, "crashes its worker");
    if (!replacesCrashedWorkers) {
        crash(id, crashPause);
        timers.subscribeAfter(crashPause, [this] { publishWorkers(); });
        return;
    }
    crash(id, Milliseconds(24h));
    timers.subscribeAfter(EntryLifetime, [this, id] {
        workers[id].isListed = false;
        publishWorkers();
    });
    timers.subscribeAfter(crashPause, [this, info = worker.info] {
        Worker &next = addWorker(info.id + "'", info.capacity.milliCores);
        const Jobs::WorkerInfo fresh = next.info;
        next.info = info;
        next.info.id = fresh.id;
        next.info.address = fresh.address;
        next.m_startedAt = timers.now();
        next.info.startTime =
            std::chrono::duration_cast<Milliseconds>(next.m_startedAt.time_since_epoch()).count();
        publishWorkers();
    });
}

void SimulatedPlatform::resize(const std::string &id, const Jobs::Resources &capacity, Milliseconds lag)
{
    Worker &worker = workers[id];
    worker.m_earlierCapacities.emplace_back(timers.now() + CapacityOverlap,
                                            std::exchange(worker.info.capacity, capacity));
    timers.subscribeAfter(lag, [this] { publishWorkers(); });
}

SimulatedPlatform::Member &SimulatedPlatform::addMember(const std::string &name)
{
    auto &member = members[name];
    member = std::make_unique<Member>(*this, name);
    member->host.start([this](const std::string &other) { return members.count(other) == 0; },
                       [this] { return isStoreDown; },
                       [] {},
                       [this](const JobService::JobRequest &request,
                              Base::Duration limit,
                              const std::function<void(JobService::JobReply)> &reply) {
                           if (owner(request.shard)) {
                               ask(request, reply);
                           } else {
                               timers.subscribeAfter(limit, [reply] {
                                   reply({.status = JobService::JobReply::Status::NotOwner});
                               });
                           }
                       });
    member->host.setQueueHistory(&member->queues);
    member->queues.start();
    member->quotas.start();
    member->quotas.setQuotas(m_quotas);
    member->host.setCandidate(true);
    publishWorkers();
    return *member;
}

// Pending callbacks still refer to the member, so it is kept. Its orders are dropped, see isLive().
void SimulatedPlatform::kill(const std::string &name)
{
    const auto it = members.find(name);
    it->second->isAlive = false;
    deadMembers.push_back(std::move(it->second));
    members.erase(it);
}

bool SimulatedPlatform::isLive(const std::string &member) const
{
    return members.count(member) > 0;
}

void SimulatedPlatform::publishWorkers()
{
    std::vector<Jobs::WorkerInfo> list;
    for (const auto &[id, worker] : workers) {
        if (!worker.isListed) {
            continue;
        }
        list.push_back(worker.info);
        if (timers.now() < worker.m_startedAt + worker.entryLag && worker.m_earlierStartTime != 0) {
            list.back().startTime = worker.m_earlierStartTime;
        }
    }
    for (auto &[name, member] : members) {
        member->host.setWorkers(list);
    }
}

void SimulatedPlatform::setQuotas(std::vector<Jobs::WorkspaceQuota> quotas, Milliseconds overlap)
{
    m_earlierQuotas.emplace_back(timers.now() + overlap, std::exchange(m_quotas, std::move(quotas)));
    for (auto &[name, member] : members) {
        const auto apply = [this, name = name] {
            if (isLive(name)) {
                members.at(name)->quotas.setQuotas(m_quotas);
            }
        };
        const auto delay = std::uniform_int_distribution<std::int64_t>(0, overlap.count())(random);
        timers.subscribeAfter(Milliseconds(delay), apply);
    }
}

Jobs::Resources SimulatedPlatform::runningOf(const std::string &workspace) const
{
    Jobs::Resources running;
    for (const auto &[id, worker] : workers) {
        for (const Run &it : worker.m_runs) {
            const auto job = submitted.find(it.task.job);
            if (worker.isUp && job != submitted.end() && job->second.workspace == workspace) {
                running += job->second.stages[it.task.stage].size;
            }
        }
    }
    return running;
}

std::size_t SimulatedPlatform::appendsTo(const std::string &topic) const
{
    const auto it = m_topicAppends.find(topic);
    return it != m_topicAppends.end() ? it->second : 0;
}

// A start may exceed the quota by a tenth, and by the task itself.
void SimulatedPlatform::checkQuota(const Jobs::TaskId &task, const std::string &workspace)
{
    std::int64_t most = 0;
    const auto raise = [&](const std::vector<Jobs::WorkspaceQuota> &quotas) {
        for (const Jobs::WorkspaceQuota &it : quotas) {
            most = it.workspace == workspace ? std::max(most, it.quota.milliCores) : most;
        }
    };
    raise(m_quotas);
    for (const auto &[until, quotas] : m_earlierQuotas) {
        if (timers.now() <= until) {
            raise(quotas);
        }
    }
    const std::int64_t running = runningOf(workspace).milliCores;
    if (most > 0 && running * 10 > most * 11) {
        recordViolation(task,
                        fmt::format("{} starts while workspace {} has {} of {} running",
                                    Jobs::toString(task),
                                    workspace,
                                    running,
                                    most));
    }
}

void SimulatedPlatform::run(Milliseconds time)
{
    const Base::Instant until = timers.now() + time;
    while (timers.nextDue() && *timers.nextDue() <= until) {
        timers.advanceTo(*timers.nextDue());
    }
    timers.advanceTo(until);
}

std::int64_t SimulatedPlatform::clockOf(const Worker &worker) const
{
    const auto age = std::chrono::duration_cast<Milliseconds>(timers.now() - worker.m_startedAt).count();
    return static_cast<std::int64_t>(double(age) * worker.clockRate);
}

void SimulatedPlatform::end(Worker &worker, std::size_t run, Jobs::RunEnd how)
{
    const Run ended = worker.m_runs[run];
    const Jobs::Stage *stage = stageOf(ended.task);
    std::string checkpoint;
    if (stage && stage->canCheckpoint && ended.endsAt > timers.now()) {
        const auto left = std::chrono::duration_cast<Milliseconds>(ended.endsAt - timers.now());
        checkpoint = fmt::format("left {:08}", left.count());
    }
    addToHistory(worker, ended.task, ended.attempt, fmt::format("ends ({})", static_cast<int>(how)));
    worker.m_runs.erase(worker.m_runs.begin() + static_cast<std::ptrdiff_t>(run));
    worker.m_ends.push_back({++worker.m_lastEnd, ended.task, ended.attempt, how, checkpoint});
    worker.m_endTimes[worker.m_lastEnd] = timers.now();
    if (how == Jobs::RunEnd::Done) {
        doneAt.try_emplace(ended.task, timers.now());
    }
    auto &highest = worker.m_highestAttempts[ended.task];
    highest = std::max(highest, ended.attempt);
    for (const auto &it : std::exchange(worker.m_pendingRenewals, {})) {
        timers.subscribeAfter({}, it);
    }
    using Jobs::RunEnd;
    if (how == RunEnd::Stopped || how == RunEnd::LeaseExpired || how == RunEnd::Alone) {
        breakGang(ended.task, ended.attempt);
    }
}

std::vector<std::pair<SimulatedPlatform::Worker *, SimulatedPlatform::Run *>>
SimulatedPlatform::gangOf(const Jobs::TaskId &task, std::uint32_t attempt)
{
    std::vector<std::pair<Worker *, Run *>> gang;
    const Jobs::Stage *stage = stageOf(task);
    if (!stage || !stage->isGang) {
        return gang;
    }
    for (auto &[id, worker] : workers) {
        for (Run &it : worker.m_runs) {
            if (worker.isUp && it.task.job == task.job && it.task.occurrence == task.occurrence
                && it.task.stage == task.stage && it.attempt == attempt) {
                gang.emplace_back(&worker, &it);
            }
        }
    }
    return gang;
}

void SimulatedPlatform::breakGang(const Jobs::TaskId &task, std::uint32_t attempt)
{
    for (auto gang = gangOf(task, attempt); !gang.empty(); gang = gangOf(task, attempt)) {
        const auto [worker, run] = gang.front();
        end(*worker, static_cast<std::size_t>(run - worker->m_runs.data()), Jobs::RunEnd::Broken);
    }
}

void SimulatedPlatform::startCompleteGang(const Jobs::TaskId &task, std::uint32_t attempt)
{
    const auto gang = gangOf(task, attempt);
    if (gang.empty() || gang.size() < stageOf(task)->count) {
        return;
    }
    Milliseconds time{};
    for (const auto &[worker, run] : gang) {
        time = std::max(time, std::exchange(run->gangTime, {}));
    }
    for (const auto &[worker, run] : gang) {
        run->endsAt = timers.now() + time;
        timers.subscribeAfter(time, [this, id = worker->info.id] { advance(workers[id]); });
    }
}

bool SimulatedPlatform::endGang(const Jobs::TaskId &task, std::uint32_t attempt)
{
    const auto gang = gangOf(task, attempt);
    std::vector<std::tuple<Worker *, Jobs::TaskId, Jobs::RunEnd>> ends;
    bool isSound = true;
    for (const auto &[worker, run] : gang) {
        if (worker->isStalled) {
            return false;
        }
        const bool fails = run->fails || worker->failsAll;
        isSound = isSound && !fails && !isLapsed(*worker);
        ends.emplace_back(worker,
                          run->task,
                          isLapsed(*worker) ? Jobs::RunEnd::LeaseExpired
                              : fails       ? Jobs::RunEnd::Failed
                                            : Jobs::RunEnd::Broken);
    }
    for (const auto &[worker, member, how] : ends) {
        const auto run =
            std::find_if(worker->m_runs.begin(), worker->m_runs.end(), [&, it = member](const Run &other) {
                return other.task == it && other.attempt == attempt;
            });
        if (run != worker->m_runs.end()) {
            end(*worker,
                static_cast<std::size_t>(run - worker->m_runs.begin()),
                isSound ? Jobs::RunEnd::Done : how);
        }
    }
    return true;
}

bool SimulatedPlatform::isLapsed(const Worker &worker) const
{
    return clockOf(worker) > worker.m_leaseEnd;
}

void SimulatedPlatform::advance(Worker &worker)
{
    if (!worker.isUp) {
        return;
    }
    // An end that was not acknowledged when the lease expired does not count: the run may be repeated.
    const bool hasLapsed = isLapsed(worker);
    if (hasLapsed) {
        worker.m_lapsedEnds = worker.m_lastEnd;
    }
    for (std::size_t n = 0; n < worker.m_runs.size();) {
        const Run run = worker.m_runs[n];
        const bool isDue = run.endsAt <= timers.now() && !worker.isStalled;
        const Jobs::Stage *stage = stageOf(run.task);
        if (hasLapsed) {
            end(worker, n, Jobs::RunEnd::LeaseExpired);
        } else if (isDue && run.gangTime > 0ms) {
            end(worker, n, Jobs::RunEnd::Alone);
            n = 0;
        } else if (isDue && stage && stage->isGang) {
            n = endGang(run.task, run.attempt) ? 0 : n + 1;
        } else if (isDue) {
            end(worker, n, run.fails || worker.failsAll ? Jobs::RunEnd::Failed : Jobs::RunEnd::Done);
        } else if (run.stopsAt.value_or(Base::Instant::max()) <= timers.now()) {
            end(worker, n, Jobs::RunEnd::Stopped);
            n = 0;
        } else {
            ++n;
        }
    }
}

Jobs::RunList SimulatedPlatform::runListOf(const Worker &worker) const
{
    Jobs::RunList list;
    list.clock = clockOf(worker);
    list.startTime = worker.info.startTime;
    for (const Run &it : worker.m_runs) {
        const auto tail = tails.find(it.task);
        list.running.push_back({it.task, it.attempt, {}, 100, tail != tails.end() ? tail->second : 0});
    }
    list.ended = worker.m_ends;
    return list;
}

void SimulatedPlatform::addToHistory(const Worker &worker,
                                     const Jobs::TaskId &task,
                                     std::uint32_t attempt,
                                     std::string_view what)
{
    m_history[task] +=
        fmt::format("\n  {:.3f} s: run {} {} on {} ({}){}{}",
                    std::chrono::duration<double>(timers.now().time_since_epoch() - 1h).count(),
                    attempt,
                    what,
                    worker.info.id,
                    clockOf(worker),
                    m_isLate ? ", late" : "",
                    m_isFromBeforeRestart ? ", ordered before its restart" : "");
}

void SimulatedPlatform::recordViolation(const Jobs::TaskId &task, const std::string &what)
{
    violations.push_back(what + m_history[task]);
}

std::vector<std::string> SimulatedPlatform::runsOfCancelledJobs() const
{
    std::vector<std::string> found;
    for (const auto &[id, worker] : workers) {
        for (const Run &it : worker.m_runs) {
            if (cancelled.count(it.task.job) > 0) {
                found.push_back(Jobs::toString(it.task) + " runs on " + id
                                + " although its job is cancelled");
            }
        }
    }
    return found;
}

std::string SimulatedPlatform::describe(const std::string &job) const
{
    std::string text;
    for (const auto &[task, history] : m_history) {
        if (task.job == job) {
            text += "\n " + Jobs::toString(task) + history;
        }
    }
    return text;
}

const Jobs::Stage *SimulatedPlatform::stageOf(const Jobs::TaskId &task) const
{
    const auto job = submitted.find(task.job);
    return job != submitted.end() && task.stage < job->second.stages.size() ? &job->second.stages[task.stage]
                                                                            : nullptr;
}

Jobs::Resources SimulatedPlatform::usedOn(const Worker &worker) const
{
    Jobs::Resources used;
    for (const Run &it : worker.m_runs) {
        if (const Jobs::Stage *stage = stageOf(it.task)) {
            used += Jobs::reservedResources(*stage);
        }
    }
    return used;
}

Jobs::Resources SimulatedPlatform::boundOf(const Worker &worker) const
{
    Jobs::Resources bound = worker.info.capacity;
    for (const auto &[until, capacity] : worker.m_earlierCapacities) {
        if (until > timers.now()) {
            bound = Jobs::larger(bound, capacity);
        }
    }
    return bound;
}

void SimulatedPlatform::checkPlacement(const Worker &worker,
                                       const Jobs::StartRun &order,
                                       const Jobs::Stage &stage)
{
    const Jobs::TaskId &task = order.task;
    const std::string name = Jobs::toString(task) + " on " + worker.info.id;
    Jobs::Resources room = boundOf(worker);
    room -= usedOn(worker);
    if (!room.contains(Jobs::reservedResources(stage))) {
        recordViolation(task, name + " exceeds the capacity of the worker");
    }
    const auto &labels = worker.info.labels;
    const bool hasLabel = stage.requiredLabel.empty()
        || std::find(labels.begin(), labels.end(), stage.requiredLabel) != labels.end();
    if (!hasLabel || worker.info.service != submitted[task.job].queue.service) {
        recordViolation(task, name + " runs on a worker of another service or without the required label");
    }
    const auto there = std::count_if(worker.m_runs.begin(), worker.m_runs.end(), [&](const Run &it) {
        return it.task.job == task.job && it.task.occurrence == task.occurrence
            && it.task.stage == task.stage;
    });
    if (stage.tasksPerWorker > 0 && there >= stage.tasksPerWorker) {
        recordViolation(task, name + " exceeds the limit of tasks of its stage per worker");
    }
}

// Stops on draining workers are not checked: their tasks have to go anyway.
void SimulatedPlatform::checkStop(const Worker &worker, const Jobs::StopRun &order)
{
    const Jobs::Stage *stage = stageOf(order.task);
    if (!checksAvailability || !stage || stage->maxUnavailable == 0 || worker.info.isDraining) {
        return;
    }
    std::set<std::uint32_t> there;
    for (const auto &[id, other] : workers) {
        for (const Run &it : other.m_runs) {
            if (it.task.job == order.task.job && it.task.stage == order.task.stage) {
                there.insert(it.task.index);
            }
        }
    }
    const auto away = stage->count - there.size();
    if (there.count(order.task.index) > 0 && away >= stage->maxUnavailable) {
        recordViolation(order.task,
                        fmt::format("{} is stopped while {} other tasks of its stage are unavailable",
                                    Jobs::toString(order.task),
                                    away));
    }
}

void SimulatedPlatform::checkStart(const Worker &worker, const Jobs::StartRun &order)
{
    const Jobs::TaskId &task = order.task;
    const Jobs::Stage *stage = stageOf(task);
    if (!stage || submitted[task.job].payload != order.payload) {
        recordViolation(
            task, "start of " + Jobs::toString(task) + ", which was not submitted or has another payload");
        return;
    }
    const Jobs::JobSpec &job = submitted[task.job];
    checkPlacement(worker, order, *stage);
    checkQuota(task, job.workspace);
    for (const std::uint32_t earlier : stage->dependsOn) {
        for (std::uint32_t n = 0; n < job.stages[earlier].count; ++n) {
            if (doneAt.count({task.job, task.occurrence, earlier, n}) == 0) {
                recordViolation(
                    task, "start of " + Jobs::toString(task) + " before a stage that it depends on is done");
            }
        }
    }
    if (!stage->isLongRunning && failedRuns[task] >= static_cast<int>(job.queue.maxAttempts)) {
        recordViolation(task, "start of " + Jobs::toString(task) + " after its last attempt");
    }
    const auto wall = std::chrono::duration_cast<Milliseconds>(timers.now().time_since_epoch());
    if (job.isTimed()
        && (job.firstDue + job.interval * task.occurrence).time_since_epoch() > wall + EarlyStart) {
        recordViolation(task, "start of " + Jobs::toString(task) + " before it is due");
    }
    const std::string name = Jobs::toString(task);
    for (auto &[id, other] : workers) {
        advance(other);
        const bool isThere =
            other.isUp && std::any_of(other.m_runs.begin(), other.m_runs.end(), [&](const Run &it) {
                return it.task == task;
            });
        if (isThere) {
            recordViolation(
                task, fmt::format("two runs of {} at the same time, on {} and {}", name, id, worker.info.id));
        }
    }
    if (doneRuns[task] > 0) {
        recordViolation(task, "start of " + name + " after its end was acknowledged");
    }
    // A late order may be carried out after the cancellation. Its run has to be stopped then, see
    // runsOfCancelledJobs().
    if (cancelled.count(task.job) > 0 && !m_isLate) {
        recordViolation(task, "start of " + name + " after its job was cancelled");
    }
}

JobService::RunAnswer SimulatedPlatform::executeStart(Worker &worker, const Jobs::StartRun &order)
{
    using Jobs::OrderResult;
    const std::int64_t clock = clockOf(worker);
    if (worker.isUnhealthy) {
        return {OrderResult::Unhealthy, clock};
    }
    if (order.token < worker.m_token) {
        return {OrderResult::Fenced, clock};
    }
    worker.m_token = order.token;
    const std::int64_t leaseEnd = std::min(order.leaseEnd, clock + leaseLimit.count());
    if (leaseEnd <= clock) {
        return {OrderResult::TooLate, clock};
    }
    worker.m_leaseEnd = std::max(worker.m_leaseEnd, leaseEnd);
    for (const Run &it : worker.m_runs) {
        if (it.task == order.task && it.attempt == order.attempt) {
            return {OrderResult::Done, clock};
        }
    }
    if (const auto it = worker.m_highestAttempts.find(order.task);
        it != worker.m_highestAttempts.end() && order.attempt <= it->second) {
        return {OrderResult::Superseded, clock};
    }
    const Jobs::Stage *stage = stageOf(order.task);
    Jobs::Resources room = worker.info.capacity;
    room -= usedOn(worker);
    if (stage && worker.enforcesCapacity && !room.contains(Jobs::reservedResources(*stage))) {
        return {OrderResult::NoRoom, clock};
    }
    addToHistory(worker, order.task, order.attempt, "starts");
    checkStart(worker, order);
    if (!order.ticket.empty() && order.ticket != "ticket-" + worker.info.id) {
        recordViolation(order.task, "start with another worker's ticket");
    }
    ++startedRuns[order.task];
    startedAt.try_emplace(order.task, timers.now());
    m_lastStarts[order.task] = timers.now();
    const bool fails = std::uniform_real_distribution<>(0, 1)(random) < failureShare;
    Milliseconds time = stage && stage->isLongRunning ? std::max(taskTime, LongRunningTime) : taskTime;
    if (!order.checkpoint.empty()) {
        time = Milliseconds(std::stoll(order.checkpoint.substr(order.checkpoint.find(' ') + 1)));
    }
    const bool isGang = stage && stage->isGang;
    const Milliseconds gangTime = isGang ? std::exchange(time, GangTimeout) : 0ms;
    worker.m_runs.push_back({order.task, order.attempt, timers.now() + time, fails, std::nullopt, gangTime});
    startCompleteGang(order.task, order.attempt);
    const std::string id = worker.info.id;
    timers.subscribeAfter(time, [this, id] { advance(workers[id]); });
    if (deadlyTasks.count(order.task) > 0) {
        if (crashesUnder[order.task] >= CrashesBeforeBudget
            && ++m_startsAfterCrashes[order.task] > MaxStartsAfterCrashes) {
            recordViolation(order.task,
                            fmt::format("start of {} after {} workers have crashed under it",
                                        Jobs::toString(order.task),
                                        crashesUnder[order.task]));
        }
        timers.subscribeAfter(deadlyDelay, [this, task = order.task, attempt = order.attempt, id] {
            crashUnder(task, attempt, id);
        });
    }
    return {OrderResult::Done, clock};
}

JobService::RunAnswer SimulatedPlatform::executeStop(Worker &worker, const Jobs::StopRun &order)
{
    using Jobs::OrderResult;
    const std::int64_t clock = clockOf(worker);
    if (order.token < worker.m_token) {
        return {OrderResult::Fenced, clock};
    }
    worker.m_token = order.token;
    addToHistory(worker, order.task, order.attempt, "is stopped");
    checkStop(worker, order);
    auto &highest = worker.m_highestAttempts[order.task];
    highest = std::max(highest, order.attempt);
    for (std::size_t n = 0; n < worker.m_runs.size(); ++n) {
        Run &run = worker.m_runs[n];
        if (run.task != order.task || run.attempt > order.attempt) {
            continue;
        }
        if (worker.longestStop == 0ms) {
            end(worker, n, Jobs::RunEnd::Stopped);
        } else if (!run.stopsAt) {
            const Milliseconds time(
                std::uniform_int_distribution<>(0, int(worker.longestStop.count()))(random));
            run.stopsAt = timers.now() + time;
            timers.subscribeAfter(time, [this, id = worker.info.id] { advance(workers[id]); });
        }
        break;
    }
    return {OrderResult::Done, clock};
}

bool SimulatedPlatform::isReachable(const Worker &worker, const std::string &member) const
{
    return (worker.isUp || ordersOutliveRestarts) && worker.unreachableFrom.count(member) == 0;
}

void SimulatedPlatform::answer(const std::string &member,
                               const std::string &id,
                               const std::function<void()> &deliver,
                               const std::function<void()> &fail)
{
    timers.subscribeAfter(WorkerDelay, [this, member, id, deliver, fail] {
        const Worker &worker = workers[id];
        if (worker.unreachableFrom.count(member) > 0 || worker.unheardBy.count(member) > 0) {
            timers.subscribeAfter(OrderTimeout, fail);
        } else {
            deliver();
        }
    });
}

// An end that is noted stands: no run of the task may have started after it.
void SimulatedPlatform::acknowledge(Worker &worker, std::uint64_t cursor)
{
    auto &ends = worker.m_ends;
    for (const Jobs::ListedEnd &it : ends) {
        const bool isCounted = it.number <= cursor && it.number > worker.m_lapsedEnds;
        if (isCounted && it.end == Jobs::RunEnd::Failed) {
            ++failedRuns[it.task];
        }
        if (isCounted && it.end == Jobs::RunEnd::Done) {
            addToHistory(worker, it.task, it.attempt, "is acknowledged as done");
            if (doneRuns[it.task]++ == 0 && m_lastStarts[it.task] > worker.m_endTimes[it.number]) {
                recordViolation(it.task,
                                "start of " + Jobs::toString(it.task)
                                    + " after its end, which was acknowledged later");
            }
        }
    }
    ends.erase(std::remove_if(ends.begin(), ends.end(), [&](const auto &it) { return it.number <= cursor; }),
               ends.end());
}

template<typename Handle, typename Fail>
void SimulatedPlatform::order(const std::string &member, const std::string &id, Handle handle, Fail fail)
{
    Worker &worker = workers[id];
    if (!isLive(member)) {
        return;
    }
    if (!isReachable(worker, member)) {
        timers.subscribeAfter(OrderTimeout, fail);
        return;
    }
    if (worker.m_openCalls.size() > MaxOpenCalls) {
        worker.m_openCalls.erase(worker.m_openCalls.begin(), worker.m_openCalls.begin() + MaxOpenCalls / 2);
    }
    worker.m_openCalls.emplace_back(member, fail);
    const bool isLate = std::uniform_real_distribution<>(0, 1)(random) < worker.delayedShare;
    const bool isHeld = !isLate && !worker.isUp;
    const auto pick = [this](Milliseconds least, Milliseconds most) {
        return Milliseconds(std::uniform_int_distribution<>(int(least.count()), int(most.count()))(random));
    };
    const Milliseconds delay = isLate ? pick(2s, 12s) : isHeld ? pick(1ms, OrderTimeout) : worker.delay;
    timers.subscribeAfter(delay, [this, id, handle, isLate, startTime = worker.m_startedAt] {
        Worker &there = workers[id];
        if (there.isUp && (ordersOutliveRestarts || there.m_startedAt == startTime)) {
            advance(there);
            m_isLate = isLate;
            m_isFromBeforeRestart = there.m_startedAt != startTime;
            handle(there);
            m_isLate = false;
            m_isFromBeforeRestart = false;
        }
    });
    if (isLate || isHeld) {
        timers.subscribeAfter(OrderTimeout, fail);
    }
}

void SimulatedPlatform::Platform::startRun(const Jobs::WorkerInfo &worker,
                                           const Jobs::StartRun &order,
                                           const JobService::RunCallback &done)
{
    auto answer = std::make_shared<JobService::RunCallback>(done);
    const auto once = [answer](JobService::RunAnswer value) {
        if (const auto callback = std::exchange(*answer, nullptr)) {
            callback(value);
        }
    };
    m_world.order(
        m_member,
        worker.id,
        [this, order, once](Worker &there) {
            const auto value = m_world.executeStart(there, order);
            m_world.answer(
                m_member, order.worker, [once, value] { once(value); }, [once] { once({}); });
        },
        [once] { once({}); });
}

void SimulatedPlatform::Platform::stopRun(const Jobs::WorkerInfo &worker,
                                          const Jobs::StopRun &order,
                                          const JobService::RunCallback &done)
{
    auto answer = std::make_shared<JobService::RunCallback>(done);
    const auto once = [answer](JobService::RunAnswer value) {
        if (const auto callback = std::exchange(*answer, nullptr)) {
            callback(value);
        }
    };
    m_world.order(
        m_member,
        worker.id,
        [this, order, once](Worker &there) {
            const auto value = m_world.executeStop(there, order);
            m_world.answer(
                m_member, order.worker, [once, value] { once(value); }, [once] { once({}); });
        },
        [once] { once({}); });
}

void SimulatedPlatform::Platform::renewLease(const Jobs::WorkerInfo &worker,
                                             const Jobs::RenewLease &order,
                                             const JobService::ListCallback &done)
{
    auto answer = std::make_shared<JobService::ListCallback>(done);
    const auto once = [answer](Jobs::OrderResult result, const Jobs::RunList &list) {
        if (const auto callback = std::exchange(*answer, nullptr)) {
            callback(result, list);
        }
    };
    const std::string id = worker.id;
    m_world.order(
        m_member,
        id,
        [this, id, order, once](Worker &there) {
            if (order.token < there.m_token) {
                m_world.answer(
                    m_member, id, [once] { once(Jobs::OrderResult::Fenced, {}); }, [] {});
                return;
            }
            there.m_token = order.token;
            if (order.leaseEnd) {
                there.m_leaseEnd =
                    std::max(there.m_leaseEnd,
                             std::min(*order.leaseEnd, m_world.clockOf(there) + m_world.leaseLimit.count()));
            }
            m_world.acknowledge(there, order.ackCursor);
            const auto respond = [this, id, once, startTime = there.m_startedAt] {
                Worker &now = m_world.workers[id];
                if (!now.isUp || now.m_startedAt != startTime) {
                    return;
                }
                m_world.advance(now);
                const auto list = m_world.runListOf(now);
                m_world.answer(
                    m_member, id, [once, list] { once(Jobs::OrderResult::Done, list); }, [] {});
            };
            if (!there.m_ends.empty() || order.longPollTime.count() == 0) {
                respond();
                return;
            }
            there.m_pendingRenewals.push_back(respond);
            m_world.timers.subscribeAfter(order.longPollTime, respond);
        },
        [once] { once(Jobs::OrderResult::NoAnswer, {}); });
    m_world.timers.subscribeAfter(order.longPollTime + OrderTimeout,
                                  [once] { once(Jobs::OrderResult::NoAnswer, {}); });
}

void SimulatedPlatform::Platform::paceRun(const Jobs::WorkerInfo &,
                                          const Jobs::PaceRun &order,
                                          const JobService::RunCallback &done)
{
    const bool isLost = m_world.losesPaceOrders;
    if (!isLost) {
        m_world.pacePercents[order.task] = order.percent;
    }
    m_world.timers.subscribeAfter(
        isLost ? Milliseconds(OrderTimeout) : Milliseconds(2 * WorkerDelay), [done, isLost] {
            done({isLost ? Jobs::OrderResult::NoAnswer : Jobs::OrderResult::Done, 0});
        });
}

void SimulatedPlatform::Platform::queryAdvice(const Jobs::AdviceQuery &question,
                                              const JobService::AdviceCallback &done)
{
    ++m_world.adviceQueries;
    Jobs::AdviceAnswer answer;
    answer.validity = 3s;
    for (const std::string &it : question.workers) {
        if (m_world.allowedWorkers.count(it) > 0) {
            answer.allowed.push_back({it, "ticket-" + it});
        }
    }
    m_world.timers.subscribeAfter(question.expected, [done, answer] { done(answer); });
}

void SimulatedPlatform::Platform::loadShard(JobService::ShardNumber shard,
                                            Jobs::Epoch epoch,
                                            const JobService::RecordSink &sink,
                                            const JobService::StoreCallback &done)
{
    if (m_world.isStoreDown || isStoreDown) {
        m_world.timers.subscribeAfter(StoreTimeout, [done] { done({JobService::StoreStatus::Unknown}); });
        return;
    }
    m_world.timers.subscribeAfter(2 * StoreDelay, [this, shard, epoch, sink, done] {
        Partition &partition = m_world.m_partitions[shard];
        if (epoch < partition.epoch) {
            done({JobService::StoreStatus::Fenced});
            return;
        }
        if (epoch > partition.epoch) {
            partition.epoch = epoch;
            partition.sequence = 0;
        }
        for (const auto &[key, value] : partition.records) {
            const bool isLast = partition.offsets[key] + 1 == partition.end;
            const auto record = isEarlierBuild ? earlierRecord({key, value}) : Jobs::Record{key, value};
            if (record) {
                sink(record->key, record->value, isLast);
            }
        }
        done({JobService::StoreStatus::Done});
    });
}

void SimulatedPlatform::Platform::append(JobService::ShardNumber shard,
                                         Jobs::Epoch epoch,
                                         std::uint64_t sequence,
                                         std::span<const Jobs::Record> records,
                                         const JobService::StoreCallback &done)
{
    if (!m_world.isLive(m_member)) {
        return;
    }
    if (m_world.isStoreDown || isStoreDown) {
        m_world.timers.subscribeAfter(StoreTimeout, [done] { done({JobService::StoreStatus::Unknown}); });
        return;
    }
    std::vector<Jobs::Record> copies;
    for (const Jobs::Record &it : records) {
        if (auto record = isEarlierBuild ? earlierRecord(it) : it) {
            copies.push_back(std::move(*record));
        }
    }
    const bool isLate = appendDelay > 0ms;
    const bool isLost =
        isLate || (losesAnswers && std::uniform_int_distribution<>(0, 2)(m_world.random) == 0);
    const auto delay = isLate ? appendDelay : Milliseconds(StoreDelay);
    if (isLost) {
        m_world.timers.subscribeAfter(StoreTimeout, [done] { done({JobService::StoreStatus::Unknown}); });
    }
    m_world.timers.subscribeAfter(delay, [this, shard, epoch, sequence, copies, done, isLost] {
        Partition &partition = m_world.m_partitions[shard];
        JobService::StoreAnswer answer{JobService::StoreStatus::Done};
        if (epoch < partition.epoch) {
            answer.status = JobService::StoreStatus::Fenced;
        } else if (sequence == partition.sequence + 1) {
            partition.sequence = sequence;
            for (const Jobs::Record &it : copies) {
                if (it.value.empty()) {
                    partition.records.erase(it.key);
                } else {
                    partition.records[it.key] = it.value;
                }
                partition.offsets[it.key] = partition.end++;
            }
        } else if (sequence > partition.sequence || sequence + RepeatableAppends <= partition.sequence) {
            answer = {JobService::StoreStatus::OutOfSequence, partition.sequence + 1};
        }
        if (!isLost) {
            m_world.timers.subscribeAfter(StoreDelay, [done, answer] { done(answer); });
        }
    });
}

void SimulatedPlatform::Platform::appendAt(const std::string &topic,
                                           std::uint64_t end,
                                           std::span<const Jobs::Record> records,
                                           const JobService::StoreCallback &done)
{
    if (!m_world.isLive(m_member)) {
        return;
    }
    if (m_world.isStoreDown || isStoreDown) {
        m_world.timers.subscribeAfter(StoreTimeout, [done] { done({JobService::StoreStatus::Unknown}); });
        return;
    }
    if (rejectsConditionalAppends) {
        m_world.timers.subscribeAfter(StoreDelay, [done] { done({JobService::StoreStatus::NotDone}); });
        return;
    }
    const std::vector<Jobs::Record> copies(records.begin(), records.end());
    const bool isLate = std::uniform_real_distribution<>(0, 1)(m_world.random) < m_world.lateWriteShare;
    const bool isLost =
        isLate || (losesAnswers && std::uniform_int_distribution<>(0, 2)(m_world.random) == 0);
    const auto delay = isLate ? Milliseconds(std::uniform_int_distribution<>(1000, 6000)(m_world.random))
                              : Milliseconds(StoreDelay);
    m_world.timers.subscribeAfter(delay, [this, topic, end, copies, done, isLost] {
        auto &log = m_world.m_topics[topic];
        JobService::StoreAnswer answer{JobService::StoreStatus::NotDone};
        if (log.size() == end) {
            ++m_world.m_topicAppends[topic];
            for (const Jobs::Record &it : copies) {
                log.push_back(
                    {it.key, it.value.empty() ? std::nullopt : std::optional(it.value), log.size()});
            }
            answer.status = JobService::StoreStatus::Done;
            for (const auto &read : std::exchange(m_world.m_tailReads[topic], {})) {
                read();
            }
        }
        if (!isLost) {
            m_world.timers.subscribeAfter(StoreDelay, [done, answer] { done(answer); });
        }
    });
    if (isLost) {
        m_world.timers.subscribeAfter(StoreTimeout, [done] { done({JobService::StoreStatus::Unknown}); });
    }
}

void SimulatedPlatform::Platform::readSnapshot(
    const std::string &topic,
    const std::optional<std::string> &,
    const JobService::ReadProgress &,
    const std::function<void(std::optional<JobService::SnapshotPage>)> &done)
{
    if (m_world.isStoreDown || isStoreDown) {
        m_world.timers.subscribeAfter(StoreTimeout, [done] { done(std::nullopt); });
        return;
    }
    m_world.timers.subscribeAfter(2 * StoreDelay, [this, topic, done] {
        const auto &log = m_world.m_topics[topic];
        std::map<std::string, JobService::KeyedRecord> newest;
        for (const JobService::KeyedRecord &it : log) {
            newest[it.key] = it;
        }
        JobService::SnapshotPage page;
        for (const auto &[key, record] : newest) {
            if (record.value) {
                page.records.push_back(record);
            }
        }
        page.end = log.size();
        done(std::move(page));
    });
}

// Holds the read in short steps, as a new record ends the wait.
void SimulatedPlatform::Platform::readTail(
    const std::string &topic,
    std::uint64_t from,
    Base::Duration wait,
    const JobService::ReadProgress &progress,
    const std::function<void(std::optional<JobService::TailPage>)> &done)
{
    if (m_world.isStoreDown || isStoreDown) {
        m_world.timers.subscribeAfter(StoreTimeout, [done] { done(std::nullopt); });
        return;
    }
    m_world.timers.subscribeAfter(TailStep, [this, topic, from, wait, progress, done] {
        const auto &log = m_world.m_topics[topic];
        if (!m_world.isLive(m_member)) {
            return;
        }
        if (log.size() <= from && wait > TailStep) {
            const auto isAnswered = std::make_shared<bool>(false);
            const auto answer = [this, topic, from, progress, done, isAnswered] {
                if (!std::exchange(*isAnswered, true)) {
                    readTail(topic, from, {}, progress, done);
                }
            };
            if (!missesNewRecords) {
                m_world.m_tailReads[topic].push_back(answer);
            }
            m_world.timers.subscribeAfter(wait - TailStep, answer);
            return;
        }
        JobService::TailPage page;
        for (std::size_t n = from; n < log.size(); ++n) {
            page.records.push_back(log[n]);
        }
        page.next = log.size();
        page.end = log.size();
        done(std::move(page));
    });
}

void SimulatedPlatform::expireMembers()
{
    for (auto it = m_memberships.begin(); it != m_memberships.end();) {
        if (timers.now() - it->second.seenAt <= it->second.lifetime) {
            ++it;
            continue;
        }
        for (Partition &partition : m_partitions) {
            if (partition.holder == it->first) {
                partition.holder.clear();
            }
        }
        it = m_memberships.erase(it);
        assignShards();
    }
}

void SimulatedPlatform::assignShards()
{
    ++m_generation;
    std::size_t n = 0;
    for (Partition &it : m_partitions) {
        it.target.clear();
        if (!m_memberships.empty()) {
            it.target =
                std::next(m_memberships.begin(), static_cast<std::ptrdiff_t>(n++ % m_memberships.size()))
                    ->first;
        }
    }
}

void SimulatedPlatform::Platform::renewMembership(const JobService::MembershipRenewal &renewal,
                                                  const JobService::GrantCallback &done)
{
    if (!m_world.isLive(m_member)) {
        return;
    }
    if (m_world.isStoreDown || isStoreDown) {
        m_world.timers.subscribeAfter(renewal.timeout, [done] { done(std::nullopt); });
        return;
    }
    if (losesRenewalAnswers) {
        m_world.timers.subscribeAfter(renewal.timeout, [done] { done(std::nullopt); });
    }
    m_world.timers.subscribeAfter(2 * StoreDelay, [this, renewal, done, losesAnswer = losesRenewalAnswers] {
        m_world.expireMembers();
        const bool isNew = m_world.m_memberships.count(m_member) == 0;
        auto &membership = m_world.m_memberships[m_member];
        membership.seenAt = m_world.timers.now();
        membership.lifetime = renewal.lifetime;
        if (isNew) {
            m_world.assignShards();
        }
        JobService::MembershipGrant grant{m_world.m_generation, {}};
        for (std::size_t n = 0; n < m_world.m_partitions.size(); ++n) {
            Partition &it = m_world.m_partitions[n];
            if (it.holder == m_member && it.target != m_member
                && renewal.generation == m_world.m_generation) {
                it.holder.clear();
            }
            if (it.target == m_member && it.holder.empty()) {
                it.holder = m_member;
            }
            if (it.target == m_member && it.holder == m_member) {
                grant.shards.push_back(static_cast<JobService::ShardNumber>(n));
            }
        }
        if (!losesAnswer) {
            done(grant);
        }
    });
}

void SimulatedPlatform::Platform::leaveMembership(const std::function<void()> &done)
{
    endMembership(m_member, done);
}

void SimulatedPlatform::Platform::endMembership(const std::string &member, const std::function<void()> &done)
{
    m_world.timers.subscribeAfter(2 * StoreDelay, [this, member, done] {
        if (m_world.m_memberships.count(member) > 0 && m_world.isLive(member) && member != m_member) {
            m_world.violations.push_back("the membership of a live process was ended: " + member);
        }
        for (Partition &it : m_world.m_partitions) {
            if (it.holder == member) {
                it.holder.clear();
            }
        }
        m_world.m_memberships.erase(member);
        m_world.assignShards();
        done();
    });
}

void SimulatedPlatform::Platform::readOwners(const JobService::OwnersCallback &done)
{
    m_world.timers.subscribeAfter(2 * StoreDelay, [this, done] {
        if (isStoreDown || m_world.isStoreDown) {
            done(std::nullopt);
            return;
        }
        std::vector<JobService::ShardOwner> owners;
        for (const Partition &it : m_world.m_partitions) {
            owners.push_back({static_cast<JobService::ShardNumber>(owners.size()), it.holder});
        }
        done(std::move(owners));
    });
}

Jobs::JobSpec SimulatedPlatform::makeJob(const std::string &id, std::uint32_t stages, std::uint32_t width)
{
    Jobs::JobSpec job;
    job.id = id;
    job.queue = {"previews", "sign", 0, 4, 1.6, 600ms, std::nullopt};
    for (std::uint32_t n = 0; n < stages; ++n) {
        Jobs::Stage stage;
        stage.count = width;
        stage.size = {1000, 500, 0};
        stage.estimate = 700ms;
        if (n > 0) {
            stage.dependsOn = {n - 1};
        }
        job.stages.push_back(stage);
    }
    return job;
}

SimulatedPlatform::Member *SimulatedPlatform::owner(JobService::ShardNumber shard)
{
    for (auto &[name, member] : members) {
        if (member->host.owns(shard)) {
            return member.get();
        }
    }
    return nullptr;
}

void SimulatedPlatform::ask(const JobService::JobRequest &request,
                            const std::function<void(JobService::JobReply)> &done)
{
    Member *member = owner(request.shard);
    if (!member) {
        return;
    }
    member->host.handle(request, [this, request, done](const JobService::JobReply &reply) {
        if (reply.status != JobService::JobReply::Status::Redirected || request.isForwardedByHome) {
            done(reply);
            return;
        }
        JobService::JobRequest sentOn = request;
        sentOn.shard = reply.redirectedTo;
        sentOn.isForwardedByHome = true;
        ask(sentOn, done);
    });
}

JobService::ShardNumber SimulatedPlatform::homeShardOf(const std::string &job) const
{
    return *m_layout.homeShardOf("sign", job);
}

bool SimulatedPlatform::submit(const Jobs::JobSpec &job, Milliseconds time)
{
    submitted[job.id] = job;
    const Base::Instant until = timers.now() + time;
    while (timers.now() < until) {
        auto status = std::make_shared<std::optional<JobService::JobReply::Status>>();
        ask({homeShardOf(job.id), JobService::Operation::Submit, job, {}},
            [status](const JobService::JobReply &reply) { *status = reply.status; });
        for (int n = 0; n < 20 && !*status; ++n) {
            run(50ms);
        }
        if (*status == JobService::JobReply::Status::Done) {
            return true;
        }
        run(200ms);
    }
    return false;
}

bool SimulatedPlatform::cancel(const std::string &job)
{
    auto isDone = std::make_shared<bool>(false);
    ask({homeShardOf(job), JobService::Operation::Cancel, std::nullopt, job},
        [isDone](const JobService::JobReply &reply) {
            *isDone = reply.status == JobService::JobReply::Status::Done;
        });
    for (int n = 0; n < 40 && !*isDone; ++n) {
        run(50ms);
    }
    return *isDone;
}

std::optional<JobService::ReportedState> SimulatedPlatform::state(const std::string &job)
{
    const auto shown = std::make_shared<std::optional<JobService::ReportedState>>();
    ask({homeShardOf(job), JobService::Operation::State, std::nullopt, job},
        [shown](const JobService::JobReply &reply) {
            if (reply.status == JobService::JobReply::Status::Done) {
                *shown = reply.state;
            }
        });
    return *shown;
}

bool SimulatedPlatform::holdsRecordOf(const std::string &job) const
{
    return std::any_of(m_partitions.begin(), m_partitions.end(), [&](const Partition &partition) {
        return std::any_of(partition.records.begin(), partition.records.end(), [&](const auto &it) {
            return it.first.substr(it.first.find('/') + 1) == job;
        });
    });
}

std::size_t SimulatedPlatform::runsOf(const std::string &job) const
{
    std::size_t n = 0;
    for (const auto &[id, worker] : workers) {
        n += static_cast<std::size_t>(std::count_if(
            worker.m_runs.begin(), worker.m_runs.end(), [&](const Run &it) { return it.task.job == job; }));
    }
    return n;
}

std::size_t SimulatedPlatform::runsOn(const std::string &worker) const
{
    return workers.at(worker).m_runs.size();
}
