#include "simulatedplatform.h"

#include <base/logline.h>
#include <jobservice/joblocator.h>

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using JobService::JobReply;
using JobService::JobRequest;
using JobService::Operation;
using JobService::ReportedState;
using Status = JobService::JobReply::Status;

// A queue gets another service while its jobs wait, run or have ended. They were looked for in the shards of
// the new service only: their states were not found, and a repeated submission ran them again.

namespace
{

constexpr JobService::ShardNumber Shards = 3; // of "sign", of "proof", and one without a service

void addFleet(SimulatedPlatform &world)
{
    for (int n = 0; n < 3; ++n) {
        world.addWorker("sign" + std::to_string(n));
        world.addWorker("proof" + std::to_string(n)).info.service = "proof";
    }
    world.addMember("m1");
    world.addMember("m2");
    world.run(2s);
}

JobService::ShardNumber homeOf(const std::string &service)
{
    return service == "sign" ? 0 : 1;
}

/// The reply to a request that reaches the queue while it has this service.
std::optional<JobReply> askWith(SimulatedPlatform &world, const std::string &service, JobRequest request)
{
    const auto answer = std::make_shared<std::optional<JobReply>>();
    request.shard = homeOf(service);
    if (request.operation == Operation::Submit) {
        request.spec->queue.service = service;
        world.submitted.try_emplace(request.spec->id, *request.spec);
    }
    world.ask(request, [answer](const JobReply &reply) { *answer = reply; });
    for (int n = 0; n < 40 && !*answer; ++n) {
        world.run(50ms);
    }
    return *answer;
}

std::optional<JobReply>
submitWith(SimulatedPlatform &world, const std::string &service, const std::string &id)
{
    JobRequest request{.operation = Operation::Submit, .spec = SimulatedPlatform::makeJob(id, 1, 2)};
    request.spec->queue.name = "sheets";
    request.queuePath = "host/sheets/";
    return askWith(world, service, std::move(request));
}

std::optional<JobReply>
askWith(SimulatedPlatform &world, const std::string &service, Operation operation, const std::string &id)
{
    return askWith(world, service, JobRequest{.operation = operation, .subject = id});
}

Status statusOf(const std::optional<JobReply> &reply)
{
    return reply ? reply->status : Status::Unknown;
}

void checkRunsOnce(SimulatedPlatform &world, const std::string &id)
{
    for (std::uint32_t n = 0; n < 2; ++n) {
        const Jobs::TaskId task{id, 0, 0, n};
        LONGS_EQUAL(1, world.startedRuns[task]);
    }
    for (const std::string &it : world.violations) {
        FAIL(it.c_str());
    }
}

/// Sends a submission whose reply nobody waits for.
std::shared_ptr<std::optional<JobReply>>
sendSubmission(SimulatedPlatform &world, const std::string &service, const std::string &id)
{
    JobRequest request{.operation = Operation::Submit, .spec = SimulatedPlatform::makeJob(id, 1, 2)};
    request.shard = homeOf(service);
    request.spec->queue.name = "sheets";
    request.spec->workspace = "w";
    request.spec->queue.service = service;
    request.queuePath = "host/sheets/";
    world.submitted.try_emplace(id, *request.spec);
    auto answer = std::make_shared<std::optional<JobReply>>();
    world.ask(request, [answer](const JobReply &reply) { *answer = reply; });
    return answer;
}

/// A job of the queue's earlier service whose append has got no answer; it is carried out after `delay`.
void submitUnstored(SimulatedPlatform &world, const std::string &id, std::chrono::milliseconds delay)
{
    CHECK(statusOf(submitWith(world, "sign", "known")) == Status::Done);
    CHECK(world.owner(homeOf("sign")) != world.owner(homeOf("proof")));
    world.owner(homeOf("sign"))->platform.appendDelay = delay;
    sendSubmission(world, "sign", id);
    world.run(300ms);
}

int startsOf(const SimulatedPlatform &world, const std::string &id)
{
    int n = 0;
    for (const auto &[task, starts] : world.startedRuns) {
        n += task.job == id ? starts : 0;
    }
    return n;
}

void restartAll(SimulatedPlatform &world)
{
    world.kill("m1");
    world.kill("m2");
    world.addMember("m3");
    world.addMember("m4");
    world.run(6s);
}

} // namespace

TEST_GROUP(QueueChange){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(QueueChange, ARepeatedSubmissionDoesNotRunTheJobAgain)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    world.taskTime = 8s;
    CHECK(statusOf(submitWith(world, "sign", "j")) == Status::Done);
    world.run(1s);
    CHECK(statusOf(submitWith(world, "proof", "j")) == Status::Done);
    world.run(10s);
    CHECK(statusOf(submitWith(world, "proof", "j")) == Status::Done);
    world.run(10s);
    checkRunsOnce(world, "j");
}

