#include "drain.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace Policy
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Members of this zone, and those that the platform lists but that haven't joined: their zone is unknown.
std::set<Base::MemberName> routingMembers(const PassContext &context)
{
    std::set<Base::MemberName> members;
    for (const auto &[name, member] : context.state.members) {
        if (member.zone == context.identity.zone) {
            members.insert(name);
        }
    }
    for (const Base::MemberName &it : context.observations.liveMembers) {
        if (!context.state.members.contains(it)) {
            members.insert(it);
        }
    }
    return members;
}

} // namespace

bool isAbsentPastDeadline(const PassContext &context, const Base::MemberName &member)
{
    const auto it = context.memory.absentSince.find(member);
    return it != context.memory.absentSince.end()
        && context.now() - it->second > longestDeadline(context.state.document);
}

// The platform's list lags behind: a member that it doesn't list (yet) may be alive. Such a member also stops
// sending requests when it reads the start of the drain, but earlier requests may still be in flight.
bool isOpenPastDeadline(const PassContext &context, const Fleet::ActionId &id)
{
    const auto it = context.memory.actions.find(id);
    return it != context.memory.actions.end()
        && context.now() - it->second.firstSeen > longestDeadline(context.state.document);
}

DrainProgress drainProgress(const PassContext &context,
                            const Fleet::ActionId &id,
                            const Base::InstanceName &instance,
                            const std::set<Base::MemberName> &acknowledgedBy)
{
    std::size_t missing = 0;
    std::string first;
    for (const Base::MemberName &it : routingMembers(context)) {
        const bool isExpired = isAbsentPastDeadline(context, it) && isOpenPastDeadline(context, id);
        if (!acknowledgedBy.contains(it) && !isExpired) {
            first = missing == 0 ? it.value : first;
            ++missing;
        }
    }
    if (missing > 0) {
        return {false, fmt::format("{} members have not acknowledged, the first is {}", missing, first)};
    }
    const InstanceView *view = context.view.find(instance);
    if (view && view->inFlight > 0) {
        return {false, fmt::format("{} requests are in flight", view->inFlight)};
    }
    return {true, fmt::format("all {} members acknowledged, no request in flight", acknowledgedBy.size())};
}

void reportIncompleteDrain(PassContext &context,
                           const Fleet::ActionId &id,
                           const Base::InstanceName &instance,
                           const DrainProgress &progress)
{
    const auto it = context.memory.actions.find(id);
    const auto waited =
        it == context.memory.actions.end() ? Base::Duration{0} : context.now() - it->second.firstSeen;
    const auto timeout = context.state.document.maintenance.drainTimeout;
    std::string reason = progress.reason;
    if (waited > timeout) {
        reason += fmt::format("; late: {} ms of at most {} ms, still waiting, nothing in flight is cut",
                              duration_cast<milliseconds>(waited).count(),
                              timeout.count());
    }
    context.defer(fmt::format("drain of {}", instance.value), std::move(reason));
}

} // namespace Policy
