#pragma once

#include <base/names.h>
#include <scheduling/requestscheduler.h>
#include <scheduling/slotledger.h>

#include <functional>
#include <vector>

namespace Gateway
{

/// How the target side shares targets' slots with the zone's other entry instances.
struct SlotPort {
    Base::MemberName self;
    Scheduling::SlotSharingLimits limits;

    /// Called on the target side's thread.
    std::function<void(std::vector<Scheduling::OutgoingSlotMessage>)> send;
};

/// A scheduler whose slots can be shared.
template<typename S>
concept SharesSlots = requires(S scheduler,
                               Scheduling::TargetId target,
                               const Scheduling::Allowance &allowance)
{
    scheduler.setAllowance(target, allowance);
    scheduler.usageOf(target);
    scheduler.statistics().pools;
};

} // namespace Gateway
