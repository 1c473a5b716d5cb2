#include "worker.h"

#include <jobs/jsonfields.h>
#include <jobs/placement.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Soak
{

namespace
{

namespace json = boost::json;

constexpr std::int64_t FirstClock = 1000; // ms
constexpr std::int64_t MaxLease = 6000; // ms
constexpr Base::Duration HeartbeatTime = 1500ms;
constexpr auto MaxStopTime = 150ms;
constexpr Milliseconds CheckpointTime{2000};
constexpr Milliseconds RestoreTime{250};
constexpr Base::Duration DeadlyTime = 300ms; // from its start until a task crashes its worker
constexpr Milliseconds LongRunningStart{700};
constexpr std::size_t MaxListedEnds = 500;
constexpr double FailureShare = 0.002;

json::object resourcesJson(const Jobs::Resources &from)
{
    return {{"Cpu", from.milliCores}, {"MemMb", from.memory}, {"Gpu", from.accelerators}};
}

Jobs::Resources sizeOf(const Observer &observer, const Jobs::TaskId &task)
{
    return Jobs::reservedResources(observer.find(task.job)->stages[task.stage]);
}

} // namespace

Worker::Worker(const WorkerSurroundings &surroundings,
               Place place,
               Crashed crashed,
               std::shared_ptr<Door> door,
               Base::Duration registersAfter)
    : m_surroundings(surroundings)
    , m_place(std::move(place))
    , m_onCrash(std::move(crashed))
    , m_startedAt(surroundings.timers.now())
    , m_born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count())
    , m_leaseTimer(surroundings.timers)
    , m_beatTimer(surroundings.timers)
    , m_door(std::move(door))
{
    m_surroundings.observer.setWorker(m_place.id, m_place.service, m_place.capacity, false);
    if (registersAfter > Base::Duration::zero()) {
        m_beatTimer.arm(registersAfter, [this] { beat(); });
    } else {
        beat();
    }
    m_door->setHandler(
        [this](const Http::Request &request, const Http::Responder &respond) { handle(request, respond); });
}

Worker::~Worker()
{
    *m_isAlive = false;
    m_door->setHandler(nullptr);
    for (const Waiter &it : m_waiters) {
        m_door->keepOpen(it.respond);
    }
    for (const auto &[task, run] : m_runs) {
        m_surroundings.timers.cancel(run.timer);
    }
    std::erase_if(m_ends, [this](const Jobs::ListedEnd &it) { return it.number <= m_listedEnd; });
    m_surroundings.observer.removeWorker(m_place.id, m_ends);
}

const Worker::Place &Worker::place() const
{
    return m_place;
}

const std::shared_ptr<Door> &Worker::door() const
{
    return m_door;
}

Base::Instant Worker::beatAt() const
{
    return m_beatAt;
}

void Worker::setCapacity(const Jobs::Resources &capacity)
{
    m_place.capacity = capacity;
    beat();
}

void Worker::setFailing(bool isFailing)
{
    m_isFailing = isFailing;
}

void Worker::setDelay(Base::Duration delay)
{
    m_delay = delay;
}

void Worker::setCutOff(bool isCutOff)
{
    m_isCutOff = isCutOff;
    m_door->setCutOff(isCutOff);
    beat();
}

std::int64_t Worker::clock() const
{
    return FirstClock
        + std::chrono::duration_cast<Milliseconds>(m_surroundings.timers.now() - m_startedAt).count();
}

void Worker::beat()
{
    m_surroundings.observer.setWorker(m_place.id, m_place.service, m_place.capacity, false);
    if (m_isCutOff) {
        m_beatTimer.disarm();
        return;
    }
    m_beatAt = m_surroundings.timers.now();
    m_surroundings.store.put(
        "keyed.servers",
        m_place.id,
        json::serialize(json::object{{"Service", m_place.service},
                                     {"Address", fmt::format("127.0.0.1:{}", m_door->port())},
                                     {"Zone", m_place.zone},
                                     {"Version", "v1"},
                                     {"Slots", 8},
                                     {"State", "ready"},
                                     {"ColdRemainingMs", 0},
                                     {"Sequence", ++m_beats},
                                     {"Machine", m_place.machine},
                                     {"born", m_born},
                                     {"ClockMs", clock()},
                                     {"Capacity", resourcesJson(m_place.capacity)},
                                     {"Labels", json::array{"a", m_place.rack}}}));
    m_beatTimer.arm(HeartbeatTime, [this] { beat(); });
}

void Worker::handle(const Http::Request &request, const Http::Responder &respond)
{
    const auto isAlive = m_isAlive;
    const auto carryOut = [this, request, respond, isAlive] {
        if (!*isAlive) {
            return;
        }
        if (request.field("Expected-Instance") != m_place.id) {
            respond(Http::Response{.status = 421});
        } else if (request.target == "/run-start") {
            start(request.body, respond);
        } else if (request.target == "/run-stop") {
            stop(request.body, respond);
        } else if (request.target == "/hold") {
            hold(request.body, respond);
        } else {
            respondWith(respond, 200, {}); // the pace has no effect
        }
    };
    if (m_delay > Base::Duration::zero()) {
        m_surroundings.timers.subscribeAfter(m_delay, carryOut);
    } else {
        carryOut();
    }
}

