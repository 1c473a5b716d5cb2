#include "callers.h"

#include <jobs/jsonfields.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

using namespace std::chrono_literals;

namespace Soak
{

namespace
{

namespace json = boost::json;

constexpr Base::Duration CallTimeout = 3s;
constexpr Base::Duration ReadinessPeriod = 1s;
constexpr Base::Duration ReadinessTimeout = 800ms;
constexpr Base::Duration PollPeriod = 1s;
constexpr Base::Duration RetryPause = 200ms;
constexpr int MaxRetries = 4;
constexpr std::size_t ConnectionsPerMember = 32;
constexpr double LongWork = 11'000; // ms
constexpr std::uint32_t MaxLongTasks = 3; // of a stage
constexpr double UnevenWork = 0.3; ///< durations of tasks differ by up to this share
constexpr std::uint32_t UnavailableDivisor = 6; ///< of a long-running stage's tasks, so many may be away

json::object stageJson(const Jobs::Stage &stage)
{
    json::object out{{"Count", stage.count},
                     {"Cpu", stage.size.milliCores},
                     {"MemMb", stage.size.memory},
                     {"EstimateMs", stage.estimate.count()}};
    if (!stage.dependsOn.empty()) {
        out["DependsOn"] = json::array(stage.dependsOn.begin(), stage.dependsOn.end());
    }
    if (stage.canCheckpoint) {
        out["Checkpointing"] = true;
    }
    if (stage.tasksPerWorker > 0) {
        out["AntiAffinity"] = stage.tasksPerWorker;
    }
    if (stage.isLongRunning) {
        out["LongRunning"] = true;
        out["MaxUnavailable"] = stage.maxUnavailable;
    }
    return out;
}

std::string body(const SubmittedJob &job)
{
    json::array stages;
    for (const Jobs::Stage &it : job.stages) {
        stages.push_back(stageJson(it));
    }
    return json::serialize(json::object{{"Spec", "soak"}, {"Phases", std::move(stages)}});
}

unsigned statusOf(const Http::Outcome &outcome)
{
    return outcome.response ? outcome.response->status : 0;
}

} // namespace

Callers::Callers(boost::asio::io_context &context,
                 Base::TimerService &timers,
                 Observer &observer,
                 const Shape &shape,
                 std::vector<Entry> entries,
                 std::uint32_t seed)
    : m_timers(timers)
    , m_observer(observer)
    , m_shape(shape)
    , m_client(context, timers, {.connectionsPerServer = ConnectionsPerMember})
    , m_random(seed)
{
    for (Entry &it : entries) {
        m_members.push_back({std::move(it)});
    }
    pollReadiness();
    timers.subscribeEvery(ReadinessPeriod, [this] { pollReadiness(); });
}

void Callers::pollReadiness()
{
    for (Member &it : m_members) {
        Http::Request request;
        request.target = "/readyz";
        m_client.send(
            it.entry.readiness, std::move(request), ReadinessTimeout, [&it](const Http::Outcome &outcome) {
                const bool isReady = statusOf(outcome) == 200;
                it.misses = isReady ? 0 : it.misses + 1;
                it.wasReady = it.wasReady || isReady;
            });
    }
}

bool Callers::areAllReady() const
{
    return std::all_of(
        m_members.begin(), m_members.end(), [](const Member &it) { return it.isReady() && it.misses == 0; });
}

std::uint64_t Callers::submitted() const
{
    return m_submitted;
}

std::uint64_t Callers::refused() const
{
    return m_refused;
}

// If fewer than half of a zone's members are ready, all of them are used.
const Callers::Member &Callers::chooseMember(const std::string &zone)
{
    std::vector<const Member *> all;
    std::vector<const Member *> ready;
    for (const Member &it : m_members) {
        if (it.entry.zone == zone) {
            all.push_back(&it);
            if (it.isReady()) {
                ready.push_back(&it);
            }
        }
    }
    const auto &from = ready.size() * 2 >= all.size() ? ready : all;
    return *from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(m_random)];
}

void Callers::setHotWorkspace(std::size_t workspace, double factor)
{
    m_hotWorkspace = workspace;
    m_hotFactor = factor;
}

void Callers::setDeadlyShare(std::string queue, double share)
{
    m_deadlyQueue = std::move(queue);
    m_deadlyShare = share;
}

