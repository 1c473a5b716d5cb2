#pragma once

#include "simulatedplatform.h"

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A seeded history in virtual time: jobs arrive while faults happen. Finally all faults end, and every
/// accepted job has to finish.
class FaultHistory
{
public:
    using Milliseconds = SimulatedPlatform::Milliseconds;

    /// With two builds, every second member is an earlier one.
    enum class Builds { Today, Two };

    explicit FaultHistory(std::uint32_t seed, std::uint32_t cells = 1, Builds builds = Builds::Today);

    /// Leases are as short as on a small deployment. Applies to members that are added later.
    void shortenLeases(Milliseconds leaseLimit);
    /// The clock of every second worker is slow, and each worker is on its own rack.
    void addWorkers(int count, std::int64_t milliCores);
    void addMember();
    int pick(int least, int most);
    Milliseconds pickTime(Milliseconds least, Milliseconds most);
    SimulatedPlatform::Worker &anyWorker();
    SimulatedPlatform::Member &anyMember();
    /// Restarts a worker that is up.
    void restart(SimulatedPlatform::Worker &worker, Milliseconds shortestPause, Milliseconds longestPause);
    /// Returns whether the job was accepted.
    bool submit(const Jobs::JobSpec &job);
    void killMember(const std::string &name);
    /// The member hands its shards over and ends. Another one joins before that.
    void replaceMember(SimulatedPlatform::Member &member);
    /// One fault at random, or its end: of a worker, a member or the store, or a cancellation.
    void causeTrouble();
    /// No member that is there now reaches the worker, or gets its answers, for this long.
    void cutOff(SimulatedPlatform::Worker &worker, Milliseconds time, bool isOneWay);
    void endFaults();
    /// Ends all faults and waits until the accepted jobs are over. Returns what has gone wrong.
    std::vector<std::string> finish(std::chrono::seconds time);

    SimulatedPlatform world;
    std::vector<std::string> accepted; ///< jobs that have to finish
    std::set<std::string> failed; ///< jobs that were found to have failed

private:
    bool isOver(const std::string &job);

    std::uint32_t m_seed;
    Builds m_builds;
    std::mt19937 m_random;
    int m_lastMember = 0;
};
