#include "fleetmodel.h"

#include <fmt/format.h>

#include <algorithm>

using namespace std::chrono_literals;

namespace
{

template<typename... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace

Base::AvailabilityZoneName zoneName(std::size_t n)
{
    return {fmt::format("z{:02}", n)};
}

Base::PoolName poolName(std::size_t n)
{
    return {fmt::format("p{:03}", n)};
}

Document::Document makeDocument(const FleetShape &shape)
{
    Document::Document document;
    for (std::size_t pool = 0; pool < shape.pools; ++pool) {
        const bool isSpare = shape.hasSpare && pool + 1 == shape.pools;
        document.pools.push_back({poolName(pool), isSpare});
        Document::Service service;
        service.name = {poolName(pool).value};
        service.pool = poolName(pool);
        service.deadline = 2s;
        service.availability = shape.availability;
        service.zoneAvailability = shape.zoneAvailability;
        document.services.push_back(service);
    }
    for (std::size_t zone = 0; zone < shape.zones; ++zone) {
        document.zones.push_back(zoneName(zone));
        for (std::size_t n = 0; n < shape.pools * shape.instancesPerPool + shape.spareExtra; ++n) {
            Document::Instance it;
            it.name = {fmt::format("{}-i{:05}", zoneName(zone).value, n)};
            it.zone = zoneName(zone);
            it.rack = {fmt::format("r{:03}", n % shape.racks)};
            it.slots = shape.slots;
            it.pool = poolName(std::min(n / shape.instancesPerPool, shape.pools - 1));
            document.instances.push_back(it);
        }
    }
    document.maintenance.drainTimeout = 30s;
    return document;
}

FleetModel::FleetModel(const FleetShape &shape, std::size_t members)
{
    state.document = makeDocument(shape);
    state.appliedTo = {1};
    identity = {{"m0"}, zoneName(0), {1}};
    for (const Document::Instance &it : state.document.instances) {
        if (it.zone == identity.zone) {
            state.instances[it.name] = {it, Fleet::InstancePhase::Serving, it.pool, {}};
        }
    }
    for (std::size_t n = 0; n < members; ++n) {
        const Base::MemberName name{fmt::format("m{}", n)};
        state.members[name] = {name, identity.zone, {1}, {1}};
        observations.liveMembers.push_back(name);
    }
    state.planners[identity.zone] = {identity.zone, identity.member, identity.term};
}

void FleetModel::end(const Fleet::ActionId &id, Fleet::InstancePhase phase, bool isSuccessful)
{
    if (const auto move = state.moves.find(id); move != state.moves.end()) {
        Fleet::InstanceState &it = state.instances.at(move->second.instance);
        it.phase = phase;
        it.action.reset();
        state.moves.erase(move);
        return;
    }
    const Fleet::Maintenance maintenance = state.maintenances.at(id);
    Fleet::InstanceState &it = state.instances.at(maintenance.instance);
    const bool isGivenUp =
        it.phase == Fleet::InstancePhase::Draining && phase != Fleet::InstancePhase::Failed;
    it.phase = phase;
    it.action.reset();
    state.maintenances.erase(id);
    const auto wave = state.waves.find(maintenance.wave);
    if (wave != state.waves.end() && !isGivenUp) {
        (isSuccessful ? wave->second.done : wave->second.failed).insert(maintenance.instance);
    }
}

void FleetModel::apply(const Fleet::Event &event)
{
    ++state.appliedTo.value;
    const auto drain = [this](const Base::InstanceName &name, const Fleet::ActionId &id) {
        Fleet::InstanceState &it = state.instances.at(name);
        it.phase = Fleet::InstancePhase::Draining;
        it.action = id;
    };
    const auto wave = [this](const Fleet::ActionId &id) -> Fleet::Wave & {
        return state.waves.at(id);
    };
    std::visit(
        Overloaded{
            [&](const Fleet::MoveStarted &it) {
                drain(it.instance, it.id);
                state.moves[it.id] = {it.id, it.instance, it.from, it.to, {}, state.appliedTo, {}};
            },
            [&](const Fleet::MoveCommitted &it) {
                const Fleet::Move move = state.moves.at(it.id);
                state.instances.at(move.instance).pool = move.to;
                end(it.id, Fleet::InstancePhase::Serving, true);
            },
            [&](const Fleet::MoveAborted &it) { end(it.id, Fleet::InstancePhase::Serving, false); },
            [&](const Fleet::WaveStarted &it) {
                state.waves = {{it.id, {it.id, it.number, it.zone, Fleet::WavePhase::Running, {}, {}, {}}}};
            },
            [&](const Fleet::MaintenanceStarted &it) {
                drain(it.instance, it.id);
                state.maintenances[it.id] = {
                    it.id, it.wave, it.instance, Fleet::MaintenancePhase::Draining, state.appliedTo, {}};
            },
            [&](const Fleet::RebootRequested &it) {
                state.instances.at(state.maintenances.at(it.id).instance).phase =
                    Fleet::InstancePhase::Rebooting;
            },
            [&](const Fleet::MaintenanceEnded &it) {
                const auto phase = state.instances.at(state.maintenances.at(it.id).instance).phase;
                const bool serves = it.isSuccessful || phase == Fleet::InstancePhase::Draining;
                end(it.id,
                    serves ? Fleet::InstancePhase::Serving : Fleet::InstancePhase::Failed,
                    it.isSuccessful);
            },
            [&](const Fleet::WaveStopped &it) {
                wave(it.id).phase = Fleet::WavePhase::Stopped;
                wave(it.id).stopReason = it.reason;
            },
            [&](const Fleet::WaveFinished &it) { wave(it.id).phase = Fleet::WavePhase::Finished; },
            [&](const Fleet::InstanceFailed &it) {
                Fleet::InstanceState &failed = state.instances.at(it.instance);
                if (failed.action) {
                    end(*failed.action, Fleet::InstancePhase::Failed, false);
                }
                failed.phase = Fleet::InstancePhase::Failed;
            },
            [&](const Fleet::InstanceRecovered &it) {
                state.instances.at(it.instance).phase = Fleet::InstancePhase::Serving;
            },
            [&](const Fleet::MemberLeft &it) { state.members.erase(it.member); },
            [](const auto &) {
            }},
        event);
}

void FleetModel::acknowledgeDrains()
{
    for (const auto &[name, member] : state.members) {
        for (auto &[id, move] : state.moves) {
            move.acknowledgedBy.insert(name);
        }
        for (auto &[id, maintenance] : state.maintenances) {
            maintenance.acknowledgedBy.insert(name);
        }
    }
    ++state.appliedTo.value;
}

Policy::PlanResult FleetModel::pass(double seconds)
{
    const auto at = std::chrono::duration<double>(seconds);
    observations.at = Base::instantAt(std::chrono::duration_cast<Base::Duration>(at));
    Policy::PlanResult pass = Policy::plan(state, observations, memory, identity);
    memory = pass.memory;
    for (const Policy::Decision &it : pass.decisions) {
        apply(it.event);
    }
    return pass;
}

Fleet::InstanceReport &FleetModel::report(const Base::InstanceName &instance)
{
    auto &reports = observations.instances;
    auto it = std::lower_bound(reports.begin(), reports.end(), instance, [](const auto &a, const auto &b) {
        return a.instance < b;
    });
    if (it == reports.end() || it->instance != instance) {
        Fleet::InstanceReport first;
        first.instance = instance;
        it = reports.insert(it, first);
    }
    return *it;
}

Fleet::InstanceState &FleetModel::instance(std::string_view name)
{
    return state.instances.at({std::string(name)});
}