std::string Callers::drawWorkspace()
{
    std::vector<double> weights;
    for (const Workspace &it : m_shape.workspaces) {
        weights.push_back(it.weight);
    }
    weights[m_hotWorkspace] *= m_hotFactor;
    return m_shape
        .workspaces[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random)]
        .name;
}

SubmittedJob Callers::drawJob(const Queue &queue)
{
    const auto share = [this] {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    };
    SubmittedJob job;
    job.id = fmt::format("{:016x}", std::uniform_int_distribution<std::uint64_t>()(m_random));
    job.queue = &queue;
    const auto stages = static_cast<std::uint32_t>(std::max(1.0, std::round(queue.stages.draw(m_random))));
    const bool canCheckpoint = share() < queue.checkpointShare;
    const bool isLong = m_shape.longShare > 0 && !queue.isLongRunning && share() < m_shape.longShare;
    for (std::uint32_t n = 0; n < stages; ++n) {
        Jobs::Stage stage;
        stage.count = static_cast<std::uint32_t>(std::max(1.0, std::round(queue.width.draw(m_random))));
        stage.size.milliCores = std::max<std::int64_t>(50, std::llround(queue.milliCores.draw(m_random)));
        stage.size.memory = std::max<std::int64_t>(50, std::llround(queue.memory.draw(m_random)));
        const double mean = isLong ? LongWork : queue.work.draw(m_random);
        const double work = std::max(20.0, mean * (1 + UnevenWork * (share() - 0.5)));
        stage.count = isLong ? std::min(stage.count, MaxLongTasks) : stage.count;
        job.work.emplace_back(std::llround(work));
        stage.estimate =
            Milliseconds(std::llround(std::max(1.0, work * (1 + queue.estimateError * (2 * share() - 1)))));
        stage.canCheckpoint = canCheckpoint;
        if (n > 0) {
            stage.dependsOn = {n - 1};
        }
        stage.tasksPerWorker = queue.tasksPerWorker;
        if (queue.isLongRunning) {
            stage.isLongRunning = true;
            stage.maxUnavailable = std::max<std::uint32_t>(1, stage.count / UnavailableDivisor);
        }
        job.stages.push_back(stage);
    }
    if (!queue.isLongRunning) {
        job.workspace = drawWorkspace();
    }
    job.crashesWorkers = queue.name == m_deadlyQueue && share() < m_deadlyShare;
    return job;
}

void Callers::submitLongRunningJobs()
{
    for (const Queue &queue : m_shape.queues) {
        for (std::uint32_t n = 0; n < m_shape.longRunningJobs && queue.isLongRunning; ++n) {
            submit(m_observer.add(drawJob(queue)), m_shape.zones[n % m_shape.zones.size()], 0);
        }
    }
}

void Callers::start(Base::Duration time)
{
    m_startedAt = m_timers.now();
    m_endsAt = m_startedAt + time;
    for (const Queue &it : m_shape.queues) {
        if (it.perSecond > 0) {
            scheduleArrival(it);
        }
    }
}

// Demand comes by turns: each queue asks for several times its mean in its own.
double Callers::rate(const Queue &queue) const
{
    const auto turn = (m_timers.now() - m_startedAt) / m_shape.turnTime;
    const auto turns = static_cast<std::int64_t>(std::count_if(
        m_shape.queues.begin(), m_shape.queues.end(), [](const Queue &it) { return it.perSecond > 0; }));
    const bool isOwnTurn = turn % turns == queue.turn;
    return queue.perSecond * (isOwnTurn ? m_shape.turnFactor : m_shape.idleFactor);
}

void Callers::scheduleArrival(const Queue &queue)
{
    const double highest = queue.perSecond * m_shape.turnFactor;
    const double pause = std::exponential_distribution<>(highest)(m_random);
    m_timers.subscribeAfter(std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(pause)),
                            [this, &queue, highest] {
                                if (m_timers.now() >= m_endsAt) {
                                    return;
                                }
                                if (std::uniform_real_distribution<>(0, highest)(m_random) < rate(queue)) {
                                    const auto zone = std::uniform_int_distribution<std::size_t>(
                                        0, m_shape.zones.size() - 1)(m_random);
                                    ++m_submitted;
                                    submit(m_observer.add(drawJob(queue)), m_shape.zones[zone], 0);
                                }
                                scheduleArrival(queue);
                            });
}

