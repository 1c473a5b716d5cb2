#include "wavesimulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace
{

constexpr int SimulatedSeconds = 7200;
constexpr int PassPeriod = 5;
constexpr int ListLag = 10;
constexpr std::chrono::minutes BaselineRebootTimeout(10);
constexpr int Never = SimulatedSeconds * 2;

/// Actual state of one machine; the platform's list shows it with a delay.
struct Machine {
    int downUntil = 0;
    int downSince = 0;
    int inFlight = 0;
    bool hasFailedReboot = false;

    bool isUp(int now) const
    {
        return now >= downUntil;
    }
};

class WaveSimulation
{
public:
    WaveSimulation(std::uint64_t seed, const WaveFaults &faults)
        : m_random(seed)
        , m_faults(faults)
        , m_model(FleetShape{})
        , m_nextRackLoss(between(200, 600))
        , m_remainingGoodReboots(between(0, 12))
    {
        Document::Maintenance &maintenance = m_model.state.document.maintenance;
        maintenance.maxConcurrent = 5;
        maintenance.wave = {poolName(0), poolName(1)};
        maintenance.waveNumber = 1;
        for (const auto &[name, it] : m_model.state.instances) {
            m_machines[name] = {};
        }
    }

    WaveOutcome run(const WavePlanner &planner)
    {
        for (m_now = 1; m_now < SimulatedSeconds; ++m_now) {
            failRack();
            serve();
            if (m_now % PassPeriod == 0) {
                passOnce(planner);
            }
            updateOutcome();
        }
        const Fleet::Wave &wave = m_model.state.waves.begin()->second;
        m_outcome.isFinished = wave.phase == Fleet::WavePhase::Finished;
        m_outcome.isStopped = wave.phase == Fleet::WavePhase::Stopped;
        m_outcome.rebooted = wave.done.size();
        return m_outcome;
    }

private:
    int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }

    void failRack()
    {
        if (!m_faults.hasRackFailures || m_now != m_nextRackLoss) {
            return;
        }
        const std::string rack = fmt::format("r{:03}", between(0, 3));
        const int until = m_now + between(60, 300);
        m_nextRackLoss = until + between(120, 900);
        for (auto &[name, machine] : m_machines) {
            if (m_model.state.instances.at(name).declared.rack.value == rack && machine.isUp(m_now)) {
                machine.downUntil = until;
                machine.downSince = m_now;
            }
        }
    }

    /// Changes the requests in flight at random. On draining instances they only decrease; the drain is
    /// acknowledged once there are none.
    void serve()
    {
        for (auto &[name, machine] : m_machines) {
            const bool isServing = m_model.state.instances.at(name).phase == Fleet::InstancePhase::Serving;
            machine.inFlight = isServing ? between(0, 8) : std::max(0, machine.inFlight - between(0, 2));
        }
        for (auto &[id, maintenance] : m_model.state.maintenances) {
            if (m_machines.at(maintenance.instance).inFlight == 0 && between(0, 3) == 0) {
                maintenance.acknowledgedBy = {{"m0"}, {"m1"}};
            }
        }
    }

    void passOnce(const WavePlanner &planner)
    {
        observe();
        for (const Fleet::Event &event : planner(m_model)) {
            if (const auto *reboot = std::get_if<Fleet::RebootRequested>(&event)) {
                beginReboot(m_model.state.maintenances.at(reboot->id).instance);
            }
            m_model.apply(event);
        }
        ++m_model.state.appliedTo.value;
    }

    void observe()
    {
        m_model.observations.at = Base::instantAt(std::chrono::seconds(m_now));
        for (const auto &[name, machine] : m_machines) {
            const int seen = m_now - ListLag;
            const bool isDown = seen >= machine.downSince && !machine.isUp(seen);
            Fleet::InstanceReport &report = m_model.report(name);
            report.state = isDown ? Fleet::PlatformState::Gone : Fleet::PlatformState::Live;
            report.inFlight = static_cast<std::uint32_t>(machine.inFlight);
        }
        m_model.observations.actions.clear();
        for (const auto &[id, it] : m_model.state.maintenances) {
            const bool isRebooting =
                m_model.state.instances.at(it.instance).phase == Fleet::InstancePhase::Rebooting;
            if (isRebooting && m_machines.at(it.instance).isUp(m_now)) {
                m_model.observations.actions.push_back({id, Fleet::ActionResult::Completed, {}});
            }
        }
    }

    void beginReboot(const Base::InstanceName &name)
    {
        Machine &machine = m_machines.at(name);
        m_outcome.interruptedRequests += static_cast<std::size_t>(machine.inFlight);
        machine.inFlight = 0;
        machine.downSince = m_now;
        const bool isBad = m_faults.hasFailingReboots && --m_remainingGoodReboots < 0 && between(0, 9) < 7;
        machine.downUntil = isBad ? Never : std::max(machine.downUntil, m_now + between(20, 90));
        machine.hasFailedReboot = isBad;
        m_outcome.failedReboots += isBad ? 1 : 0;
    }

    void updateOutcome()
    {
        m_outcome.maxInMaintenance = std::max(m_outcome.maxInMaintenance, m_model.state.maintenances.size());
        for (const Document::Service &service : m_model.state.document.services) {
            std::int64_t declared = 0;
            std::int64_t available = 0;
            std::int64_t stopped = 0;
            for (const auto &[name, it] : m_model.state.instances) {
                if (it.pool != service.pool) {
                    continue;
                }
                const Machine &machine = m_machines.at(name);
                const bool isPlanned = it.action || machine.hasFailedReboot;
                declared += it.declared.slots;
                available += !isPlanned && machine.isUp(m_now) ? it.declared.slots : 0;
                stopped += isPlanned ? it.declared.slots : 0;
            }
            const std::int64_t floor = (declared * service.zoneAvailability + 999) / 1000;
            m_outcome.violationSeconds += available < floor && available + stopped >= floor ? 1 : 0;
        }
    }

    std::mt19937_64 m_random;
    WaveFaults m_faults;
    FleetModel m_model;
    std::map<Base::InstanceName, Machine> m_machines;
    WaveOutcome m_outcome;
    int m_now = 0;
    int m_nextRackLoss;
    int m_remainingGoodReboots;
};

