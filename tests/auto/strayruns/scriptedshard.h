#pragma once

#include <jobs/jobrecord.h>
#include <jobs/shard.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

constexpr Jobs::WallTime Wall{std::chrono::hours(1)};
constexpr Jobs::Milliseconds Pass{50};
constexpr std::int64_t Cores = 1000; ///< of each task, in thousandths

/// A shard whose workers "v" and "w" list what a test sets. Orders are answered, but change no list.
struct ScriptedShard {
    ScriptedShard()
        : shard(std::make_unique<Jobs::Shard>(Jobs::ShardSettings{}, 1, "m"))
    {
        addWorker("v");
        addWorker("w");
    }

    void addWorker(const std::string &id)
    {
        Jobs::WorkerInfo &info = workers[id];
        info.id = id;
        info.service = "s";
        info.address = id;
        info.startTime = 1;
        info.capacity = {8 * Cores, 8000, 0};
        lists[id].startTime = 1;
    }

    void load(const Jobs::JobSpec &job, const std::string &progress)
    {
        records[Jobs::specKey(job.id)] = Jobs::encodeSpec(job, Wall);
        records[Jobs::progressKey(job.id)] = progress;
    }

    void begin()
    {
        for (const auto &[key, value] : records) {
            shard->load(key, value);
        }
        shard->begin(now, Wall, [](const std::string &) { return true; });
        listWorkers();
    }

    void listWorkers()
    {
        std::vector<Jobs::WorkerInfo> infos;
        for (const auto &[id, info] : workers) {
            infos.push_back(info);
        }
        shard->setWorkers(infos, now);
    }

    void run(Jobs::Milliseconds time)
    {
        for (const Base::Instant end = now + time; now < end; now += Pass) {
            answerQueries();
            answerAppends();
            shard->processDue(now, Wall);
            for (const Jobs::Command &it : shard->takeCommands()) {
                execute(it);
            }
            answerAppends();
            for (const Jobs::Command &it : shard->takeCommands()) {
                execute(it);
            }
        }
    }

    void execute(const Jobs::Command &command)
    {
        if (const auto *append = std::get_if<Jobs::AppendBatch>(&command)) {
            for (const Jobs::Record &it : append->records) {
                records[it.key] = it.value;
            }
            appends.emplace_back(now + appendTime, append->number);
        } else if (const auto *renew = std::get_if<Jobs::RenewLease>(&command)) {
            queries.emplace_back(now + renew->longPollTime, *renew);
        } else if (const auto *start = std::get_if<Jobs::StartRun>(&command)) {
            starts.push_back(*start);
            lists[start->worker].running.push_back({start->task, start->attempt, {}, 100, 0});
            shard->startAnswered(*start, Jobs::OrderResult::Done, clock(), now);
        } else if (const auto *stop = std::get_if<Jobs::StopRun>(&command)) {
            stops.push_back(*stop);
            const bool isAnswered = silent.count(stop->worker) == 0 && answersStops;
            shard->stopAnswered(
                *stop, isAnswered ? Jobs::OrderResult::Done : Jobs::OrderResult::NoAnswer, clock(), now);
        }
    }

    void answerAppends()
    {
        for (const auto &[due, number] : std::exchange(appends, {})) {
            if (now < due) {
                appends.emplace_back(due, number);
            } else {
                shard->appended(number, Jobs::AppendResult::Stored, now, Wall);
            }
        }
    }

    /// A query waits for an end, at most for its time.
    void answerQueries()
    {
        for (const auto &[due, query] : std::exchange(queries, {})) {
            Jobs::RunList list = lists[query.worker];
            list.clock = clock();
            const std::uint64_t cursor = query.ackCursor;
            std::erase_if(list.ended, [cursor](const auto &it) { return it.number <= cursor; });
            if (now < due && list.ended.empty()) {
                queries.emplace_back(due, query);
                continue;
            }
            const bool isSilent = silent.count(query.worker) > 0;
            shard->renewAnswered(query,
                                 isSilent ? Jobs::OrderResult::NoAnswer : Jobs::OrderResult::Done,
                                 isSilent ? Jobs::RunList() : list,
                                 now,
                                 Wall);
        }
    }

    std::int64_t clock() const
    {
        return (now - Base::Instant{}) / Jobs::Milliseconds(1);
    }

    void listEnd(const std::string &worker,
                 const Jobs::TaskId &task,
                 std::uint32_t attempt,
                 Jobs::RunEnd end = Jobs::RunEnd::Done)
    {
        auto &ended = lists[worker].ended;
        ended.push_back({ended.size() + 1, task, attempt, end, {}});
    }

    std::ptrdiff_t startsOn(const std::string &worker) const
    {
        return std::count_if(
            starts.begin(), starts.end(), [&](const auto &it) { return it.worker == worker; });
    }

    const Jobs::Worker &worker(const std::string &id) const
    {
        return shard->workers().at(id);
    }

    Base::Instant now{std::chrono::hours(1)};
    std::unique_ptr<Jobs::Shard> shard;
    std::map<std::string, Jobs::WorkerInfo> workers;
    std::map<std::string, Jobs::RunList> lists;
    std::set<std::string> silent; ///< workers that answer nothing
    std::vector<std::pair<Base::Instant, Jobs::RenewLease>> queries; ///< unanswered ones, until when
    std::vector<std::pair<Base::Instant, std::uint64_t>> appends; ///< unanswered ones, until when
    Jobs::Milliseconds appendTime{};
    bool answersStops = true;
    std::vector<Jobs::StartRun> starts;
    std::vector<Jobs::StopRun> stops;
    std::map<std::string, std::string> records;
};

inline Jobs::JobSpec makeJob(const std::string &id, std::uint32_t count)
{
    Jobs::JobSpec job;
    job.id = id;
    job.queue = {.name = "q",
                 .service = "s",
                 .maxAttempts = 4,
                 .slackFactor = 2,
                 .targetLatency = Jobs::Milliseconds(600),
                 .advice = std::nullopt};
    job.stages.resize(1);
    job.stages[0].count = count;
    job.stages[0].size = {Cores, 100, 0};
    job.stages[0].estimate = std::chrono::seconds(60);
    return job;
}
