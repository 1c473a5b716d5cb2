#pragma once

#include "passcontext.h"

namespace Policy
{

/// How far a drain is; the reason names what it still waits for.
struct DrainProgress {
    bool isComplete = false;
    std::string reason;
};

/// A drain is complete when every entry instance that could send work to `instance` has acknowledged it and
/// none has a request in flight there. A member that the platform doesn't list counts as acknowledged once
/// both it has been missing and the drain has been open for the longest deadline. A member that joins while a
/// drain is open acknowledges it too.
DrainProgress drainProgress(const PassContext &context,
                            const Fleet::ActionId &id,
                            const Base::InstanceName &instance,
                            const std::set<Base::MemberName> &acknowledgedBy);

/// The platform hasn't listed the member for the longest deadline: nothing that it sent is in flight.
bool isGoneForLong(const PassContext &context, const Base::MemberName &member);

/// The drain has been open for the longest deadline: what was sent before it began has ended.
bool isOpenForLong(const PassContext &context, const Fleet::ActionId &id);

/// Reports a drain that isn't complete; one that takes longer than the document's timeout is named as late.
/// It goes on all the same: cutting it short would cut requests in flight.
void waitForDrain(PassContext &context,
                  const Fleet::ActionId &id,
                  const Base::InstanceName &instance,
                  const DrainProgress &progress);

} // namespace Policy
