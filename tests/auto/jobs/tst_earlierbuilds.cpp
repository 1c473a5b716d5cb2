#include "simulatedplatform.h"

#include <base/logline.h>
#include <jobs/jobrecord.h>
#include <jobs/quotaledger.h>
#include <jobs/shard.h>
#include <jobservice/peerprotocol.h>

#include <CppUTest/TestHarness.h>

#include <boost/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{

struct Line {
    std::string kind;
    std::string key;
    std::string value;
};

// Records and messages as the build of commit 8045e32 writes them, with tabs between kind, key and value. In
// the values of owner records a bar stands for a line break.
std::vector<Line> writtenBy8045e32(std::string_view kind)
{
    const auto path = std::filesystem::path(RHUBARBCRANK_EARLIER_BUILDS) / "8045e32.txt";
    std::ifstream file(path);
    std::vector<Line> lines;
    for (std::string text; std::getline(file, text);) {
        std::istringstream parts(text);
        Line line;
        std::getline(parts, line.kind, '\t');
        std::getline(parts, line.key, '\t');
        std::getline(parts, line.value);
        if (line.kind == kind) {
            lines.push_back(std::move(line));
        }
    }
    CHECK(!lines.empty());
    return lines;
}

// How that build reads a task of a progress record: five elements by position, whatever follows them.
struct EarlierTask {
    bool isDone = false;
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0;
    std::string worker;
    std::string checkpoint;
};

EarlierTask readAsBefore(const json::array &from)
{
    EarlierTask task;
    task.isDone = from.at(0).to_number<int>() != 0;
    task.attempt = from.at(1).to_number<std::uint32_t>();
    task.failures = from.at(2).to_number<std::uint32_t>();
    if (from.size() > 3) {
        task.worker = std::string(from.at(3).as_string());
    }
    if (from.size() > 4) {
        task.checkpoint = std::string(from.at(4).as_string());
    }
    return task;
}

