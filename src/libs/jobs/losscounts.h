#pragma once

#include "jobspec.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Jobs
{

/// What noticed first that a worker has restarted.
enum class RestartNotice {
    Entry, ///< its entry in the platform's list of workers
    RunList, ///< its list of runs
    Answer, ///< the answer to an order, with a clock that is behind
};

/// What the end of a worker's lease was taken from.
enum class LeaseSource {
    None,
    Order, ///< the latest order with a lease
    Takeover, ///< the longest lease that the owner before may have given
    Record, ///< what the owner before has recorded
    Restart, ///< the longest lease that a restarted worker may have granted
    FirstList, ///< the same, once it refuses orders to its former incarnation
};

/// For logs and metrics.
std::string_view toString(RestartNotice notice);
std::string_view toString(LeaseSource source);

/// Counts restarts of workers and runs that were given up with the lease of their silent worker.
class LossCounts
{
public:
    static constexpr std::array RestartNotices{
        RestartNotice::Entry, RestartNotice::RunList, RestartNotice::Answer};
    static constexpr std::array LeaseSources{LeaseSource::None,
                                             LeaseSource::Order,
                                             LeaseSource::Takeover,
                                             LeaseSource::Record,
                                             LeaseSource::Restart,
                                             LeaseSource::FirstList};

    void addRestart(RestartNotice notice);
    /// `isConfirmed` is Task::isConfirmed.
    void addLapsedRun(LeaseSource source, bool isConfirmed);
    LossCounts &operator+=(const LossCounts &other);

    std::uint64_t restarts(RestartNotice notice) const;
    std::uint64_t lapsedRuns(LeaseSource source, bool isConfirmed) const;

    bool operator==(const LossCounts &) const = default;

private:
    struct LapsedRuns {
        std::uint64_t confirmed = 0;
        std::uint64_t unconfirmed = 0;

        bool operator==(const LapsedRuns &) const = default;
    };

    std::array<std::uint64_t, RestartNotices.size()> m_restarts{};
    std::array<LapsedRuns, LeaseSources.size()> m_lapsedRuns{};
};

/// Runs on silent workers that no known incarnation has confirmed.
struct UnconfirmedRuns {
    std::size_t runs = 0;
    Milliseconds longestWait{}; ///< until the last of them has ended by all leases

    UnconfirmedRuns &operator+=(const UnconfirmedRuns &other);
};

} // namespace Jobs