TEST(QueueChange, ARepeatedSubmissionDoesNotRunTheJobAgainAfterARestartOfAllMembers)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    world.taskTime = 20s;
    CHECK(statusOf(submitWith(world, "sign", "j")) == Status::Done);
    world.run(1s);
    restartAll(world);
    CHECK(statusOf(submitWith(world, "proof", "j")) == Status::Done);
    world.run(20s);
    checkRunsOnce(world, "j");
}

TEST(QueueChange, AnAcceptedJobIsShownAndCancelled)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    world.taskTime = 60s;
    CHECK(statusOf(submitWith(world, "sign", "j")) == Status::Done);
    world.run(1s);
    restartAll(world);
    const auto state = askWith(world, "proof", Operation::State, "j");
    CHECK(statusOf(state) == Status::Done);
    CHECK(state->state == ReportedState::Running);
    CHECK(statusOf(askWith(world, "proof", Operation::Cancel, "j")) == Status::Done);
    world.run(2s);
    CHECK_EQUAL(0, world.runsOf("j"));
    CHECK(askWith(world, "sign", Operation::State, "j")->state == ReportedState::Cancelled);
    CHECK(askWith(world, "proof", Operation::State, "j")->state == ReportedState::Cancelled);
}

TEST(QueueChange, AJobIsFoundAfterTheQueueHasComeBack)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    world.taskTime = 30s;
    CHECK(statusOf(submitWith(world, "sign", "a")) == Status::Done);
    CHECK(statusOf(submitWith(world, "proof", "b")) == Status::Done);
    world.run(1s);
    CHECK(statusOf(submitWith(world, "sign", "b")) == Status::Done);
    CHECK(askWith(world, "sign", Operation::State, "b")->state == ReportedState::Running);
    world.run(1s);
    checkRunsOnce(world, "a");
    checkRunsOnce(world, "b");
}

// "No such job" and a start are only right if no shard has the job.
TEST(QueueChange, WithoutAnOwnerOfTheEarlierShardRequestsAreNotDone)
{
    for (const Operation it : {Operation::Submit, Operation::State, Operation::Cancel}) {
        SimulatedPlatform world(1, Shards);
        addFleet(world);
        world.taskTime = 30s;
        CHECK(statusOf(submitWith(world, "sign", "j")) == Status::Done);
        CHECK(statusOf(submitWith(world, "proof", "other")) == Status::Done);
        world.run(1s);
        const std::string there = world.owner(homeOf("sign"))->name;
        CHECK(there != world.owner(homeOf("proof"))->name);
        world.kill(there);
        const auto ask = [&] {
            return statusOf(it == Operation::Submit ? submitWith(world, "proof", "j")
                                                    : askWith(world, "proof", it, "j"));
        };
        // A refusal of a submission would say that the job never runs.
        CHECK(ask() == (it == Operation::Submit ? Status::Unknown : Status::Refused));
        world.run(6s);
        CHECK(ask() == Status::Done);
        world.run(1s);
        checkRunsOnce(world, "j");
    }
}

TEST(QueueChange, AJobThatNoShardHasIsNotFound)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    CHECK(statusOf(askWith(world, "proof", Operation::State, "j")) == Status::NoSuchJob);
    CHECK(statusOf(askWith(world, "proof", Operation::Cancel, "j")) == Status::NoSuchJob);
}

// The services of a queue are stored before its first job, so nothing is accepted without the store.
TEST(QueueChange, AJobOfANewQueueIsRefusedWhileItsServiceCannotBeStored)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    world.owner(0)->platform.rejectsConditionalAppends = true;
    CHECK(statusOf(submitWith(world, "sign", "j")) == Status::Refused);
    world.owner(0)->platform.rejectsConditionalAppends = false;
    CHECK(statusOf(submitWith(world, "sign", "j")) == Status::Done);
}

// The first job of a queue was refused for up to five seconds, as an owner that hadn't seen the latest record
// appended at an outdated position again and again.
TEST(QueueChange, TheServiceOfAQueueIsStoredAlthoughTheLatestRecordWasMissed)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    world.run(6s);
    world.owner(homeOf("proof"))->platform.missesNewRecords = true;
    world.run(5s); // until its next read waits
    CHECK(statusOf(submitWith(world, "sign", "j")) == Status::Done);
    JobRequest request{.operation = Operation::Submit, .spec = SimulatedPlatform::makeJob("k", 1, 2)};
    request.spec->queue.name = "others";
    request.queuePath = "host/others/";
    CHECK(statusOf(askWith(world, "proof", std::move(request))) == Status::Done);
}