void Worker::respondWith(const Http::Responder &respond, unsigned status, std::string_view reason)
{
    json::object body{{"ClockMs", clock()}, {"born", m_born}};
    if (!reason.empty()) {
        body["Reason"] = reason;
    }
    respond(Http::Response{.status = status, .body = json::serialize(body)});
}

bool Worker::raiseToken(std::uint64_t token)
{
    m_token = std::max(m_token, token);
    return token == m_token;
}

void Worker::extendLease(std::int64_t deadline)
{
    m_deadline = std::max(m_deadline, std::min(deadline, clock() + MaxLease));
    checkLease();
}

void Worker::checkLease()
{
    const std::int64_t left = m_deadline - clock();
    if (left > 0) {
        m_leaseTimer.arm(Milliseconds(left), [this] { checkLease(); });
        return;
    }
    m_lapsedEnd = m_lastEnd;
    const auto runs = m_runs;
    for (const auto &[task, run] : runs) {
        end(task, Jobs::RunEnd::LeaseExpired);
    }
}

bool Worker::hasRoomFor(const Jobs::TaskId &task) const
{
    Jobs::Resources used = sizeOf(m_surroundings.observer, task);
    for (const auto &[other, run] : m_runs) {
        used += sizeOf(m_surroundings.observer, other);
    }
    return m_place.capacity.contains(used);
}

void Worker::start(const std::string &body, const Http::Responder &respond)
{
    const json::value parsed = json::parse(body);
    const json::object &order = parsed.as_object();
    const auto id = Jobs::taskIdFromString(Jobs::textOrEmpty(order, "Task"));
    const SubmittedJob *job = id ? m_surroundings.observer.find(id->job) : nullptr;
    if (!job || id->stage >= job->stages.size() || id->index >= job->stages[id->stage].count) {
        respondWith(respond, 400, "unknown");
        return;
    }
    const auto attempt = Jobs::numberOr<std::uint32_t>(order, "Attempt", 0);
    const auto deadline = Jobs::numberOr<std::int64_t>(order, "DeadlineMs", 0);
    if (!raiseToken(Jobs::numberOr<std::uint64_t>(order, "FencingToken", 0))) {
        respondWith(respond, 409, "fence");
        return;
    }
    const auto there = m_runs.find(*id);
    if (there != m_runs.end() && there->second.attempt == attempt) {
        extendLease(deadline);
        respondWith(respond, 200, {});
        return;
    }
    const auto known = m_endedAttempts.find(*id);
    if (there != m_runs.end() || (known != m_endedAttempts.end() && attempt <= known->second)) {
        extendLease(deadline);
        respondWith(respond, 409, "old");
        return;
    }
    if (deadline <= clock()) {
        respondWith(respond, 409, "late");
        return;
    }
    extendLease(deadline);
    if (m_place.enforcesCapacity && !hasRoomFor(*id)) {
        respondWith(respond, 409, "room");
        return;
    }
    const Jobs::Stage &stage = job->stages[id->stage];
    const bool fails = !stage.isLongRunning
        && (m_isFailing || std::uniform_real_distribution<>(0, 1)(m_surroundings.random) < FailureShare);
    Run run;
    run.attempt = attempt;
    run.startedAt = m_surroundings.timers.now();
    run.work = job->work[id->stage];
    run.isLongRunning = stage.isLongRunning;
    run.canCheckpoint = stage.canCheckpoint;
    Milliseconds time = run.work;
    if (const std::string checkpoint = Jobs::textOrEmpty(order, "Checkpoint"); !checkpoint.empty()) {
        run.savedBefore = Milliseconds(std::stoll(checkpoint));
        time = time - run.savedBefore + RestoreTime;
    }
    m_surroundings.observer.started(m_place.id, *id, attempt);
    if (job->crashesWorkers && id->stage == 0 && id->index == 0) {
        run.timer = m_surroundings.timers.subscribeAfter(
            DeadlyTime, [crashed = m_onCrash, worker = m_place.id] { crashed(worker); });
    } else if (!run.isLongRunning) {
        run.timer = m_surroundings.timers.subscribeAfter(fails ? time / 2 : time, [this, id = *id, fails] {
            end(id, fails ? Jobs::RunEnd::Failed : Jobs::RunEnd::Done);
        });
    }
    m_runs[*id] = run;
    respondWith(respond, 200, {});
}

