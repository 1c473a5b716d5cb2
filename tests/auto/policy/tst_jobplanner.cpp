#include "jobsimulation.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using Policy::JobEnded;
using Policy::JobEvent;
using Policy::JobId;
using Policy::JobMemory;
using Policy::JobObservations;
using Policy::JobPlanResult;
using Policy::JobRefused;
using Policy::JobResult;
using Policy::JobSize;
using Policy::JobSpec;
using Policy::JobStarted;
using Policy::JobStopRequested;
using Policy::JobTable;
using Policy::JobThrottled;
using Policy::StopMode;
using Policy::TaskPhase;
using Policy::WorkerReport;

namespace
{

constexpr std::uint64_t Seeds = 8;
constexpr int MaxUrgentStartMilliseconds = 9100;

template<typename EventType>
const EventType *firstOf(const JobPlanResult &pass)
{
    for (const JobEvent &it : pass.events) {
        if (const auto *found = std::get_if<EventType>(&it)) {
            return found;
        }
    }
    return nullptr;
}

JobSpec specOf(std::string_view id, Document::Priority priority, double cores)
{
    JobSpec spec;
    spec.id = {std::string(id)};
    spec.team = {"t0"};
    spec.kind = {"font"};
    spec.priority = priority;
    spec.declared = {cores, cores, 0};
    spec.isIdempotent = true;
    return spec;
}

} // namespace

TEST_GROUP(JobPlanner)
{
    JobTable table;
    JobObservations observations;
    JobMemory memory;

    void setup() override
    {
        for (const auto *it : {"w0", "w1", "w2", "w3"}) {
            observations.workers.push_back({{it}, true, {16, 32, 0}, {16, 32, 0}});
        }
        observations.quotas = {{{"t0"}, 32}};
    }

    JobPlanResult pass(int seconds)
    {
        observations.at = Base::instantAt(std::chrono::seconds(seconds));
        JobPlanResult it = Policy::planJobs(table, observations, memory);
        memory = it.memory;
        for (const JobEvent &event : it.events) {
            table.apply(event);
        }
        observations.submissions.clear();
        observations.cancellations.clear();
        observations.tasks.clear();
        return it;
    }

    void report(const JobId &job, TaskPhase phase, JobSize used = {}, std::optional<std::uint64_t> saved = {})
    {
        observations.tasks.push_back({job, table.open.at(job).attempt, phase, used, saved, "exit status 1"});
    }
};

TEST(JobPlanner, AJobThatFitsNoWorkerIsRefusedImmediately)
{
    observations.submissions = {specOf("j", Document::Priority::Batch, 17)};
    const JobPlanResult it = pass(1);
    CHECK_EQUAL(1, it.events.size());
    STRCMP_CONTAINS("no worker could ever hold 17.0 cores", firstOf<JobRefused>(it)->reason.c_str());
    observations.submissions = {specOf("k", Document::Priority::Urgent, 16)};
    observations.quotas.front().cores = 8;
    STRCMP_CONTAINS("more than the quota of t0", firstOf<JobRefused>(pass(2))->reason.c_str());
}

TEST(JobPlanner, AJobSubmittedTwiceIsAcceptedOnce)
{
    const JobSpec spec = specOf("j", Document::Priority::Batch, 4);
    observations.submissions = {spec, spec};
    CHECK_EQUAL(2, pass(1).events.size());
    report(spec.id, TaskPhase::Completed);
    pass(2);
    observations.submissions = {spec};
    CHECK(pass(3).events.empty());
}

TEST(JobPlanner, TheSameArgumentsGiveTheSamePass)
{
    observations.submissions = {specOf("a", Document::Priority::Batch, 4),
                                specOf("b", Document::Priority::Urgent, 4)};
    CHECK(Policy::planJobs(table, observations, memory) == Policy::planJobs(table, observations, memory));
}

TEST(JobPlanner, AJobThatIsNotIdempotentIsNotStartedTwice)
{
    JobSpec spec = specOf("proof", Document::Priority::Batch, 4);
    spec.isIdempotent = false;
    observations.submissions = {spec};
    pass(1);
    observations.workers.front().isLive = false;
    const JobPlanResult it = pass(2);
    CHECK_EQUAL(1, it.events.size());
    CHECK(firstOf<JobEnded>(it)->result == JobResult::Lost);
    CHECK(firstOf<JobEnded>(it)->verdict == Base::Verdict::MayHaveRun);
}

TEST(JobPlanner, AnAttemptThatNeverStartedIsRepeatedAndItsCancellationIsNotRun)
{
    JobSpec spec = specOf("proof", Document::Priority::Batch, 4);
    spec.isIdempotent = false;
    observations.submissions = {spec};
    pass(1);
    report(spec.id, TaskPhase::Refused);
    CHECK(firstOf<JobStarted>(pass(2))->worker != Base::InstanceName{"w0"});
    report(spec.id, TaskPhase::Refused);
    for (WorkerReport &it : observations.workers) {
        it.forJobs = {};
    }
    pass(3);
    observations.cancellations = {spec.id};
    CHECK(firstOf<JobEnded>(pass(4))->verdict == Base::Verdict::NotRun);
}

