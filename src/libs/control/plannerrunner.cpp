#include "plannerrunner.h"

#include <base/logline.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace Control
{

PlannerRunner::PlannerRunner(Platform::HttpPlatform &platform,
                             Base::MemberName member,
                             Base::AvailabilityZoneName zone,
                             Append append)
    : m_platform(platform)
    , m_member(std::move(member))
    , m_zone(std::move(zone))
    , m_append(std::move(append))
{
}

void PlannerRunner::runPass(const Fleet::FleetState &state,
                            const Fleet::Observations &observations,
                            std::span<const Base::MemberName> unresponsiveMembers)
{
    const auto lease = state.planners.find(m_zone);
    const bool isHolder = lease != state.planners.end() && lease->second.holder == m_member;
    if (!isHolder) {
        claim(state, observations, unresponsiveMembers);
        return;
    }
    plan(state, observations, lease->second.term);
    requestReboots(state);
}

const std::vector<Fleet::ActionReport> &PlannerRunner::actionReports() const
{
    return m_reports;
}

// A lease holder that is listed as live but does not respond may be frozen. Superseding it is safe, since its
// later decisions carry an older term. Drains still wait for it, because only the claim excludes it from the
// live members.
void PlannerRunner::claim(const Fleet::FleetState &state,
                          const Fleet::Observations &observations,
                          std::span<const Base::MemberName> unresponsiveMembers)
{
    Fleet::Observations reachable = observations;
    std::erase_if(reachable.liveMembers, [&](const Base::MemberName &it) {
        return std::find(unresponsiveMembers.begin(), unresponsiveMembers.end(), it)
            != unresponsiveMembers.end();
    });
    const Fleet::Offset term = Fleet::currentTerm(state);
    if (m_hasClaimed && m_claimedAgainstTerm == term) {
        return;
    }
    const auto decision = Policy::claimLease(state, reachable, m_member, m_zone);
    if (!decision) {
        return;
    }
    m_hasClaimed = true;
    m_claimedAgainstTerm = term;
    Base::LogLine(Base::LogLevel::Info, "planner-claim")
        .with("term", term.value)
        .with("reason", decision->reason);
    m_append(decision->event, Fleet::Offset{});
}

void PlannerRunner::plan(const Fleet::FleetState &state,
                         const Fleet::Observations &observations,
                         Fleet::Offset term)
{
    Policy::PlanResult pass = Policy::plan(state, observations, m_memory, {m_member, m_zone, term});
    const Policy::PlannerMemory previousMemory = std::exchange(m_memory, std::move(pass.memory));
    logWaits(pass.deferrals);
    if (pass.decisions.empty()) {
        return;
    }
    m_append(Fleet::PlannerObserved{observations, state.appliedTo, previousMemory}, term);
    for (auto &it : pass.decisions) {
        Base::LogLine(Base::LogLevel::Info, "planner-decision")
            .with("term", term.value)
            .with("reason", it.reason);
        m_append(std::move(it.event), term);
    }
}

// Requests only reboots that were read back from the log while this member holds the lease. The action ID is
// taken from the record, so a retry after a lost response refers to the same action.
void PlannerRunner::requestReboots(const Fleet::FleetState &state)
{
    for (const auto &[id, it] : state.maintenances) {
        const auto instance = state.instances.find(it.instance);
        const bool isRequestDue = instance != state.instances.end()
            && instance->second.phase == Fleet::InstancePhase::Rebooting && !m_answeredReboots.contains(id)
            && !m_pendingReboots.contains(id);
        if (!isRequestDue) {
            continue;
        }
        m_pendingReboots.insert(id);
        m_platform.act({id.value, Platform::ActionKind::Reboot, it.instance.value},
                       [this, lifetime = std::weak_ptr(m_lifetimeToken), action = id](const auto &outcome) {
                           if (lifetime.lock()) {
                               onActionOutcome(action, outcome);
                           }
                       });
    }
}

void PlannerRunner::onActionOutcome(const Fleet::ActionId &id, const Platform::ActionOutcome &outcome)
{
    m_pendingReboots.erase(id);
    if (std::holds_alternative<Platform::ActionAccepted>(outcome)) {
        m_answeredReboots.insert(id);
    } else if (const auto *rejected = std::get_if<Platform::ActionRejected>(&outcome)) {
        m_answeredReboots.insert(id);
        m_reports.push_back({id, Fleet::ActionResult::Rejected, rejected->reason});
        std::sort(m_reports.begin(), m_reports.end(), [](const auto &a, const auto &b) {
            return a.action < b.action;
        });
    }
}

void PlannerRunner::logWaits(const std::vector<Policy::Deferral> &deferrals)
{
    std::map<std::string, std::string> now;
    for (const auto &it : deferrals) {
        const auto last = m_lastWaits.find(it.subject);
        if (last == m_lastWaits.end()) {
            Base::LogLine(Base::LogLevel::Info, "planner-waits")
                .with("subject", it.subject)
                .with("reason", it.reason);
        }
        now[it.subject] = it.reason;
    }
    m_lastWaits = std::move(now);
}

} // namespace Control