// Members of earlier builds store no services and send no path.
TEST(QueueChange, AnAcceptedJobIsShownWithAnEarlierBuildBeside)
{
    for (const bool isOldShardOfEarlierBuild : {false, true}) {
        SimulatedPlatform world(1, Shards);
        addFleet(world);
        SimulatedPlatform::Member &earlier =
            *world.owner(homeOf(isOldShardOfEarlierBuild ? "sign" : "proof"));
        earlier.platform.isEarlierBuild = true;
        earlier.host.setQueueHistory(nullptr);
        world.taskTime = 60s;
        CHECK(statusOf(submitWith(world, "sign", "j")) == Status::Done);
        world.run(1s);
        if (!isOldShardOfEarlierBuild) {
            world.kill(earlier.name);
            world.run(6s);
        }
        CHECK(statusOf(askWith(world, "proof", Operation::State, "j")) == Status::Done);
        checkRunsOnce(world, "j");
    }
}

TEST(QueueChange, TheFirstShardThatHasTheJobDecides)
{
    std::map<JobService::ShardNumber, std::function<void(JobReply)>> asked;
    const JobService::JobLocator locator([&](const JobRequest &request, Base::Duration, const auto &reply) {
        CHECK(request.operation == Operation::State && request.isForwardedByHome);
        asked[request.shard] = reply;
    });
    std::vector<JobService::JobLocation> located;
    const auto keep = [&located](const JobService::JobLocation &it) {
        located.push_back(it);
    };
    locator.locate("j", {1, 2, 3}, keep);
    asked[2]({.status = Status::NoSuchJob});
    CHECK(located.empty());
    asked[3]({.status = Status::Redirected, .redirectedTo = 7});
    asked[1]({.status = Status::Done});
    LONGS_EQUAL(1, located.size());
    LONGS_EQUAL(7, *located[0].shard);
    locator.locate("j", {1, 2}, keep);
    asked[1]({.status = Status::Unknown});
    asked[2]({.status = Status::NoSuchJob});
    CHECK(!located[1].shard && !located[1].isCertain);
}

// TWICE (review/11): the owner of the earlier shard denied a job whose append had no answer yet. The job was
// accepted at the queue's new service as well, and both shards ran it.
TEST(QueueChange, AJobIsNotDeniedWhileItsAppendIsUnanswered)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    world.taskTime = 8s;
    submitUnstored(world, "j", 3s);
    CHECK(statusOf(submitWith(world, "proof", "j")) == Status::Unknown);
    CHECK(statusOf(askWith(world, "proof", Operation::State, "j")) == Status::Refused);
    JobRequest stranger{.operation = Operation::State, .subject = "j"};
    stranger.caller = JobService::Caller{"another workspace", {}};
    CHECK(statusOf(askWith(world, "sign", std::move(stranger))) == Status::NoSuchJob);
    world.owner(homeOf("sign"))->platform.appendDelay = 0ms;
    world.run(4s);
    CHECK(statusOf(submitWith(world, "proof", "j")) == Status::Done);
    CHECK(askWith(world, "proof", Operation::State, "j")->state == ReportedState::Running);
    world.run(10s);
    checkRunsOnce(world, "j");
}

// UNASKED: the end of such a job was acknowledged with "no such job", and its tasks started later.
TEST(QueueChange, AJobWhoseAppendIsUnansweredIsCancelled)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    submitUnstored(world, "j", 1500ms);
    const auto answer = std::make_shared<std::optional<JobReply>>();
    world.ask({.shard = homeOf("proof"), .operation = Operation::Cancel, .subject = "j"},
              [answer](const JobReply &reply) { *answer = reply; });
    world.run(500ms);
    CHECK(!*answer);
    world.owner(homeOf("sign"))->platform.appendDelay = 0ms;
    world.run(3s);
    CHECK(statusOf(*answer) == Status::Done);
    world.cancelled.insert("j");
    world.run(10s);
    LONGS_EQUAL(0, startsOf(world, "j"));
    for (const std::string &it : world.violations) {
        FAIL(it.c_str());
    }
}

// Jobs that were never sent before don't depend on the shard of the earlier service.
TEST(QueueChange, OtherJobsAreAcceptedWhileAnAppendOfTheEarlierShardIsUnanswered)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    submitUnstored(world, "j", 3s);
    CHECK(statusOf(submitWith(world, "proof", "other")) == Status::Done);
}

