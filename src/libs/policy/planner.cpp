#include "planner.h"

#include "healthplanner.h"
#include "moveplanner.h"
#include "waveplanner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Policy
{

namespace
{

const Fleet::PlannerLease *findLease(const Fleet::FleetState &state, const Base::AvailabilityZoneName &zone)
{
    const auto it = state.planners.find(zone);
    return it == state.planners.end() ? nullptr : &it->second;
}

bool isLive(const Fleet::Observations &observations, const Base::MemberName &member)
{
    return std::binary_search(observations.liveMembers.begin(), observations.liveMembers.end(), member);
}

void mergeReports(std::vector<Fleet::InstanceReport> &known, std::span<const Fleet::InstanceReport> observed)
{
    std::vector<Fleet::InstanceReport> merged;
    merged.reserve(known.size() + observed.size());
    auto it = known.begin();
    for (const Fleet::InstanceReport &report : observed) {
        while (it != known.end() && it->instance < report.instance) {
            merged.push_back(std::move(*it++));
        }
        if (it != known.end() && it->instance == report.instance) {
            ++it;
        }
        merged.push_back(report);
    }
    std::move(it, known.end(), std::back_inserter(merged));
    known = std::move(merged);
}

void removeObsoleteReports(std::vector<Fleet::InstanceReport> &reports, const Fleet::FleetState &state)
{
    std::erase_if(reports, [&state](const Fleet::InstanceReport &it) {
        return !state.instances.contains(it.instance);
    });
}

void updateAbsences(PlannerMemory &memory,
                    const Fleet::FleetState &state,
                    const Fleet::Observations &observations)
{
    std::erase_if(memory.absentSince, [&](const auto &it) {
        return !state.members.contains(it.first) || isLive(observations, it.first);
    });
    for (const auto &[name, member] : state.members) {
        if (!isLive(observations, name)) {
            memory.absentSince.try_emplace(name, observations.at);
        }
    }
}

bool isDown(const PlannerMemory &memory, const Base::InstanceName &instance)
{
    const Fleet::InstanceReport *report = findReport(memory.reports, instance);
    return report && report->state != Fleet::PlatformState::Live;
}

/// The reboot time-out restarts while the platform is unreachable: time without its reports doesn't count.
void updateActions(PlannerMemory &memory,
                   const Fleet::FleetState &state,
                   const Fleet::Observations &observations)
{
    const Base::Instant now = observations.at;
    std::erase_if(memory.actions, [&state](const auto &it) {
        return !state.moves.contains(it.first) && !state.maintenances.contains(it.first);
    });
    for (const auto &[id, move] : state.moves) {
        memory.actions.try_emplace(id, ActionMemory{.firstSeen = now, .rebootSeen = {}});
    }
    for (const auto &[id, maintenance] : state.maintenances) {
        ActionMemory &action =
            memory.actions.try_emplace(id, ActionMemory{.firstSeen = now, .rebootSeen = {}}).first->second;
        const auto instance = state.instances.find(maintenance.instance);
        if (instance != state.instances.end() && instance->second.phase == Fleet::InstancePhase::Rebooting) {
            action.rebootSeen = observations.isPlatformReachable ? action.rebootSeen.value_or(now) : now;
            action.wasDown |= isDown(memory, maintenance.instance);
        }
    }
}

/// Tracks only instances that are unhealthy or recorded as failed.
void updateHealth(PlannerMemory &memory, const Fleet::FleetState &state, Base::Instant now)
{
    std::map<Base::InstanceName, HealthMemory> health;
    for (const auto &[name, instance] : state.instances) {
        const Fleet::InstanceReport *report = findReport(memory.reports, name);
        const bool isHealthy = !report || (report->state == Fleet::PlatformState::Live && !report->isEjected);
        if (isHealthy && instance.phase != Fleet::InstancePhase::Failed) {
            continue;
        }
        const auto it = memory.health.find(name);
        const bool isSame = it != memory.health.end() && it->second.isHealthy == isHealthy;
        health.emplace(name, isSame ? it->second : HealthMemory{isHealthy, now});
    }
    memory.health = std::move(health);
}

/// Observations update the memory even in passes that may not decide anything. While the platform is
/// unreachable its member list is not current, so the absence times of members start anew afterwards.
PlannerMemory updatedMemory(const PlannerMemory &memory,
                            const Fleet::FleetState &state,
                            const Fleet::Observations &observations,
                            const PlannerIdentity &identity)
{
    PlannerMemory next = memory.term == identity.term ? memory : PlannerMemory{};
    next.term = identity.term;
    mergeReports(next.reports, observations.instances);
    removeObsoleteReports(next.reports, state);
    if (observations.isPlatformReachable) {
        updateAbsences(next, state, observations);
    } else {
        next.absentSince.clear();
    }
    updateActions(next, state, observations);
    updateHealth(next, state, observations.at);
    return next;
}

std::optional<std::string> blockingReason(const Fleet::FleetState &state,
                                          const Fleet::Observations &observations,
                                          const PlannerMemory &memory,
                                          const PlannerIdentity &identity)
{
    const Fleet::PlannerLease *lease = findLease(state, identity.zone);
    if (!lease || lease->holder != identity.member || lease->term != identity.term) {
        return fmt::format("the lease is held by {} under term {}, not by {} under term {}",
                           lease ? lease->holder.value : "nobody",
                           lease ? lease->term.value : 0,
                           identity.member.value,
                           identity.term.value);
    }
    if (!observations.isPlatformReachable) {
        return "the platform is not reachable";
    }
    if (!observations.arePeersReachable) {
        return fmt::format("not all members of zone {} are reachable", identity.zone.value);
    }
    if (memory.lastDecisionOffset == state.appliedTo) {
        return fmt::format("the decisions made at offset {} have not been read back", state.appliedTo.value);
    }
    return {};
}

} // namespace

PlanResult plan(const Fleet::FleetState &state,
                const Fleet::Observations &observations,
                const PlannerMemory &memory,
                const PlannerIdentity &identity)
{
    PassContext context(state, observations, identity, updatedMemory(memory, state, observations, identity));
    trackDemand(context);
    if (const auto reason = blockingReason(state, observations, context.memory, identity)) {
        context.defer(fmt::format("planner of zone {}", identity.zone.value), *reason);
        return {{}, std::move(context.deferrals), std::move(context.memory)};
    }
    planHealth(context);
    planWave(context);
    planMoves(context);
    if (!context.decisions.empty()) {
        context.memory.lastDecisionOffset = state.appliedTo;
    }
    return {std::move(context.decisions), std::move(context.deferrals), std::move(context.memory)};
}

std::optional<Decision> claimLease(const Fleet::FleetState &state,
                                   const Fleet::Observations &observations,
                                   const Base::MemberName &member,
                                   const Base::AvailabilityZoneName &zone)
{
    const Fleet::PlannerLease *lease = findLease(state, zone);
    if (!observations.isPlatformReachable || (lease && isLive(observations, lease->holder))) {
        return {};
    }
    const Fleet::Offset previous = lease ? lease->term : Fleet::Offset{};
    const std::string reason = lease
        ? fmt::format("the platform doesn't list {}, holder of term {}", lease->holder.value, previous.value)
        : fmt::format("nobody plans for zone {}", zone.value);
    return Decision{Fleet::PlannerClaimed{zone, member, previous}, reason};
}

} // namespace Policy
