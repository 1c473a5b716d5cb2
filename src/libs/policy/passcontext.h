#pragma once

#include "budget.h"
#include "fleetview.h"
#include "plannermemory.h"

#include <fleet/record.h>

#include <set>
#include <string>
#include <vector>

namespace Policy
{

/// Who plans: one member, for one zone, under the term of its lease.
struct PlannerIdentity {
    Base::MemberName member;
    Base::AvailabilityZoneName zone;
    Fleet::Offset term;

    bool operator==(const PlannerIdentity &) const = default;
};

/// An event to append, and why, with the numbers that decided it.
struct Decision {
    Fleet::Event event;
    std::string reason;

    bool operator==(const Decision &) const = default;
};

/// Something that was wanted and didn't happen in this pass, and why.
struct Wait {
    std::string subject;
    std::string reason;

    bool operator==(const Wait &) const = default;
};

/// What the planners of one pass share: what they see, what they remember, and what they have decided so far.
class PassContext
{
public:
    /// `state` and `observations` outlive the context. `memory` already has the observed reports.
    PassContext(const Fleet::FleetState &state,
                const Fleet::Observations &observations,
                PlannerIdentity identity,
                PlannerMemory memory);
    PassContext(const PassContext &) = delete;
    PassContext &operator=(const PassContext &) = delete;

    const Fleet::FleetState &state;
    const Fleet::Observations &observations;
    const PlannerIdentity identity;
    PlannerMemory memory;
    const FleetView view;
    Budget budget;
    std::vector<Decision> decisions;
    std::vector<Wait> waits;

    Base::Instant now() const
    {
        return observations.at;
    }
    /// The same for the same pass over the same state; a decision made twice is the same action.
    Fleet::ActionId nextActionId();
    void decide(Fleet::Event event, std::string reason);
    void wait(std::string subject, std::string reason);
    /// An open action of this zone that was decided on in this pass already.
    bool hasDecidedOn(const Fleet::ActionId &id) const;
    void markDecided(const Fleet::ActionId &id);
    /// In an open action, or decided on in this pass.
    bool isTaken(const InstanceView &instance) const;
    void take(const Base::InstanceName &instance);

private:
    std::uint64_t m_actions = 0;
    std::set<Fleet::ActionId> m_decided;
    std::set<Base::InstanceName> m_taken;
};

/// The document's longest deadline over all services: no request in flight is older.
Document::Milliseconds longestDeadline(const Document::Document &document);

} // namespace Policy
