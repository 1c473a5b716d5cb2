#pragma once

#include <jobs/arrivalallowance.h>
#include <jobs/queueorder.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <numeric>
#include <random>
#include <vector>

/// The results of a load with alternating bursts and pauses: for some seconds a queue gets more work than its
/// workers can do, then none.
struct QueueOutcome {
    int submittedCount = 0;
    int inTimeCount = 0;
    int lateCount = 0; ///< done within three times the objective
    double relativeValue =
        0; ///< achieved share of the total value; late jobs count for a small part of theirs
    double relativeValueOfOthers = 0; ///< the same of all workspaces that send their usual load
    std::vector<double> relativeValueByWorkspace;
    int largeSubmittedCount = 0; ///< among the largest tenth of the jobs
    int largeInTimeCount = 0;
};

struct QueueLoad {
    std::uint32_t seed = 1;
    double overload = 1.6; ///< submitted work in a burst relative to the capacity of the workers
    std::int64_t milliCores = 600'000;
    int cycles = 3;
    int workspaces = 0; ///< that send the load in a burst
    double sizeExponent = 0; ///< the usual load of the n-th workspace falls with this power of n
    double acceptedFactor = 1; ///< accepted load of the workspaces relative to their usual one
    bool isLoadOfOthersFixed = false; ///< the same for each firstWorkspaceFactor
    int heavyWorkspaces = 1; ///< the first ones, whose load is multiplied by firstWorkspaceFactor
    double firstWorkspaceFactor = 1; ///< load of the first workspace relative to its usual one
    /// The actual time of a stage relative to its estimate; nothing: 0.67 to 1.5.
    std::function<double(std::mt19937 &)> ratio;
    /// The time of a single task relative to that of its stage; nothing: 0.85 to 1.15.
    std::function<double(std::mt19937 &)> taskRatio;
    std::function<void(Jobs::Job &job)> submitted;
    std::function<void(Jobs::Job &job, std::uint32_t stage, Jobs::Milliseconds taken, std::int64_t now)>
        ended;
};

