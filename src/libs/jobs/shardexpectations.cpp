#include "shard.h"

#include <base/logline.h>

#include <algorithm>
#include <cstdlib>

namespace Jobs
{

namespace
{

constexpr Milliseconds ExpectationsPeriod{500};
constexpr Milliseconds RunTimesRecordPeriod{5000};

// A query that was answered later has waited for an end; others may list an end from some time before.
constexpr Milliseconds UsualAnswerTime{20};

// The worker's clock and this owner's may differ by this in the time of a run, or by this share of it. Beyond
// that a clock has been set, or the worker was frozen.
constexpr Milliseconds ClockTolerance{300};
constexpr int ToleranceDivisor = 4;

// Of runs that take as long or longer than now, half end by then.
constexpr double Median = 0.5;

// Task::percent says nothing here: only best-effort tasks are paced, and workers list another figure for
// tasks that end by themselves.
bool isUsualRun(const Stage &stage, const Task &task, const Worker &worker)
{
    const bool isNearData = stage.dataRack.empty() || stage.dataRack == worker.info.rack;
    return !stage.isLongRunning && !stage.isBestEffort && !stage.isGang && isNearData
        && task.run == RunState::Running && task.startClock != 0 && task.crashes == 0;
}

} // namespace

const RunTimes &Shard::runTimes() const
{
    return m_runTimes;
}

// Neither the start nor the end is listed with its time. The start was answered at once, and a query that
// waited is answered at the end. Otherwise the run has ended at any time since the list before.
void Shard::learnRunTime(
    Job &job, const TaskId &id, const Task &task, const Worker &worker, Base::Instant now)
{
    const Stage &stage = job.spec.stages[id.stage];
    if (!m_settings.learnsRunTimes || !isUsualRun(stage, task, worker) || worker.previousClock == 0) {
        return;
    }
    const bool hasWaited = worker.clock - worker.askedAtClock > UsualAnswerTime.count();
    const std::int64_t earliest = hasWaited ? worker.clock : std::max(worker.previousClock, task.startClock);
    const Milliseconds taken{(earliest + worker.clock) / 2 - task.startClock};
    const auto seen = std::chrono::duration_cast<Milliseconds>(now - task.orderedAt);
    if (taken <= Milliseconds{}
        || std::chrono::abs(seen - taken) > ClockTolerance + seen / ToleranceDivisor) {
        return;
    }
    Occurrence &occurrence = job.occurrences.at(id.occurrence);
    StageTimes &times = occurrence.stages[id.stage].times;
    m_runTimes.add(job.spec.queue.name, stage, taken, times, now);
    times.add(taken);
    updateExpectations(job, occurrence);
}

void Shard::updateExpectations(Job &job, Occurrence &occurrence) const
{
    if (!m_settings.learnsRunTimes) {
        return;
    }
    for (std::size_t n = 0; n < occurrence.stages.size(); ++n) {
        StageProgress &progress = occurrence.stages[n];
        Expectation expectation;
        if (m_runTimes.expect(job.spec.queue.name, job.spec.stages[n], progress.times, expectation)) {
            progress.expectation = expectation;
        } else {
            progress.expectation.reset();
        }
    }
}

void Shard::updateExpectations(Base::Instant now)
{
    if (m_nextExpectations > now || m_expectedRevision == m_runTimes.revision()) {
        return;
    }
    m_nextExpectations = now + ExpectationsPeriod;
    m_expectedRevision = m_runTimes.revision();
    for (Job *job : m_active) {
        for (auto &[number, occurrence] : job->occurrences) {
            updateExpectations(*job, occurrence);
        }
    }
}

Milliseconds Shard::expectedRest(const Job &job,
                                 const Occurrence &occurrence,
                                 std::uint32_t stage,
                                 Milliseconds elapsed) const
{
    const Milliseconds expected = job.expectedTime(occurrence, stage);
    if (!occurrence.stages[stage].expectation) {
        return expected - elapsed;
    }
    return m_runTimes.rest(job.spec.queue.name, job.spec.stages[stage], expected, elapsed, Median);
}

void Shard::loadRunTimes(Base::Instant now)
{
    if (m_settings.learnsRunTimes && !m_loadedRunTimes.empty() && !m_runTimes.decode(m_loadedRunTimes, now)) {
        Base::LogLine(Base::LogLevel::Warning, "record-unreadable").with("key", RunTimes::Key);
    }
    m_loadedRunTimes.clear();
    m_recordedRevision = m_runTimes.revision();
    m_nextRunTimesRecord = now + RunTimesRecordPeriod;
}

std::optional<Record> Shard::changedRunTimes(Base::Instant now)
{
    if (m_nextRunTimesRecord > now || m_recordedRevision == m_runTimes.revision()) {
        return std::nullopt;
    }
    m_nextRunTimesRecord = now + RunTimesRecordPeriod;
    m_recordedRevision = m_runTimes.revision();
    return Record{std::string(RunTimes::Key), m_runTimes.encode()};
}

void Shard::logRunTimes() const
{
    m_runTimes.forEach([this](std::string_view queue, std::string_view image, const RunTimeModel &model) {
        Base::LogLine(Base::LogLevel::Info, "run-times")
            .with("queue", queue)
            .with("image", image)
            .with("epoch", m_epoch)
            .with("runs", model.knownRuns())
            .with("declared_error", model.declaredError())
            .with("learned_error", model.learnedError())
            .with("sibling_error", model.siblingError())
            .with("learned_used", model.isTrusted())
            .with("siblings_used", model.areSiblingsTrusted());
    });
}

} // namespace Jobs
