#pragma once

#include <base/names.h>
#include <scheduling/requestscheduler.h>
#include <scheduling/slotledger.h>

#include <functional>
#include <vector>

namespace Gateway
{

/// Connects the target side to the other entry instances of the zone, with which it shares the targets'
/// slots.
struct SlotPort {
    Base::MemberName self;
    Scheduling::SlotSharingLimits limits;

    /// Sends messages to the other instances. Called on the target side's thread.
    std::function<void(std::vector<Scheduling::OutgoingSlotMessage>)> send;
};

/// A scheduler that can share slots with those of other instances.
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