bool isCompleted(const FleetModel &model, const Fleet::ActionId &id)
{
    const auto &actions = model.observations.actions;
    return std::any_of(
        actions.begin(), actions.end(), [&id](const Fleet::ActionReport &it) { return it.action == id; });
}

} // namespace

WaveOutcome simulateWave(std::uint64_t seed, const WaveFaults &faults, const WavePlanner &planner)
{
    return WaveSimulation(seed, faults).run(planner);
}

std::vector<Fleet::Event> planByPolicy(FleetModel &model)
{
    Policy::PlanResult pass = Policy::plan(model.state, model.observations, model.memory, model.identity);
    model.memory = pass.memory;
    std::vector<Fleet::Event> events;
    for (const Policy::Decision &it : pass.decisions) {
        events.push_back(it.event);
    }
    return events;
}

std::vector<Fleet::Event> planByCount(FleetModel &model)
{
    const Document::Maintenance &requested = model.state.document.maintenance;
    if (model.state.waves.empty()) {
        return {Fleet::WaveStarted{{"w"}, requested.waveNumber, model.identity.zone, {}}};
    }
    const Fleet::Wave &wave = model.state.waves.begin()->second;
    std::vector<Fleet::Event> events;
    for (const auto &[id, it] : model.state.maintenances) {
        const auto since = model.memory.actions.try_emplace(id).first;
        if (model.state.instances.at(it.instance).phase == Fleet::InstancePhase::Draining) {
            since->second.firstSeen = model.observations.at;
            if (it.acknowledgedBy.size() == model.state.members.size()) {
                events.emplace_back(Fleet::RebootRequested{id});
            }
        } else if (isCompleted(model, id)) {
            events.emplace_back(Fleet::MaintenanceEnded{id, true, {}});
        } else if (model.observations.at - since->second.firstSeen > BaselineRebootTimeout) {
            events.emplace_back(Fleet::MaintenanceEnded{id, false, {}});
        }
    }
    std::size_t open = model.state.maintenances.size();
    for (const auto &[name, it] : model.state.instances) {
        const bool isProcessed = wave.done.contains(name) || wave.failed.contains(name);
        if (open < requested.maxConcurrent && !it.action && !isProcessed) {
            events.emplace_back(Fleet::MaintenanceStarted{{name.value}, wave.id, name, {}});
            ++open;
        }
    }
    return events;
}
