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

/// Runs the zone's planner on this member: claims the lease when it's free, passes, has decisions appended,
/// and carries out on the platform what the record shows as decided under its own term.
class PlannerRunner
{
public:
    /// Appends an event under a term; 0 for what is no planner's decision.
    using Append = std::function<void(Fleet::Event, Fleet::Offset term)>;

    PlannerRunner(Platform::HttpPlatform &platform,
                  Base::MemberName member,
                  Base::AvailabilityZoneName zone,
                  Append append);

    /// One pass. `silentMembers` are listed as live and have not answered for as long as a lease lasts.
    /// Nothing is appended while earlier records of this member are not known to be in the log.
    void pass(const Fleet::FleetState &state,
              const Fleet::Observations &observations,
              std::span<const Base::MemberName> silentMembers);

    /// What the platform said of the actions that it was asked for.
    const std::vector<Fleet::ActionReport> &actionReports() const;

private:
    void claim(const Fleet::FleetState &state,
               const Fleet::Observations &observations,
               std::span<const Base::MemberName> silentMembers);
    void plan(const Fleet::FleetState &state, const Fleet::Observations &observations, Fleet::Offset term);
    void requestReboots(const Fleet::FleetState &state);
    void onAction(const Fleet::ActionId &id, const Platform::ActionOutcome &outcome);
    void logWaits(const std::vector<Policy::Deferral> &deferrals);

    Platform::HttpPlatform &m_platform;
    Base::MemberName m_member;
    Base::AvailabilityZoneName m_zone;
    Append m_append;
    Policy::PlannerMemory m_memory;
    Fleet::Offset m_claimedAfter; ///< the term that the last claim was made against
    bool m_hasClaimed = false;
    std::set<Fleet::ActionId> m_requested; ///< reboots that the platform accepted
    std::set<Fleet::ActionId> m_underWay;
    std::vector<Fleet::ActionReport> m_reports;
    std::map<std::string, std::string> m_lastWaits; ///< reason by subject
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Control