// The names of an owner record by the rule of that build: lines, without empty ones.
std::vector<std::string> ownersAsBefore(const std::string &value)
{
    std::vector<std::string> names;
    std::istringstream lines(value);
    for (std::string name; std::getline(lines, name);) {
        if (!name.empty()) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace

TEST_GROUP(EarlierBuilds){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(EarlierBuilds, TheirJobRecordsAreRead)
{
    Jobs::Shard shard({}, 17, "m");
    for (const Line &it : writtenBy8045e32("record")) {
        shard.load(it.key, it.value);
    }
    shard.begin(
        Base::Instant{1h}, Jobs::WallTime(1'796'442'164'100ms), [](const std::string &) { return true; });
    const Jobs::Job *job = shard.find("a01e8f34ad8720a2");
    CHECK(job != nullptr);
    STRCMP_EQUAL("sheet \"7\"", job->spec.payload.c_str());
    STRCMP_EQUAL("w1", job->spec.workspace.c_str());
    CHECK(job->spec.queue.advice.has_value());
    CHECK(job->spec.stages[1].isGang);
    const auto &occurrence = job->occurrences.at(0);
    CHECK(occurrence.stages[0].tasks[0].isDone);
    const Jobs::Task &running = occurrence.stages[0].tasks[1];
    CHECK(running.run == Jobs::RunState::Inherited);
    LONGS_EQUAL(3, running.attempt);
    STRCMP_EQUAL("i-00002", running.worker.c_str());
    STRCMP_EQUAL("0bb8", running.checkpoint.c_str());
    LONGS_EQUAL(2, occurrence.stages[1].tasks[0].failures);
    LONGS_EQUAL(0, occurrence.stages[1].tasks[0].failedAttempt);
    const Jobs::Job *timed = shard.find("5c0e7a21d94b36f0");
    CHECK(timed != nullptr);
    LONGS_EQUAL(3, timed->spec.occurrences);
    CHECK(timed->spec.stages[1].isLongRunning);
    LONGS_EQUAL(1, timed->spec.stages[1].maxUnavailable);
    CHECK(shard.redirectedTo("00000000000000ff") == Jobs::ShardNumber{7});
}

TEST(EarlierBuilds, TheirEndedJobsAreRead)
{
    Jobs::Shard shard({}, 17, "m");
    const auto records = writtenBy8045e32("record");
    shard.load(records[0].key, records[0].value);
    const Line ended = writtenBy8045e32("ended")[0];
    shard.load(ended.key, ended.value);
    shard.begin(
        Base::Instant{1h}, Jobs::WallTime(1'796'442'190'100ms), [](const std::string &) { return true; });
    CHECK(shard.find("a01e8f34ad8720a2")->storedState == Jobs::JobState::Cancelled);
}

TEST(EarlierBuilds, TheirOwnerRecordsNameOwnersThatMayRenewLeases)
{
    for (const Line &it : writtenBy8045e32("owner")) {
        std::string value = it.value;
        std::replace(value.begin(), value.end(), '|', '\n');
        Jobs::Shard shard({}, 17, "m");
        shard.load(it.key, value);
        shard.begin(Base::Instant{1h}, Jobs::WallTime(1h), [](const std::string &) { return false; });
        const auto records = shard.releaseRecords(Base::Instant{1h} + 100ms);
        CHECK(ownersAsBefore(records[0].value) == ownersAsBefore(value));
    }
}

TEST(EarlierBuilds, TheirQuotaClaimsAreRead)
{
    const Line claim = writtenBy8045e32("quota")[0];
    Jobs::QuotaLedger ledger;
    ledger.load(claim.key, claim.value);
    CHECK(ledger.isClaimed(3, 16));
}

TEST(EarlierBuilds, MessagesAreTheSame)
{
    for (const Line &it : writtenBy8045e32("request")) {
        const auto request = JobService::decodeRequest(it.value);
        CHECK(request.has_value());
        STRCMP_EQUAL(it.value.c_str(), JobService::encode(*request).c_str());
    }
    for (const Line &it : writtenBy8045e32("reply")) {
        const auto reply = JobService::decodeReply(it.value);
        CHECK(reply.has_value());
        STRCMP_EQUAL(it.value.c_str(), JobService::encode(*reply).c_str());
    }
}

TEST(EarlierBuilds, SpecificationsAreTheSame)
{
    for (const Line &it : writtenBy8045e32("record")) {
        const auto job = Jobs::decodeSpec(it.value);
        if (it.key.rfind("spec/", 0) == 0) {
            CHECK(job.has_value());
            STRCMP_EQUAL(it.value.c_str(), Jobs::encodeSpec(job->spec, job->acceptedAt).c_str());
        }
    }
}

// The sixth element of a gang's first task.
TEST(EarlierBuilds, TheyReadTodaysProgress)
{
    Jobs::Job job;
    job.spec = SimulatedPlatform::makeJob("a", 1, 2);
    job.spec.stages[0].isGang = true;
    auto &tasks = job.addOccurrence(0).stages[0].allTasks();
    for (const bool isAssigned : {false, true}) {
        tasks[0].attempt = 2;
        tasks[0].failures = 1;
        tasks[0].failedAttempt = 2;
        tasks[0].run = isAssigned ? Jobs::RunState::Running : Jobs::RunState::None;
        tasks[0].worker = isAssigned ? "w1" : "";
        const json::value parsed = json::parse(Jobs::encodeProgress(job));
        const json::array &row = parsed.at("tasks").at("0").at(0).at(0).as_array();
        LONGS_EQUAL(6, row.size());
        const EarlierTask read = readAsBefore(row);
        CHECK(!read.isDone);
        LONGS_EQUAL(2, read.attempt);
        LONGS_EQUAL(1, read.failures);
        STRCMP_EQUAL(isAssigned ? "w1" : "", read.worker.c_str());
        CHECK(read.checkpoint.empty());
    }
}

// The seventh and eighth element of a task.
TEST(EarlierBuilds, TheyReadTodaysCrashes)
{
    Jobs::Job job;
    job.spec = SimulatedPlatform::makeJob("a", 1, 1);
    Jobs::Task &task = job.addOccurrence(0).stages[0].allTasks()[0];
    task.attempt = 3;
    task.crashes = 2;
    task.run = Jobs::RunState::Running;
    task.worker = "w1";
    task.workerStart = 1'796'442'164'100;
    const json::value parsed = json::parse(Jobs::encodeProgress(job));
    const json::array &row = parsed.at("tasks").at("0").at(0).at(0).as_array();
    LONGS_EQUAL(8, row.size());
    const EarlierTask read = readAsBefore(row);
    LONGS_EQUAL(3, read.attempt);
    LONGS_EQUAL(0, read.failures);
    STRCMP_EQUAL("w1", read.worker.c_str());
    CHECK(read.checkpoint.empty());
}

// An earlier build ignores a key that is neither "owner" nor begins with the prefix of a job's record.
TEST(EarlierBuilds, TheyIgnoreTheRecordOfLeases)
{
    const std::string key(Jobs::LeasesKey);
    for (const char *it : {"spec/", "progress/", "elsewhere/", "owner"}) {
        CHECK(key.rfind(it, 0) != 0);
        CHECK(std::string(Jobs::Shard::UnusedKey).rfind(it, 0) != 0);
    }
}
