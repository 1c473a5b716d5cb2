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

/// The member that plans for a zone, and the term of its lease.
struct PlannerIdentity {
    Base::MemberName member;
    Base::AvailabilityZoneName zone;
    Fleet::Offset term;

    bool operator==(const PlannerIdentity &) const = default;
};

/// An event to append and the reason for it, including the numbers that it is based on.
struct Decision {
    Fleet::Event event;
    std::string reason;

    bool operator==(const Decision &) const = default;
};

/// An action that was due but not taken in this pass, and the reason.
struct Deferral {
    std::string subject;
    std::string reason;

    bool operator==(const Deferral &) const = default;
};

/// State shared by the planners of one pass: their input, their memory and the decisions made so far.
class PassContext
{
public:
    /// `state` and `observations` must outlive the context. `memory` must already include the observed
    /// reports.
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
    std::vector<Deferral> deferrals;

    Base::Instant now() const
    {
        return observations.at;
    }
    /// Deterministic: a repeated pass over the same state produces the same ids, so that a decision made
    /// twice denotes the same action.
    Fleet::ActionId nextActionId();
    void decide(Fleet::Event event, std::string reason);
    void defer(std::string subject, std::string reason);
    /// True if this pass has already made a decision on the open action.
    bool hasDecidedOn(const Fleet::ActionId &id) const;
    void markDecided(const Fleet::ActionId &id);
    /// True if the instance is part of an open action or was selected for one in this pass.
    bool isReserved(const InstanceView &instance) const;
    void reserve(const Base::InstanceName &instance);

private:
    std::uint64_t m_actionCount = 0;
    std::set<Fleet::ActionId> m_decided;
    std::set<Base::InstanceName> m_reserved;
};

/// The longest deadline of all services; no request in flight is older.
Document::Milliseconds longestDeadline(const Document::Document &document);

} // namespace Policy