void Worker::stop(const std::string &body, const Http::Responder &respond)
{
    const json::value parsed = json::parse(body);
    const json::object &order = parsed.as_object();
    const auto id = Jobs::taskIdFromString(Jobs::textOrEmpty(order, "Task"));
    const auto attempt = Jobs::numberOr<std::uint32_t>(order, "Attempt", 0);
    if (!raiseToken(Jobs::numberOr<std::uint64_t>(order, "FencingToken", 0))) {
        respondWith(respond, 409, "fence");
        return;
    }
    std::uint32_t &highest = m_endedAttempts[*id];
    highest = std::max(highest, attempt);
    const auto it = m_runs.find(*id);
    if (it != m_runs.end() && it->second.attempt <= attempt) {
        m_surroundings.timers.cancel(it->second.timer);
        const auto delay =
            std::uniform_int_distribution<std::int64_t>(5, MaxStopTime.count())(m_surroundings.random);
        it->second.timer = m_surroundings.timers.subscribeAfter(
            Milliseconds(delay), [this, id = *id] { end(id, Jobs::RunEnd::Stopped); });
    }
    respondWith(respond, 200, {});
}

Milliseconds Worker::saved(const Run &run) const
{
    const auto elapsed =
        std::chrono::duration_cast<Milliseconds>(m_surroundings.timers.now() - run.startedAt);
    return std::min(run.work, run.savedBefore + elapsed);
}

std::string Worker::checkpointOf(const Run &run) const
{
    if (!run.canCheckpoint) {
        return {};
    }
    const Milliseconds done = saved(run);
    return fmt::format("{:08}", (done - done % CheckpointTime).count());
}

void Worker::end(const Jobs::TaskId &task, Jobs::RunEnd how)
{
    const auto it = m_runs.find(task);
    if (it == m_runs.end()) {
        return;
    }
    const Run run = it->second;
    m_surroundings.timers.cancel(run.timer);
    m_runs.erase(it);
    std::uint32_t &highest = m_endedAttempts[task];
    highest = std::max(highest, run.attempt);
    std::string checkpoint;
    if (run.canCheckpoint && how != Jobs::RunEnd::Done) {
        checkpoint =
            how == Jobs::RunEnd::Stopped ? fmt::format("{:08}", saved(run).count()) : checkpointOf(run);
    }
    m_ends.push_back({++m_lastEnd, task, run.attempt, how, checkpoint});
    m_surroundings.observer.ended(m_place.id, task, how);
    for (const Waiter &waiter : std::exchange(m_waiters, {})) {
        waiter.respond(Http::Response{.body = lists()});
    }
}

std::string Worker::lists()
{
    json::array running;
    for (const auto &[task, run] : m_runs) {
        const bool isStarted = saved(run) >= LongRunningStart;
        running.push_back(json::array{Jobs::toString(task),
                                      run.attempt,
                                      checkpointOf(run),
                                      run.isLongRunning && !isStarted ? 0 : 100,
                                      0});
    }
    json::array finished;
    for (const Jobs::ListedEnd &it : m_ends) {
        if (finished.size() < MaxListedEnds) {
            m_listedEnd = std::max(m_listedEnd, it.number);
            finished.push_back(json::array{
                it.number, Jobs::toString(it.task), it.attempt, Jobs::toString(it.end), it.checkpoint});
        }
    }
    return json::serialize(json::object{{"ClockMs", clock()},
                                        {"born", m_born},
                                        {"Running", std::move(running)},
                                        {"Finished", std::move(finished)}});
}

void Worker::hold(const std::string &body, const Http::Responder &respond)
{
    const json::value parsed = json::parse(body);
    const json::object &order = parsed.as_object();
    if (!raiseToken(Jobs::numberOr<std::uint64_t>(order, "FencingToken", 0))) {
        respondWith(respond, 409, "fence");
        return;
    }
    const auto cursor = Jobs::numberOr<std::uint64_t>(order, "AckCursor", 0);
    std::erase_if(m_ends, [&](const Jobs::ListedEnd &it) {
        if (it.number <= cursor && it.number > m_lapsedEnd) {
            m_surroundings.observer.acknowledged(it);
        }
        return it.number <= cursor;
    });
    if (const auto deadline = Jobs::numberOr<std::int64_t>(order, "DeadlineMs", 0); deadline > 0) {
        extendLease(deadline);
    }
    const Milliseconds wait(std::min<std::int64_t>(2000, Jobs::numberOr<std::int64_t>(order, "WaitMs", 0)));
    if (!m_ends.empty() || wait == 0ms) {
        respond(Http::Response{.body = lists()});
        return;
    }
    const std::uint64_t id = ++m_lastWaiter;
    m_waiters.push_back({id, respond});
    m_surroundings.timers.subscribeAfter(wait, [this, id, isAlive = m_isAlive] {
        if (!*isAlive) {
            return;
        }
        const auto it = std::find_if(
            m_waiters.begin(), m_waiters.end(), [id](const Waiter &waiter) { return waiter.id == id; });
        if (it != m_waiters.end()) {
            it->respond(Http::Response{.body = lists()});
            m_waiters.erase(it);
        }
    });
}

} // namespace Soak
