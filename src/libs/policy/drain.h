#pragma once

#include "passcontext.h"

namespace Policy
{

/// Progress of a drain; the reason states what it still waits for.
struct DrainProgress {
    bool isComplete = false;
    std::string reason;
};

/// A drain is complete when every entry instance that could route requests to `instance` has acknowledged it
/// and no request is in flight there. A member that the platform doesn't list counts as acknowledged once the
/// member has been absent and the drain has been open for longer than the longest deadline. Members that join
/// during a drain must acknowledge it as well.
DrainProgress drainProgress(const PassContext &context,
                            const Fleet::ActionId &id,
                            const Base::InstanceName &instance,
                            const std::set<Base::MemberName> &acknowledgedBy);

/// True if the platform hasn't listed the member for longer than the longest deadline, so that no request
/// from it is in flight.
bool isAbsentPastDeadline(const PassContext &context, const Base::MemberName &member);

/// True if the drain has been open for longer than the longest deadline, so that requests sent before it
/// started have ended.
bool isOpenPastDeadline(const PassContext &context, const Fleet::ActionId &id);

/// Reports a drain that isn't complete, as late if it exceeds the document's time-out. A late drain
/// continues, because ending it would interrupt requests in flight.
void reportIncompleteDrain(PassContext &context,
                           const Fleet::ActionId &id,
                           const Base::InstanceName &instance,
                           const DrainProgress &progress);

} // namespace Policy
