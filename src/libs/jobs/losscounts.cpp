#include "losscounts.h"

#include <algorithm>

namespace Jobs
{

namespace
{

template<typename Enum>
constexpr std::size_t indexOf(Enum value)
{
    return static_cast<std::size_t>(value);
}

/// Whether each value is at its own index.
template<typename Values>
constexpr bool isInOrder(const Values &values)
{
    for (std::size_t n = 0; n < values.size(); ++n) {
        if (indexOf(values[n]) != n) {
            return false;
        }
    }
    return true;
}

static_assert(isInOrder(LossCounts::RestartNotices));
static_assert(isInOrder(LossCounts::LeaseSources));

} // namespace

std::string_view toString(RestartNotice notice)
{
    switch (notice) {
    case RestartNotice::Entry:
        return "entry";
    case RestartNotice::RunList:
        return "list";
    case RestartNotice::Answer:
        return "answer";
    }
    return {};
}

std::string_view toString(LeaseSource source)
{
    switch (source) {
    case LeaseSource::None:
        return "none";
    case LeaseSource::Order:
        return "order";
    case LeaseSource::Takeover:
        return "takeover";
    case LeaseSource::Record:
        return "record";
    case LeaseSource::Restart:
        return "restart";
    case LeaseSource::FirstList:
        return "first-list";
    }
    return {};
}

void LossCounts::addRestart(RestartNotice notice)
{
    ++m_restarts.at(indexOf(notice));
}

void LossCounts::addLapsedRun(LeaseSource source, bool isConfirmed)
{
    LapsedRuns &runs = m_lapsedRuns.at(indexOf(source));
    ++(isConfirmed ? runs.confirmed : runs.unconfirmed);
}

LossCounts &LossCounts::operator+=(const LossCounts &other)
{
    for (std::size_t n = 0; n < m_restarts.size(); ++n) {
        m_restarts.at(n) += other.m_restarts.at(n);
    }
    for (std::size_t n = 0; n < m_lapsedRuns.size(); ++n) {
        m_lapsedRuns.at(n).confirmed += other.m_lapsedRuns.at(n).confirmed;
        m_lapsedRuns.at(n).unconfirmed += other.m_lapsedRuns.at(n).unconfirmed;
    }
    return *this;
}

std::uint64_t LossCounts::restarts(RestartNotice notice) const
{
    return m_restarts.at(indexOf(notice));
}

std::uint64_t LossCounts::lapsedRuns(LeaseSource source, bool isConfirmed) const
{
    const LapsedRuns &runs = m_lapsedRuns.at(indexOf(source));
    return isConfirmed ? runs.confirmed : runs.unconfirmed;
}

UnconfirmedRuns &UnconfirmedRuns::operator+=(const UnconfirmedRuns &other)
{
    runs += other.runs;
    longestWait = std::max(longestWait, other.longestWait);
    return *this;
}

} // namespace Jobs