/// Simulates the load in virtual time. `Order`
/// sorts the unfinished occurrences.
template<typename Order>
QueueOutcome simulateQueue(const QueueLoad &load, Order order)
{
    using namespace std::chrono_literals;
    using Jobs::Milliseconds;
    constexpr std::int64_t BurstTime = 5000;
    constexpr std::int64_t IdleTime = 10'000;
    constexpr std::int64_t Step = 25;
    constexpr double LateShare = 0.07;

    struct Running {
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0;
        std::size_t job = 0;
        std::uint32_t stage = 0;
        std::uint32_t task = 0;
    };
    std::mt19937 random(load.seed);
    std::mt19937 workspaceRandom(load.seed);
    std::mt19937 ownHeavyRandom(load.seed);
    std::mt19937 ownDurationRandom(load.seed);
    std::mt19937 &heavyCountRandom = load.isLoadOfOthersFixed ? ownHeavyRandom : workspaceRandom;
    std::mt19937 &heavyJobRandom = load.isLoadOfOthersFixed ? ownHeavyRandom : random;
    std::mt19937 &durationRandom = load.isLoadOfOthersFixed ? ownDurationRandom : random;
    const auto lognormal = [](std::mt19937 &generator, double mean, double spread) {
        const double sigma = std::sqrt(std::log(1 + spread * spread));
        return std::lognormal_distribution<>(std::log(mean) - sigma * sigma / 2, sigma)(generator);
    };
    std::vector<Jobs::Job> jobs;
    std::vector<std::vector<double>>
        actualRatios; ///< actual duration relative to the estimate, by job and stage
    std::vector<double> work;
    std::vector<Running> running;
    std::int64_t free = load.milliCores;
    const double meanWork = 13.8; // core-seconds of a job from makeJob, on average
    const double perStep = load.overload * double(load.milliCores) / 1000 / meanWork * double(Step) / 1000;
    Jobs::ArrivalAllowance allowance;
    Jobs::ArrivalAllowance::Rates rates;
    std::vector<double> sizes(static_cast<std::size_t>(std::max(1, load.workspaces)));
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        sizes[n] = std::pow(double(n + 1), -load.sizeExponent);
    }
    const double sizeSum = std::accumulate(sizes.begin(), sizes.end(), 0.0);
    for (std::size_t n = 0; load.workspaces > 0 && n < sizes.size(); ++n) {
        rates[std::to_string(n)] = load.acceptedFactor * perStep * 1000 / double(Step) * sizes[n] / sizeSum;
    }
    const auto chooseWorkspace = [&] {
        return load.sizeExponent > 0
            ? std::discrete_distribution<int>(sizes.begin(), sizes.end())(workspaceRandom)
            : std::uniform_int_distribution<>(0, std::max(0, load.workspaces - 1))(workspaceRandom);
    };
    allowance.setRates(std::move(rates));
    const auto makeJob = [&](std::int64_t now, int workspace, std::mt19937 &generator) {
        Jobs::Job job;
        job.spec.workspace = load.workspaces > 0 ? std::to_string(workspace) : std::string();
        job.spec.isExcess = !allowance.isWithin(job.spec.workspace, Base::Instant{} + Milliseconds(now));
        job.spec.id = std::to_string(jobs.size());
        job.spec.queue = {"q", "s", 0, 4, 1.6, 600ms, std::nullopt};
        const int stages = generator() % 10 < 6 ? 1 : 2;
        double cores = 0;
        std::vector<double> ratios;
        for (int n = 0; n < stages; ++n) {
            Jobs::Stage stage;
            stage.count = static_cast<std::uint32_t>(std::clamp(lognormal(generator, 6, 0.6), 1.0, 24.0));
            stage.size = {
                static_cast<std::int64_t>(std::clamp(lognormal(generator, 1800, 0.45), 200.0, 5300.0)),
                100,
                0};
            const double time = std::clamp(lognormal(generator, 800, 0.5), 100.0, 2000.0);
            ratios.push_back(load.ratio ? load.ratio(generator)
                                        : std::uniform_real_distribution<>(0.67, 1.5)(generator));
            stage.estimate = Milliseconds(static_cast<std::int64_t>(time / ratios.back()));
            if (n > 0) {
                stage.dependsOn = {0};
            }
            cores += double(stage.count) * double(stage.size.milliCores) / 1000 * time / 1000;
            job.spec.stages.push_back(stage);
        }
        job.acceptedAt = Jobs::WallTime(Milliseconds(now));
        job.addOccurrence(0);
        if (load.submitted) {
            load.submitted(job);
        }
        jobs.push_back(std::move(job));
        actualRatios.push_back(std::move(ratios));
        work.push_back(cores);
    };
    const std::int64_t end = load.cycles * (BurstTime + IdleTime);
    for (std::int64_t now = 0; now < end; now += Step) {
        if (now % (BurstTime + IdleTime) < BurstTime) {
            for (int n = std::poisson_distribution<>(perStep)(random); n > 0; --n) {
                makeJob(now, chooseWorkspace(), random);
            }
            for (int heavy = 0; heavy < load.heavyWorkspaces; ++heavy) {
                const double more = perStep * sizes[static_cast<std::size_t>(heavy)] / sizeSum
                    * (load.firstWorkspaceFactor - 1);
                for (int n = more > 0 ? std::poisson_distribution<>(more)(heavyCountRandom) : 0; n > 0; --n) {
                    makeJob(now, heavy, heavyJobRandom);
                }
            }
        }
        for (std::size_t n = 0; n < running.size();) {
            const Running run = running[n];
            if (run.endsAt > now) {
                ++n;
                continue;
            }
            running[n] = running.back();
            running.pop_back();
            Jobs::Job &job = jobs[run.job];
            Jobs::Occurrence &occurrence = job.occurrences[0];
            free += job.spec.stages[run.stage].size.milliCores;
            occurrence.stages[run.stage].tasks[run.task].isDone = true;
            occurrence.stages[run.stage].tasks[run.task].run = Jobs::RunState::None;
            ++occurrence.stages[run.stage].done;
            if (load.ended) {
                load.ended(job, run.stage, Milliseconds(run.endsAt - run.startedAt), now);
            }
            if (std::all_of(occurrence.stages.begin(), occurrence.stages.end(), [](const auto &it) {
                    return it.isDone();
                })) {
                job.state = Jobs::JobState::Completed;
                job.endedAt = Jobs::WallTime(Milliseconds(now));
            }
        }
        std::vector<Jobs::UnfinishedOccurrence> ready;
        for (Jobs::Job &job : jobs) {
            if (job.state == Jobs::JobState::Active) {
                ready.push_back({&job, 0, &job.occurrences[0]});
            }
        }
        order(ready, Jobs::WallTime(Milliseconds(now)));
        for (const Jobs::UnfinishedOccurrence &it : ready) {
            for (std::uint32_t stage = 0; stage < it.occurrence->stages.size(); ++stage) {
                if (!it.job->isReady(*it.occurrence, stage)) {
                    continue;
                }
                const auto &wanted = it.job->spec.stages[stage];
                auto &tasks = it.occurrence->stages[stage].allTasks();
                for (std::uint32_t n = 0; n < tasks.size(); ++n) {
                    if (!tasks[n].isWaiting() || free < wanted.size.milliCores) {
                        continue;
                    }
                    free -= wanted.size.milliCores;
                    tasks[n].run = Jobs::RunState::Running;
                    it.job->hasStarted = true;
                    const auto index = static_cast<std::size_t>(std::stoul(it.job->spec.id));
                    const double time = double(wanted.estimate.count()) * actualRatios[index][stage]
                        * (load.taskRatio ? load.taskRatio(durationRandom)
                                          : std::uniform_real_distribution<>(0.85, 1.15)(durationRandom));
                    running.push_back({now, now + static_cast<std::int64_t>(time), index, stage, n});
                }
            }
        }
    }
    QueueOutcome outcome;
    std::vector<double> sorted = work;
    std::sort(sorted.begin(), sorted.end());
    const double large = sorted.empty() ? 0 : sorted[sorted.size() * 9 / 10];
    double totalValue = 0;
    double totalValueOfOthers = 0;
    std::vector<double> totalValueByWorkspace(sizes.size());
    outcome.relativeValueByWorkspace.resize(sizes.size());
    for (std::size_t n = 0; n < jobs.size(); ++n) {
        const Jobs::Job &job = jobs[n];
        // The objective is based on the actual critical path, while the queue only knows the estimates.
        double chain = 0;
        for (std::size_t stage = 0; stage < job.spec.stages.size(); ++stage) {
            chain += double(job.spec.stages[stage].estimate.count()) * actualRatios[n][stage];
        }
        const double objective = 1.6 * chain + 600;
        const double elapsed = double((job.endedAt - job.acceptedAt).count());
        const double value = std::min(4.0, 0.3 + 0.7 * work[n] / meanWork);
        const bool isDone = job.state == Jobs::JobState::Completed;
        const bool isInTime = isDone && elapsed <= objective;
        const bool isLate = isDone && !isInTime && elapsed <= 3 * objective;
        ++outcome.submittedCount;
        outcome.inTimeCount += isInTime ? 1 : 0;
        outcome.lateCount += isLate ? 1 : 0;
        totalValue += value;
        const double earned = isInTime ? value : isLate ? LateShare * value : 0;
        outcome.relativeValue += earned;
        if (work[n] >= large) {
            ++outcome.largeSubmittedCount;
            outcome.largeInTimeCount += isInTime ? 1 : 0;
        }
        if (job.spec.workspace.empty()) {
            continue;
        }
        const auto workspace = static_cast<std::size_t>(std::stoul(job.spec.workspace));
        totalValueByWorkspace[workspace] += value;
        outcome.relativeValueByWorkspace[workspace] += earned;
        if (workspace >= static_cast<std::size_t>(load.heavyWorkspaces)) {
            totalValueOfOthers += value;
            outcome.relativeValueOfOthers += earned;
        }
    }
    outcome.relativeValue /= std::max(totalValue, 1.0);
    outcome.relativeValueOfOthers /= std::max(totalValueOfOthers, 1.0);
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        outcome.relativeValueByWorkspace[n] /= std::max(totalValueByWorkspace[n], 1.0);
    }
    return outcome;
}
