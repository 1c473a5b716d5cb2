#include "machineplanner.h"

#include <base/logline.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Machines
{

namespace
{

// Waves are planned to complete this long before their time is over.
constexpr Base::Duration WaveReserve = std::chrono::milliseconds{4000};

// Expected duration of one machine's evacuation and upkeep; determines how many run concurrently in a wave.
constexpr Base::Duration UpkeepEstimate = std::chrono::milliseconds{5000};

// A pool with a load below this share of its capacity gives machines to upkeep earlier than the wave
// requires.
constexpr double IdleLoad = 0.5;

} // namespace

// Includes machines that an earlier owner took down or may have taken down just now.
std::size_t MachinePlanner::downInWave(std::uint64_t number, Base::Instant now) const
{
    std::size_t down = 0;
    const WaveProgress &progress = m_waves.at(number);
    for (const std::string &id : progress.wave.machines) {
        if (const auto transition = m_transitions.find(id);
            transition != m_transitions.end() && transition->second.step != Step::Evacuating) {
            ++down;
            continue;
        }
        const Machine *machine = findMachine(id);
        const auto ordered = m_noOrderBefore.find(id);
        const auto upkeep = m_upkeepOrderedAt.find(id);
        const bool mayBeginUpkeep = upkeep != m_upkeepOrderedAt.end()
            && upkeep->second + UnknownOrderTimeout > now && progress.startedMachines.count(id) == 0;
        const bool mayBeDown = mayBeginUpkeep || (ordered != m_noOrderBefore.end() && ordered->second > now);
        down += mayBeDown || (machine && machine->state == MachineState::Upkeep) ? 1 : 0;
    }
    return down;
}

// A move takes the time that the upkeep needs: a machine that is on its way when the wave ends is late.
std::set<std::string_view> MachinePlanner::machinesDueForUpkeep(Base::Instant now) const
{
    std::set<std::string_view> machines;
    for (const auto &[number, progress] : m_waves) {
        const Wave &wave = progress.wave;
        if (progress.isCompletedWritten
            || wave.announcedAt + wave.duration - now > WaveReserve + UpkeepEstimate) {
            continue;
        }
        for (const std::string &it : wave.machines) {
            if (progress.startedMachines.count(it) == 0) {
                machines.insert(it);
            }
        }
    }
    return machines;
}

void MachinePlanner::planWaves(Base::Instant now)
{
    const std::map<std::string, double> loads = this->loads();
    for (auto &[number, progress] : m_waves) {
        const Wave &wave = progress.wave;
        if (wave.number == 0 || progress.isCompletedWritten) {
            continue;
        }
        if (!std::exchange(progress.isRunningWritten, true)) {
            m_commands.emplace_back(WriteWaveStatus{number, false});
        }
        std::vector<const MachineEntry *> candidates;
        std::size_t remaining = 0;
        for (const std::string &id : wave.machines) {
            const MachineEntry *machine = findEntry(id);
            const bool mayBeNew = !machine && m_listRequestedAt <= wave.announcedAt;
            if ((!machine && !mayBeNew) || progress.startedMachines.count(id) > 0) {
                continue;
            }
            ++remaining;
            if (!machine) {
                continue;
            }
            const auto retryAt = m_noEvacuationBefore.find(id);
            const bool isRetryPending = retryAt != m_noEvacuationBefore.end() && now < retryAt->second;
            if (m_transitions.count(id) == 0 && machine->machine.state == MachineState::Up
                && !isRetryPending) {
                candidates.push_back(machine);
            }
        }
        if (remaining == 0) {
            progress.isCompletedWritten = true;
            m_commands.emplace_back(WriteWaveStatus{number, true});
            Base::LogLine(Base::LogLevel::Info, "wave-completed").with("wave", number);
            continue;
        }
        const auto active = static_cast<std::size_t>(
            std::count_if(m_transitions.begin(), m_transitions.end(), [n = number](const auto &it) {
                return it.second.wave == n;
            }));
        const Base::Duration timeLeft = wave.announcedAt + wave.duration - WaveReserve - now;
        const double rounds = std::max(1.0, double(timeLeft.count()) / double(UpkeepEstimate.count()));
        const auto requiredConcurrency = static_cast<std::size_t>(std::ceil(double(remaining) / rounds));
        std::sort(
            candidates.begin(), candidates.end(), [&loads](const MachineEntry *a, const MachineEntry *b) {
                return std::tie(loads.at(a->machine.pool), a->machine.id)
                    < std::tie(loads.at(b->machine.pool), b->machine.id);
            });
        std::size_t inProgress = active;
        for (const MachineEntry *it : candidates) {
            const std::string &pool = it->machine.pool;
            const bool isIdle = isStandby(pool) || loads.at(pool) < IdleLoad;
            const std::size_t maxDown = wave.maxDown;
            if (inProgress >= maxDown || (inProgress >= requiredConcurrency && !isIdle)) {
                break;
            }
            Transition transition;
            transition.machine = it->machine.id;
            transition.worker = it->machine.worker;
            transition.from = {pool, it->cell};
            transition.wave = number;
            transition.startedAt = now;
            m_transitions[transition.machine] = transition;
            ++inProgress;
        }
    }
}

} // namespace Machines