// TWICE: the owner of each shard denied the job to the other one while it was searching itself.
TEST(QueueChange, OfTwoSubmissionsAtOnceOneIsAccepted)
{
    for (const bool isEarlierServiceFirst : {true, false}) {
        SimulatedPlatform world(1, Shards);
        addFleet(world);
        CHECK(statusOf(submitWith(world, "sign", "a")) == Status::Done);
        CHECK(statusOf(submitWith(world, "proof", "b")) == Status::Done);
        world.run(1s);
        const auto first = sendSubmission(world, isEarlierServiceFirst ? "sign" : "proof", "j");
        const auto second = sendSubmission(world, isEarlierServiceFirst ? "proof" : "sign", "j");
        world.run(1s);
        const int accepted = (statusOf(*first) == Status::Done) + (statusOf(*second) == Status::Done);
        LONGS_EQUAL(1, accepted);
        world.run(5s);
        checkRunsOnce(world, "j");
    }
}

// TWICE: a submission by an older version of the configuration arrived after the job had been denied, and the
// owner had not read yet that the queue has another service.
TEST(QueueChange, AShardThatHasDeniedAJobAsksBeforeItAcceptsIt)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    CHECK(statusOf(submitWith(world, "sign", "known")) == Status::Done);
    SimulatedPlatform::Member &earlier = *world.owner(homeOf("sign"));
    JobService::QueueHistory<SimulatedPlatform::Platform> outdated(earlier.platform, world.timers, "queues");
    outdated.learn({"sheets", "host/sheets/"}, "sign");
    earlier.host.setQueueHistory(&outdated);
    CHECK(statusOf(submitWith(world, "proof", "j")) == Status::Done);
    CHECK(statusOf(submitWith(world, "sign", "j")) == Status::Done);
    world.run(3s);
    checkRunsOnce(world, "j");
    earlier.host.setQueueHistory(nullptr);
}

// UNASKED: while the other shards were asked for a job, its end was acknowledged with "no such job".
TEST(QueueChange, AJobIsNotDeniedWhileItIsSearchedFor)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    CHECK(statusOf(submitWith(world, "sign", "known")) == Status::Done);
    world.owner(homeOf("proof"))->platform.rejectsConditionalAppends = true;
    const auto submission = sendSubmission(world, "proof", "j");
    world.run(20ms);
    CHECK(!*submission);
    CHECK(statusOf(askWith(world, "proof", Operation::Cancel, "j")) == Status::Refused);
    CHECK(statusOf(askWith(world, "sign", Operation::Cancel, "j")) == Status::Refused);
    CHECK(statusOf(askWith(world, "sign", Operation::State, "j")) == Status::Refused);
}

// The next owner fences the append of a killed one before it denies the job.
TEST(QueueChange, AnAppendOfAKilledOwnerIsNotStoredAfterItsSuccessorHasDeniedTheJob)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    world.taskTime = 20s;
    submitUnstored(world, "j", 12s);
    world.kill(world.owner(homeOf("sign"))->name);
    world.run(6s);
    world.submitted["j"].queue.service = "proof";
    CHECK(statusOf(submitWith(world, "proof", "j")) == Status::Done);
    world.run(20s);
    checkRunsOnce(world, "j");
}

// Members of earlier builds name no shard that is to accept the job, and get no promise.
TEST(QueueChange, AQueryOfAnEarlierBuildIsRefusedWhileTheJobIsSearchedFor)
{
    SimulatedPlatform world(1, Shards);
    addFleet(world);
    CHECK(statusOf(submitWith(world, "sign", "known")) == Status::Done);
    world.owner(homeOf("proof"))->platform.rejectsConditionalAppends = true;
    sendSubmission(world, "proof", "j");
    world.run(20ms);
    const auto status = std::make_shared<Status>(Status::Done);
    const std::string query =
        R"({"shard":1,"operation":2,"subject":"j","sent_on":true})"; // as the build before sends it
    world.ask(*JobService::decodeRequest(query), [status](const JobReply &reply) { *status = reply.status; });
    world.run(100ms);
    CHECK(*status == Status::Refused);
}

TEST(QueueChange, TheShardThatIsToAcceptAJobIsPartOfTheQuery)
{
    const JobRequest request{.shard = 3,
                             .operation = Operation::State,
                             .subject = "j",
                             .isForwardedByHome = true,
                             .intendedHome =
                                 JobService::IntendedHome{7, {"sheets", "host/sheets/"}, "proof"}};
    const auto read = JobService::decodeRequest(JobService::encode(request));
    CHECK(read && read->intendedHome);
    LONGS_EQUAL(7, read->intendedHome->shard);
    CHECK(read->intendedHome->queue == request.intendedHome->queue);
    STRCMP_EQUAL("proof", read->intendedHome->service.c_str());
    JobReply reply{.status = Status::Refused};
    CHECK(!JobService::decodeReply(JobService::encode(reply))->isUnsettled);
    reply.isUnsettled = true;
    CHECK(JobService::decodeReply(JobService::encode(reply))->isUnsettled);
}
