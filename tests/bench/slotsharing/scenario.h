#pragma once

#include <base/instant.h>
#include <scheduling/fleetspecs.h>
#include <scheduling/membership.h>

#include <array>
#include <cstdint>
#include <random>
#include <vector>

/// What happens besides the load.
struct Faults {
    bool hasJoin = false;
    bool hasSilentDeath = false;
    bool hasPartition = false;
    bool hasPause = false;
};

/// The fleet, the load and the faults of one run: 8 entry instances in 3 zones, 5 services of 10 targets.
class Scenario
{
public:
    static constexpr std::uint32_t Entries = 8;
    static constexpr std::uint32_t Services = 5;
    static constexpr std::chrono::seconds Length{30};
    static constexpr std::chrono::milliseconds InteractiveDeadline{500};
    static constexpr std::chrono::seconds BatchDeadline{10};
    static constexpr std::chrono::milliseconds InteractiveRunTime{50};
    static constexpr std::chrono::milliseconds BatchRunTime{500};
    static constexpr std::chrono::seconds JoinAt{6};
    static constexpr std::uint32_t Joining = 7;
    static constexpr std::chrono::milliseconds DeathAt{10'500};
    static constexpr std::chrono::milliseconds DeathListedAt{13'500};
    static constexpr std::uint32_t Dying = 1;
    static constexpr std::chrono::seconds PartitionFrom{14};
    static constexpr std::chrono::seconds PartitionUntil{26};
    static constexpr std::chrono::seconds PauseFrom{22};
    static constexpr std::chrono::milliseconds PauseUntil{24'500};
    static constexpr std::uint32_t Pausing = 4;
    static constexpr std::chrono::seconds BalancerDelay{
        1}; ///< until callers avoid an entry instance that is gone

    Scenario(const Faults &faults, double meanPerSecond, std::uint64_t seed);

    const Faults &faults() const;
    const std::vector<Scheduling::ServiceSpec> &services() const;
    const std::vector<Scheduling::TargetSpec> &targets() const;
    Base::AvailabilityZoneName zoneOf(std::uint32_t entry) const;
    Scheduling::Member memberOf(std::uint32_t entry) const;

    /// Interactive requests a second of a service: its mean, five times that, a twentieth, in turn.
    double rateOf(std::uint32_t service, Base::Instant now) const;
    double batchRate() const;

    /// The entry instance that a new request of the service comes to; the callers' spread is uneven.
    std::uint32_t drawEntry(std::uint32_t service, Base::Instant now, std::mt19937_64 &random) const;

    bool isRunning(std::uint32_t entry, Base::Instant now) const;
    bool isPaused(std::uint32_t entry, Base::Instant now) const;
    bool isCutOff(const Base::AvailabilityZoneName &a,
                  const Base::AvailabilityZoneName &b,
                  Base::Instant now) const;

    /// The members as the log has them, and when that changes.
    Scheduling::MembershipEpoch epochAt(Base::Instant now) const;
    std::vector<Base::Instant> epochChanges() const;

private:
    static constexpr std::chrono::seconds SpreadPeriod{4};

    Faults m_faults;
    double m_meanPerSecond;
    std::vector<Scheduling::ServiceSpec> m_services;
    std::vector<Scheduling::TargetSpec> m_targets;
    std::vector<std::array<std::array<double, Entries>, Services>> m_spreads;
};
