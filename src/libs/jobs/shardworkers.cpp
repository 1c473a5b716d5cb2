#include "placement.h"
#include "queueorder.h"
#include "shard.h"

#include <base/logline.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Jobs
{

namespace
{

// Workers list at most this many ends in one answer and the remaining ones in the next.
constexpr std::size_t MaxEndsInList = 500;

// Maximum drift of a worker's clock. With a slow clock leases last longer than by the clock of the owner.
constexpr int ClockDriftPerCent = 3;

// A worker that has answered within this time is taken to be running. One that hasn't is queried at this
// interval.
constexpr Milliseconds RecentAnswerTime{250};
constexpr Milliseconds ProbeInterval{900};

// Less than LeaseMargin: a clock that is behind by it lengthens the lease by as much.
constexpr Milliseconds ClockTolerance{100};

// Maximum delay between sending a lease and its arrival.
constexpr Milliseconds LeaseMargin{300};

// Delay before a worker that did not answer is queried again.
constexpr Milliseconds RetryDelay{250};

// A worker with ends that are not stored yet lists them again at once, so it is queried at this interval.
constexpr Milliseconds UnstoredEndsDelay{300};

// Best-effort tasks are slowed down above the high and sped up below the low share of the tail latency
// target. Between the two their pace is kept; pace is in percent.
constexpr double HighTailShare = 0.85;
constexpr double LowTailShare = 0.6;
constexpr int PaceStep = 10;

// A long-running task that has run for this long is not suspected of earlier crashes any more.
constexpr Milliseconds ProvenRunTime{10'000};

} // namespace

// A worker that this owner has forgotten may have seen a raised token, so an entry begins with the highest
// one.
Worker &Shard::workerFor(const std::string &id)
{
    const auto [it, isNew] = m_workers.try_emplace(id);
    if (isNew) {
        it->second.info.id = id;
        it->second.token = m_highestToken;
    }
    return it->second;
}

// A restarted worker has none of its earlier runs, but an order that was sent before the restart was noticed
// may have started its run after it. So the first run list that the restarted worker is asked for decides,
// and the new token fences orders that are still on their way. The lease end of such an order is in the time
// of the worker's clock before the restart, usually far ahead, so the worker may have granted the longest
// lease.
void Shard::handleWorkerRestart(Worker &worker,
                                std::int64_t startTime,
                                RestartNotice notice,
                                Base::Instant now)
{
    const RestartNotice firstNotice = worker.isIncarnationUnknown() ? RestartNotice::Answer : notice;
    if (firstNotice == notice) {
        m_losses.addRestart(notice); // others have been counted with the answer
    }
    Base::LogLine(Base::LogLevel::Info, "worker-restarted")
        .with("worker", worker.info.id)
        .with("noticed_by", toString(firstNotice))
        .with("runs", worker.runs.size())
        .with("born", startTime)
        .with("born_before", worker.startTime)
        .with("token", worker.token + 1)
        .with("worker_seen_ms", milliseconds(now - worker.lastAnswer))
        .with("lease_ms", milliseconds(worker.leaseExpiresBy - now))
        .with("lease_source", toString(worker.leaseSource));
    worker.startTime = startTime;
    ++worker.token;
    m_highestToken = std::max(m_highestToken, worker.token);
    worker.isFenced = false;
    worker.listedRunsEndBy = worker.earliestLeaseEnd();
    worker.setLease(now + longestTimeAfterRestart(), LeaseSource::Restart, now);
    worker.mayHoldLongLease = true;
    worker.hasAnswered = false;
    worker.clock = 0;
    worker.previousClock = 0;
    worker.listedRuns.clear();
    worker.processedCursor = 0;
    worker.ackCursor = 0;
    worker.acknowledgedCursor = 0;
    worker.consecutiveFailedJobs = 0;
    worker.isolatedUntil = {};
    queryAgain(worker, now);
    for (const TaskId &it : worker.runs) {
        Task &task = *m_jobs[it.job].find(it);
        const bool isDecidedByList =
            task.run == RunState::Running || (task.run == RunState::Stopping && task.isStopConfirmed);
        if (isDecidedByList) {
            task.run = RunState::Inherited;
        }
        task.confirmedAt = 0;
        task.startClock = 0;
        task.isStopConfirmed = false;
        if (task.run == RunState::Stopping) {
            m_stopping.insert(it);
        }
        if (std::exchange(task.isConfirmed, false) && !task.endsBy && !worker.mayCarryOutStart(task)) {
            task.endsBy = worker.listedRunsEndBy;
        }
    }
    for (auto &[id, stray] : worker.strayRuns) {
        stray.run.confirmedAt = 0;
        stray.run.isStopConfirmed = false;
        if (std::exchange(stray.run.isConfirmed, false) && !stray.run.endsBy
            && !worker.mayCarryOutStart(stray.run)) {
            stray.run.endsBy = worker.listedRunsEndBy;
        }
    }
}

// The clock of a restarted worker starts again, so it is behind. Orders with a lease end by the former clock
// would be granted the longest lease.
bool Shard::checkIncarnation(Worker &worker, std::int64_t clock, Base::Instant sentAt, Base::Instant now)
{
    const std::int64_t sinceRead = milliseconds(sentAt - worker.clockReadAt);
    const std::int64_t expected = worker.clock + sinceRead - std::abs(sinceRead) * ClockDriftPerCent / 100;
    if (!worker.hasAnswered || clock >= expected - ClockTolerance.count()) {
        return worker.hasAnswered;
    }
    Base::LogLine(Base::LogLevel::Warning, "answer-of-unknown-incarnation")
        .with("worker", worker.info.id)
        .with("clock", clock)
        .with("expected_clock", expected)
        .with("order_age_ms", milliseconds(now - sentAt))
        .with("born", worker.startTime);
    m_losses.addRestart(RestartNotice::Answer);
    worker.hasAnswered = false;
    queryAgain(worker, now);
    return false;
}

bool Shard::isJustHeard(Worker &worker, Base::Instant now)
{
    if (now - worker.lastAnswer <= RecentAnswerTime) {
        return true;
    }
    if (!worker.probedAt || now - *worker.probedAt > ProbeInterval) {
        worker.probedAt = now;
        worker.isRenewalPending = false;
        worker.nextRenewal = now;
    }
    return false;
}

// Without waiting for the answer to a query of the former incarnation, which may never come.
void Shard::queryAgain(Worker &worker, Base::Instant now)
{
    worker.outdatedRenewal = worker.lastRenewal;
    worker.isRenewalPending = false;
    worker.nextRenewal = now;
}

// Orders by the clock of a former incarnation may also be on their way to one that the owner before didn't
// know; they are refused for their token once this owner's first query has arrived.
bool Shard::mayBeUnknownToEarlierOwner(const Worker &worker, const RunList &list, Base::Instant now) const
{
    const bool mayBeOrdered =
        m_hadEarlierOwner && now - m_earlierOwnersRenewUntil <= longestTimeAfterRestart();
    if (worker.startTime != 0 || !mayBeOrdered) {
        return false;
    }
    const auto known = m_loadedIncarnations.find(worker.info.id);
    return known == m_loadedIncarnations.end() || known->second != list.startTime;
}

void Shard::processRunList(
    Worker &worker, OrderToken askedWith, const RunList &list, Base::Instant now, WallTime wall)
{
    // Sent before the latest restart. A list that was asked for with the token raised for the restart is
    // newer: the worker's entry was wrong, or the worker's time of day has been set back.
    if (list.startTime != 0 && list.startTime < worker.startTime && askedWith != worker.token) {
        return;
    }
    if (list.startTime != worker.startTime && worker.startTime != 0 && list.startTime != 0) {
        handleWorkerRestart(worker, list.startTime, RestartNotice::RunList, now);
    }
    if (mayBeUnknownToEarlierOwner(worker, list, now)) {
        worker.mayHoldLongLease = true;
        worker.isFenced = false;
    }
    worker.startTime = list.startTime != 0 ? list.startTime : worker.startTime;
    if (!worker.isFenced && askedWith == worker.token) {
        worker.isFenced = true;
        worker.setLease(now + longestTime(m_settings.leaseLimit), LeaseSource::FirstList, now);
    }
    withdrawCrashes(worker);
    const bool isProbed = worker.probedAt && worker.lastAnswer < *worker.probedAt;
    m_hasChanged = m_hasChanged || !worker.hasAnswered || isProbed || !list.ended.empty();
    worker.hasAnswered = true;
    worker.listedRunsEndBy.reset();
    worker.previousClock = worker.clock;
    worker.clock = list.clock;
    worker.clockReadAt = now;
    worker.lastAnswer = now;
    worker.listedRuns.clear();
    for (const ListedRun &it : list.running) {
        worker.listedRuns.push_back(it.task);
    }
    std::vector<TaskId> listed;
    for (const ListedEnd &it : list.ended) {
        if (it.number > worker.processedCursor) {
            processRunEnd(worker, it, now, wall);
            worker.processedCursor = it.number;
        }
    }
    for (const ListedRun &it : list.running) {
        const auto found = m_jobs.find(it.task.job);
        Task *task = found != m_jobs.end() ? found->second.find(it.task) : nullptr;
        if (task) {
            found->second.hasStarted = true;
        }
        const bool isOurs =
            task && !task->isDone && task->worker == worker.info.id && task->attempt == it.attempt;
        if (!isOurs) {
            strayRunListed(worker, askedWith, list, it, now);
            continue;
        }
        listed.push_back(it.task);
        if (!it.checkpoint.empty()) {
            task->checkpoint = it.checkpoint;
        }
        task->percent = it.percent;
        task->endsBy.reset();
        confirmRun(found->second, it.task, *task);
        if (task->run == RunState::Inherited && task->startRepeats == 0) {
            task->openStart.reset(); // its only start
        }
        if (found->second.state != JobState::Active) {
            if (task->run != RunState::Stopping) {
                orderStop(it.task, *task, now);
            }
            continue;
        }
        if (task->run == RunState::Unanswered || task->run == RunState::Inherited
            || task->run == RunState::Running) {
            task->run = RunState::Running;
            task->confirmedAt = list.clock;
            task->listedSince = task->listedSince.value_or(now);
            if (task->crashes > 0
                && hasRunFor(ProvenRunTime, found->second.spec.stages[it.task.stage], *task, now)) {
                clearSuspicion(found->second, it.task, *task);
            }
        }
    }
    throttleBestEffortRuns(worker, list);
    if (list.ended.size() < MaxEndsInList) {
        resolveUnlistedRuns(worker, askedWith, list, listed, now);
        endUnlistedStrayRuns(worker, askedWith, list);
    }
}

// Best-effort tasks are slowed down before the tail latency of the serving tasks reaches its target, and sped
// up again step by step.
void Shard::throttleBestEffortRuns(Worker &worker, const RunList &list)
{
    double worst = 0; ///< tail latency as a share of its target
    std::vector<const ListedRun *> bestEffortRuns;
    for (const ListedRun &it : list.running) {
        const auto job = m_jobs.find(it.task.job);
        const Stage *stage = job != m_jobs.end() ? job->second.stageOf(it.task) : nullptr;
        if (!stage) {
            continue;
        }
        if (stage->isBestEffort) {
            bestEffortRuns.push_back(&it);
        } else if (stage->tailTarget.count() > 0) {
            worst = std::max(worst, double(it.load) / double(stage->tailTarget.count()));
        }
    }
    std::erase_if(worker.sentPaces, [&worker](const auto &it) { return worker.runs.count(it.first) == 0; });
    if (bestEffortRuns.empty()) {
        worker.bestEffortPercent = Worker::FullPace;
        return;
    }
    // The current pace is unknown if an earlier owner set it or if the order for it got no answer.
    const bool isAllKnown =
        std::all_of(bestEffortRuns.begin(), bestEffortRuns.end(), [&worker](const ListedRun *it) {
            return worker.sentPaces.count(it->task) > 0;
        });
    if (!isAllKnown) {
        worker.bestEffortPercent = std::min(worker.bestEffortPercent, PaceStep);
    } else if (worst > HighTailShare) {
        worker.bestEffortPercent = worst > 1 ? worker.bestEffortPercent / 4 : worker.bestEffortPercent / 2;
    } else if (worst < LowTailShare) {
        worker.bestEffortPercent = std::min(Worker::FullPace, worker.bestEffortPercent + PaceStep);
    }
    for (const ListedRun *it : bestEffortRuns) {
        const auto known = worker.sentPaces.find(it->task);
        if (known == worker.sentPaces.end() || known->second != worker.bestEffortPercent) {
            m_commands.emplace_back(
                PaceRun{worker.info.id, worker.token, it->task, it->attempt, worker.bestEffortPercent});
        }
        worker.sentPaces[it->task] = worker.bestEffortPercent;
    }
}

void Shard::paceAnswered(const PaceRun &order, OrderResult result)
{
    const auto worker = m_workers.find(order.worker);
    if (result == OrderResult::Done || worker == m_workers.end()) {
        return;
    }
    Base::LogLine(Base::LogLevel::Warning, "pace-not-set")
        .with("request", order.task.job)
        .with("task", toString(order.task))
        .with("worker", order.worker)
        .with("percent", order.percent)
        .with("result", toString(result));
    worker->second.sentPaces.erase(order.task);
}

// Handles runs that the worker lists neither as running nor as ended. Answers on two connections may overtake
// each other, so a list that is older than the worker's latest answer about a run is ignored for that run.
void Shard::resolveUnlistedRuns(Worker &worker,
                                OrderToken askedWith,
                                const RunList &list,
                                const std::vector<TaskId> &listed,
                                Base::Instant now)
{
    const auto runs = worker.runs;
    for (const TaskId &it : runs) {
        if (std::find(listed.begin(), listed.end(), it) != listed.end()) {
            continue;
        }
        Job &job = m_jobs[it.job];
        Task &task = *job.find(it);
        switch (task.run) {
        case RunState::None:
        case RunState::Planned:
        case RunState::Starting:
            break;
        case RunState::Running:
            if (list.clock > task.confirmedAt) {
                Base::LogLine(Base::LogLevel::Warning, "run-vanished")
                    .with("request", it.job)
                    .with("task", toString(it))
                    .with("worker", worker.info.id)
                    .with("attempt", task.attempt)
                    .with("clock", list.clock)
                    .with("confirmed_clock", task.confirmedAt)
                    .with("born", list.startTime)
                    .with("asked_with", askedWith);
                endRun(job, it, task);
            }
            break;
        case RunState::Inherited:
            if (askedWith != worker.token) {
                break;
            }
            if (task.openStart && task.openStart->until > now && task.workerStart == worker.startTime) {
                repeatOrStop(job, it, task, now);
            } else {
                endUnlistedRun(job, it, task, now);
            }
            break;
        case RunState::Unanswered:
            if (now - task.orderedAt > m_settings.startAnswerTimeout) {
                m_lateOrderSeenAt = now;
                repeatOrStop(job, it, task, now);
            }
            break;
        case RunState::Stopping:
            if (task.isStopConfirmed && list.clock > task.confirmedAt) {
                endUnlistedRun(job, it, task, now);
            }
            break;
        }
    }
}

void Shard::renewAnswered(
    const RenewLease &order, OrderResult result, const RunList &list, Base::Instant now, WallTime wall)
{
    const auto it = m_workers.find(order.worker);
    if (it == m_workers.end()) {
        return;
    }
    Worker &worker = it->second;
    const bool isLatest = order.number == worker.lastRenewal;
    worker.isRenewalPending = worker.isRenewalPending && !isLatest;
    if (result == OrderResult::Fenced && order.token == worker.token) {
        m_commands.emplace_back(RelinquishShard{"a worker has a newer owner"});
        return;
    }
    const bool isOutdated = order.number <= worker.outdatedRenewal
        && (result != OrderResult::Done || list.startTime == worker.startTime);
    if (isOutdated) {
        return;
    }
    if (result != OrderResult::Done) {
        if (++worker.consecutiveRenewalFailures == 1) {
            const UnconfirmedRuns unconfirmed = unconfirmedRuns(worker, now);
            Base::LogLine(Base::LogLevel::Warning, "worker-lost")
                .with("worker", worker.info.id)
                .with("runs", worker.runs.size())
                .with("stray_runs", worker.strayRuns.size())
                .with("lease_ms", milliseconds(worker.leaseExpiresBy - now))
                .with("unconfirmed_runs", unconfirmed.runs)
                .with("unconfirmed_wait_ms", unconfirmed.longestWait.count())
                .with("result", toString(result));
        }
        worker.nextRenewal = now + RetryDelay;
        return;
    }
    if (worker.consecutiveRenewalFailures > 0) {
        Base::LogLine(Base::LogLevel::Info, "worker-regained").with("worker", worker.info.id);
        worker.consecutiveRenewalFailures = 0;
        m_hasChanged = true;
    }
    if (list.startTime == worker.startTime) {
        worker.acknowledgedCursor = std::max(worker.acknowledgedCursor, order.ackCursor);
    }
    processRunList(worker, order.token, list, now, wall);
    worker.nextRenewal = worker.processedCursor > worker.ackCursor ? now + UnstoredEndsDelay : now;
}

Milliseconds Shard::longestTimeAfterRestart() const
{
    return m_settings.maxOrderDelay + longestTime(m_settings.leaseLimit);
}

// A worker that has restarted grants the longest lease, as the end of the lease lies far ahead on its clock.
// One that answers nothing has carried an order out at once or not at all, unless orders to workers that
// answer are late, too.
Base::Instant Shard::endOf(const Worker &worker, bool isLongRunning, const Task &run) const
{
    if (run.endsBy) {
        return *run.endsBy;
    }
    if (run.isConfirmed && !worker.mayCarryOutStart(run)) {
        return worker.leaseExpiresBy;
    }
    const bool areOrdersLate =
        m_lateOrderSeenAt && worker.lastLeaseOrder - *m_lateOrderSeenAt <= longestTimeAfterRestart();
    const bool mayWait = areOrdersLate && !isLongRunning;
    const Milliseconds longest =
        mayWait ? longestTimeAfterRestart() : m_settings.orderTimeout + longestTime(m_settings.leaseLimit);
    return std::max<Base::Instant>(worker.leaseExpiresBy, worker.lastLeaseOrder + longest);
}

Milliseconds Shard::longestTime(Milliseconds lease)
{
    return lease + lease * ClockDriftPerCent / 100 + LeaseMargin;
}

std::int64_t Shard::leaseEnd(Worker &worker, Base::Instant now) const
{
    const auto sinceRead = std::chrono::duration_cast<Milliseconds>(now - worker.clockReadAt);
    if (const Base::Instant until = now + longestTime(m_settings.lease); until >= worker.leaseExpiresBy) {
        worker.setLease(until, LeaseSource::Order, now);
    }
    worker.lastLeaseOrder = now;
    worker.clockAge = sinceRead;
    worker.orderedLeaseEnd = worker.clock + (sinceRead + m_settings.lease).count();
    return worker.orderedLeaseEnd;
}

// The lease of a worker that stopped answering is not renewed until it answers again, so that the time by
// which its runs have ended is known.
void Shard::sendRenewals(Base::Instant now)
{
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        Worker &worker = it->second;
        if (!worker.isListed && !worker.hasRuns() && !worker.isRenewalPending
            && std::max<Base::Instant>(worker.leaseExpiresBy,
                                       worker.lastLeaseOrder + longestTimeAfterRestart())
                <= now) {
            it = m_workers.erase(it);
            continue;
        }
        if (!worker.isRenewalPending && worker.nextRenewal <= now && worker.isQueried()) {
            RenewLease ask;
            ask.worker = worker.info.id;
            ask.token = worker.token;
            ask.number = ++worker.lastRenewal;
            const bool mayRenew = worker.hasAnswered && worker.consecutiveRenewalFailures == 0
                && (!worker.isLeaseRecorded || m_isOwnerRecordStored);
            if (mayRenew) {
                ask.leaseEnd = leaseEnd(worker, now);
                // Not again what it has removed: after a restart its ends are numbered from the beginning.
                ask.ackCursor = worker.ackCursor > worker.acknowledgedCursor ? worker.ackCursor : 0;
                const bool isProbe = worker.probedAt == now;
                ask.longPollTime = isProbe ? Milliseconds::zero()
                    : worker.hasRuns()     ? m_settings.renewal
                                           : Worker::LongestQuery;
            }
            worker.isRenewalPending = true;
            worker.askedAtClock = worker.clock + milliseconds(now - worker.clockReadAt);
            m_commands.emplace_back(std::move(ask));
        }
        ++it;
    }
}

} // namespace Jobs