void Callers::call(std::string method,
                   const SubmittedJob &job,
                   const std::string &zone,
                   std::string requestBody,
                   std::function<void(unsigned status, const Http::Outcome &)> done)
{
    Http::Request request;
    request.method = std::move(method);
    request.target = job.queue->prefix + job.id;
    request.fields = {
        {"Host", "soak.example"},
        {"Content-Type", "application/json"},
        {"Deadline-Ms", std::to_string(std::chrono::duration_cast<Milliseconds>(CallTimeout).count())}};
    for (const Workspace &it : m_shape.workspaces) {
        if (it.name == job.workspace) {
            request.fields.push_back({"X-Api-Key", it.key});
        }
    }
    request.body = std::move(requestBody);
    m_client.send(
        chooseMember(zone).entry.callers,
        std::move(request),
        CallTimeout,
        [done = std::move(done)](const Http::Outcome &outcome) { done(statusOf(outcome), outcome); });
}

void Callers::submit(const SubmittedJob &job, const std::string &zone, int attempt)
{
    call("POST",
         job,
         zone,
         body(job),
         [this, &job, zone, attempt](unsigned status, const Http::Outcome &outcome) {
             if (status >= 200 && status < 300) {
                 m_observer.accepted(job.id);
                 m_timers.subscribeAfter(PollPeriod, [this, id = job.id, zone] { poll(id, zone); });
                 if (std::uniform_real_distribution<>(0, 1)(m_random) < job.queue->cancelShare) {
                     m_timers.subscribeAfter(PollPeriod, [this, id = job.id, zone] { cancel(id, zone, 0); });
                 }
                 return;
             }
             const bool isRefused = status == 429 || status == 503;
             if (attempt >= MaxRetries || status == 400 || status == 401 || status == 404) {
                 ++m_refused;
                 return;
             }
             Base::Duration pause = RetryPause;
             if (isRefused) {
                 const std::string_view text = outcome.response->field("Retry-After");
                 pause = std::chrono::seconds(text.empty() ? 1 : std::stoi(std::string(text)));
             }
             m_timers.subscribeAfter(pause, [this, &job, zone, attempt] { submit(job, zone, attempt + 1); });
         });
}

void Callers::poll(const std::string &id, const std::string &zone)
{
    const SubmittedJob &job = *m_observer.find(id);
    if (job.queue->isLongRunning) {
        return;
    }
    call("GET", job, zone, {}, [this, id, zone](unsigned status, const Http::Outcome &outcome) {
        std::string state;
        if (status == 200) {
            const json::value parsed = json::parse(outcome.response->body);
            state = Jobs::textOrEmpty(parsed.as_object(), "State");
        }
        m_observer.shown(id, status, state);
        if (status != 200 || state == "queued" || state == "running") {
            m_timers.subscribeAfter(PollPeriod, [this, id, zone] { poll(id, zone); });
        }
    });
}

void Callers::cancel(const std::string &id, const std::string &zone, int attempt)
{
    m_observer.cancelled(id); // whether the cancel is acknowledged or not, the job may end now
    call("DELETE",
         *m_observer.find(id),
         zone,
         {},
         [this, id, zone, attempt](unsigned status, const Http::Outcome &) {
             if (status != 200 && status != 410 && attempt < MaxRetries) {
                 m_timers.subscribeAfter(RetryPause,
                                         [this, id, zone, attempt] { cancel(id, zone, attempt + 1); });
             }
         });
}

void Callers::askForAll(const std::function<void()> &done)
{
    const auto open = m_observer.openJobs();
    const auto left = std::make_shared<std::size_t>(open.size());
    if (open.empty()) {
        done();
    }
    for (const SubmittedJob *job : open) {
        call("GET",
             *job,
             m_shape.zones[0],
             {},
             [this, job, left, done](unsigned status, const Http::Outcome &outcome) {
                 std::string state;
                 if (status == 200) {
                     const json::value parsed = json::parse(outcome.response->body);
                     state = Jobs::textOrEmpty(parsed.as_object(), "State");
                 }
                 m_observer.shownAtEnd(job->id, status, state, outcome.failure);
                 if (--*left == 0) {
                     done();
                 }
             });
    }
}

} // namespace Soak