TEST(JobPlanner, AJobThatFailsOnSeveralHealthyWorkersEndsWithItsReason)
{
    const JobSpec spec = specOf("j", Document::Priority::Batch, 4);
    observations.submissions = {spec};
    pass(1);
    for (int n = 2; n < 4; ++n) {
        report(spec.id, TaskPhase::Failed);
        CHECK(firstOf<JobEnded>(pass(n)) == nullptr);
    }
    report(spec.id, TaskPhase::Failed);
    const JobPlanResult it = pass(4);
    STRCMP_CONTAINS("failed on 3 healthy workers", firstOf<JobEnded>(it)->reason.c_str());
    CHECK(table.failures.empty());
}

TEST(JobPlanner, UrgentJobsThrottleBatchImmediatelyIfOnlyCoresAreMissing)
{
    observations.workers.resize(1);
    JobSpec batch = specOf("batch", Document::Priority::Batch, 14);
    batch.isIdempotent = false;
    observations.submissions = {batch};
    pass(1);
    observations.submissions = {specOf("urgent", Document::Priority::Urgent, 8)};
    const JobPlanResult it = pass(2);
    CHECK(firstOf<JobThrottled>(it)->job == batch.id);
    CHECK(firstOf<JobStarted>(it) != nullptr);
}

TEST(JobPlanner, UrgentJobsStopBatchWithACheckpointAndKillItAfterATimeout)
{
    observations.workers.resize(1);
    JobSpec batch = specOf("batch", Document::Priority::Batch, 14);
    batch.declared.memory = 30;
    batch.canCheckpoint = true;
    observations.submissions = {batch};
    pass(1);
    observations.submissions = {specOf("urgent", Document::Priority::Urgent, 8)};
    CHECK(firstOf<JobStopRequested>(pass(2))->mode == StopMode::Checkpoint);
    CHECK(firstOf<JobStopRequested>(pass(5)) == nullptr);
    CHECK(firstOf<JobStopRequested>(pass(6))->mode == StopMode::Kill);
    report(batch.id, TaskPhase::Stopped);
    CHECK(firstOf<JobStarted>(pass(7))->job == JobId{"urgent"});
}

TEST(JobPlanner, LearnedSizesGainWeightWithTheNumberOfJobs)
{
    const JobSpec spec = specOf("j", Document::Priority::Batch, 8);
    DOUBLES_EQUAL(8, Policy::expectedSize(memory.sizes, spec).cores, 0.001);
    double last = 8;
    for (int n = 0; n < 40; ++n) {
        Policy::learnSize(memory.sizes, spec, {2, 2, 0});
        const double expected = Policy::expectedSize(memory.sizes, spec).cores;
        CHECK(expected >= 2);
        CHECK(n < 2 || expected < last);
        last = expected;
    }
    CHECK(last < 4);
}

TEST(JobPlanner, DecidesNothingWhileThePlatformIsUnreachable)
{
    observations.isPlatformReachable = false;
    observations.submissions = {specOf("j", Document::Priority::Urgent, 4)};
    CHECK(pass(1).events.empty());
}

TEST(JobPlanner, KeepsJobGuaranteesInSimulationsWhereTheBaselineViolatesThem)
{
    std::size_t baselineDoubled = 0;
    std::size_t policyAttempts = 0;
    std::size_t baselineAttempts = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const std::string seedText = fmt::format("seed {}", seed);
        const JobOutcome policy = simulateJobs(seed, Policy::planJobs);
        CHECK_EQUAL_TEXT(0, policy.unsafeRestarts, seedText.c_str());
        CHECK_EQUAL_TEXT(0, policy.falseNotRun, seedText.c_str());
        CHECK_EQUAL_TEXT(0, policy.open, seedText.c_str());
        CHECK_EQUAL_TEXT(policy.submitted,
                         policy.completed + policy.failed + policy.lost + policy.cancelled + policy.refused,
                         seedText.c_str());
        CHECK_TEXT(policy.maxUrgentStartMilliseconds <= MaxUrgentStartMilliseconds, seedText.c_str());
        const JobOutcome baseline = simulateJobs(seed, planFirstComeFirstServed);
        baselineDoubled += baseline.unsafeRestarts;
        policyAttempts += policy.attempts;
        baselineAttempts += baseline.attempts;
        CHECK_TEXT(baseline.open > 0, seedText.c_str());
    }
    CHECK(baselineDoubled > 0);
    CHECK(policyAttempts < baselineAttempts);
}
