#pragma once

#include <base/timerservice.h>
#include <fleet/fleetstate.h>
#include <fleet/record.h>
#include <platform/httpplatform.h>
#include <policy/planner.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Control
{

/// Runs the zone's planner on this member: claims the planner lease when it is free, runs planner passes,
/// appends their decisions to the log, and requests the recorded reboots from the platform.
class PlannerRunner
{
public:
    /// Appends an event under a term; the term is 0 for events that are not planner decisions.
    using Append = std::function<void(Fleet::Event, Fleet::Offset term)>;

    PlannerRunner(Platform::HttpPlatform &platform,
                  Base::MemberName member,
                  Base::AvailabilityZoneName zone,
                  Append append);

    /// Runs one planner pass. `unresponsiveMembers` are listed as live but have not responded for the
    /// duration of a lease. Must not be called while earlier records of this member are not known to be in
    /// the log.
    void runPass(const Fleet::FleetState &state,
                 const Fleet::Observations &observations,
                 std::span<const Base::MemberName> unresponsiveMembers);

    /// Results of the actions that the platform rejected.
    const std::vector<Fleet::ActionReport> &actionReports() const;

private:
    void claim(const Fleet::FleetState &state,
               const Fleet::Observations &observations,
               std::span<const Base::MemberName> unresponsiveMembers);
    void plan(const Fleet::FleetState &state, const Fleet::Observations &observations, Fleet::Offset term);
    void requestReboots(const Fleet::FleetState &state);
    void onActionOutcome(const Fleet::ActionId &id, const Platform::ActionOutcome &outcome);
    void logWaits(const std::vector<Policy::Deferral> &deferrals);

    Platform::HttpPlatform &m_platform;
    Base::MemberName m_member;
    Base::AvailabilityZoneName m_zone;
    Append m_append;
    Policy::PlannerMemory m_memory;
    Fleet::Offset m_claimedAgainstTerm;
    bool m_hasClaimed = false;
    /// Reboots that the platform accepted or rejected; not requested again.
    std::set<Fleet::ActionId> m_answeredReboots;
    std::set<Fleet::ActionId> m_pendingReboots;
    std::vector<Fleet::ActionReport> m_reports;
    std::map<std::string, std::string> m_lastWaits; ///< reason by subject
    std::shared_ptr<bool> m_lifetimeToken = std::make_shared<bool>(true);
};

} // namespace Control
