#include "simulatedplatform.h"

#include <jobs/jobrecord.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

TEST_GROUP(JobRecord){};

TEST(JobRecord, SpecificationRoundTrip)
{
    auto spec = SimulatedPlatform::makeJob("0123456789abcdef", 3, 2);
    spec.payload = "sheet \"7\"";
    spec.workspace = "w \"1\"";
    spec.isExcess = true;
    spec.queue.advice = Jobs::AdvicePolicy{30ms, 4ms};
    spec.firstDue = Jobs::WallTime(5000ms);
    spec.interval = 2s;
    spec.occurrences = 3;
    Jobs::Stage &stage = spec.stages[1];
    stage.size.accelerators = 1;
    stage.canCheckpoint = stage.isGang = stage.isRackSensitive = stage.isSpeculative = true;
    stage.isLongRunning = stage.isBestEffort = true;
    stage.requiredLabel = "a";
    stage.dataRack = "r1";
    stage.image = "font";
    stage.tasksPerWorker = 2;
    stage.tailTarget = 40ms;
    stage.maxUnavailable = 1;
    const auto job = Jobs::decodeSpec(Jobs::encodeSpec(spec, Jobs::WallTime(77ms)));
    CHECK(job.has_value());
    CHECK(job->spec == spec);
    CHECK(job->acceptedAt == Jobs::WallTime(77ms));
}

TEST(JobRecord, ProgressRoundTripKeepsAssignedRuns)
{
    Jobs::Job job;
    job.spec = SimulatedPlatform::makeJob("a", 1, 3);
    auto &tasks = job.addOccurrence(0).stages[0].allTasks();
    tasks[0].isDone = true;
    tasks[1].run = Jobs::RunState::Running;
    tasks[1].worker = "w1";
    tasks[1].attempt = 2;
    tasks[1].failures = 1;
    tasks[2].checkpoint = "half";
    job.hasStarted = true;
    Jobs::Job read;
    read.spec = job.spec;
    CHECK(Jobs::decodeProgress(Jobs::encodeProgress(job), read));
    const auto &copies = read.occurrences[0].stages[0].tasks;
    CHECK(copies[0].isDone);
    CHECK(copies[1].run == Jobs::RunState::Inherited);
    STRCMP_EQUAL("w1", copies[1].worker.c_str());
    LONGS_EQUAL(2, copies[1].attempt);
    LONGS_EQUAL(1, copies[1].failures);
    STRCMP_EQUAL("half", copies[2].checkpoint.c_str());
    CHECK(copies[2].isWaiting());
    CHECK(read.hasStarted);
}

// Guards against counting an attempt of a gang again after a change of owner.
TEST(JobRecord, ProgressRoundTripKeepsTheFailedAttemptOfAGang)
{
    Jobs::Job job;
    job.spec = SimulatedPlatform::makeJob("a", 1, 2);
    job.spec.stages[0].isGang = true;
    Jobs::Task &first = job.addOccurrence(0).stages[0].allTasks()[0];
    first.attempt = 2;
    first.failures = 1;
    first.failedAttempt = 2;
    Jobs::Job read;
    read.spec = job.spec;
    CHECK(Jobs::decodeProgress(Jobs::encodeProgress(job), read));
    const Jobs::Task &copy = read.occurrences[0].stages[0].tasks[0];
    LONGS_EQUAL(2, copy.failedAttempt);
    LONGS_EQUAL(1, copy.failures);
    CHECK(copy.isWaiting());
    CHECK(copy.checkpoint.empty());
}

// Guards against starting a task that crashes its workers again and again, once by each owner.
TEST(JobRecord, ProgressRoundTripKeepsCrashes)
{
    Jobs::Job job;
    job.spec = SimulatedPlatform::makeJob("a", 1, 3);
    auto &tasks = job.addOccurrence(0).stages[0].allTasks();
    tasks[0].crashes = 2;
    tasks[1].crashes = 1;
    tasks[1].run = Jobs::RunState::Running;
    tasks[1].worker = "w1";
    tasks[1].workerStart = 1'796'442'164'100;
    tasks[2].crashes = 1;
    tasks[2].isDone = true;
    Jobs::Job read;
    read.spec = job.spec;
    CHECK(Jobs::decodeProgress(Jobs::encodeProgress(job), read));
    const auto &copies = read.occurrences[0].stages[0].tasks;
    LONGS_EQUAL(2, copies[0].crashes);
    CHECK(copies[0].isWaiting());
    LONGS_EQUAL(1, copies[1].crashes);
    CHECK_EQUAL(1'796'442'164'100, copies[1].workerStart);
    CHECK(copies[1].run == Jobs::RunState::Inherited);
    LONGS_EQUAL(0, copies[2].crashes);
}

// Builds without the field read the first five elements of a task and ignore what follows; what they write
// ends after those.
TEST(JobRecord, TasksWrittenByBuildsWithoutTheFailedAttemptAreRead)
{
    Jobs::Job job;
    job.spec = SimulatedPlatform::makeJob("a", 1, 2);
    const char *written =
        R"({"state":0,"done":0,"started":true,"next":1,"tasks":{"0":[[[0,2,1],[0,3,0,"w1","half"]]]}})";
    CHECK(Jobs::decodeProgress(written, job));
    const auto &tasks = job.occurrences[0].stages[0].tasks;
    LONGS_EQUAL(1, tasks[0].failures);
    LONGS_EQUAL(0, tasks[0].failedAttempt);
    STRCMP_EQUAL("w1", tasks[1].worker.c_str());
    STRCMP_EQUAL("half", tasks[1].checkpoint.c_str());
}

TEST(JobRecord, InvalidRecordsAreRejected)
{
    CHECK(!Jobs::decodeSpec("{\"id\":7}"));
    CHECK(!Jobs::decodeSpec("\xff\x01"));
    Jobs::Job job;
    job.spec = SimulatedPlatform::makeJob("a", 1, 3);
    CHECK(!Jobs::decodeProgress("{\"state\":0,\"done\":0,\"next\":1,\"tasks\":{\"0\":[]}}", job));
    CHECK(!Jobs::decodeProgress("[]", job));
}

TEST(JobRecord, LeasesRoundTrip)
{
    const Jobs::LeaseTimes leases{{"w1", 0ms}, {"w \"2\"", 23'600ms}};
    CHECK(Jobs::decodeLeases(Jobs::encodeLeases(leases)) == leases);
    for (const char *it : {"", "[]", "{\"w\":\"1\"}", "{\"w\":-1}", "{\"w\":9223372036854775807}", "\xff"}) {
        CHECK(!Jobs::decodeLeases(it));
    }
}

TEST(JobRecord, TaskIdRoundTrip)
{
    const Jobs::TaskId task{"5c0e7a21d94b36f8", 0, 1, 17};
    STRCMP_EQUAL("5c0e7a21d94b36f8.0.1.17", Jobs::toString(task).c_str());
    CHECK(Jobs::taskIdFromString("5c0e7a21d94b36f8.0.1.17") == task);
    CHECK(!Jobs::taskIdFromString("5c0e7a21d94b36f8.0.1"));
    CHECK(!Jobs::taskIdFromString("a.0.x.1"));
}
