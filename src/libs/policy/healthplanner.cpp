#include "healthplanner.h"

#include "drain.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace Policy
{

namespace
{

using namespace std::chrono_literals;

/// An instance that stays ejected for this long is recorded as failed.
constexpr Base::Duration EjectionGrace = 30s;
/// A failed instance that has been healthy for this long is recorded as recovered.
constexpr Base::Duration RecoveryGrace = 30s;

auto secondsOf(Base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
}

Base::Duration timeInHealthState(const PassContext &context, const InstanceView &instance)
{
    const auto it = context.memory.health.find(instance.name());
    return it == context.memory.health.end() ? Base::Duration{0} : context.now() - it->second.since;
}

void markFailed(PassContext &context, const InstanceView &instance, const std::string &reason)
{
    context.reserve(instance.name());
    if (instance.state->action) {
        context.markDecided(*instance.state->action);
    }
    context.decide(Fleet::InstanceFailed{instance.name(), reason}, reason);
}

void planEjected(PassContext &context, const InstanceView &instance)
{
    const Base::Duration ejected = timeInHealthState(context, instance);
    if (ejected < EjectionGrace) {
        return;
    }
    // If a whole pool is ejected, the fault is probably elsewhere. Its instances aren't recorded as failed;
    // the entry instances keep retrying them.
    const BudgetCheck budget = context.budget.checkPool(instance.state->pool);
    if (!budget.isAllowed) {
        context.defer(fmt::format("failure of {}", instance.name().value), budget.reason);
        return;
    }
    markFailed(context, instance, fmt::format("ejected for {} s", secondsOf(ejected)));
}

void planFailed(PassContext &context, const InstanceView &instance)
{
    const Base::Duration healthy = timeInHealthState(context, instance);
    if (instance.isHealthy() && healthy >= RecoveryGrace) {
        const std::string reason = fmt::format("live and not ejected for {} s", secondsOf(healthy));
        context.decide(Fleet::InstanceRecovered{instance.name(), reason}, reason);
    }
}

/// True if an open action lacks the member's acknowledgement and the member may have requests in flight
/// there.
bool isDrainPending(const PassContext &context, const Base::MemberName &member)
{
    const auto deferrals = [&](const auto &it) {
        return !it.second.acknowledgedBy.contains(member) && !isOpenPastDeadline(context, it.first);
    };
    return std::any_of(context.state.moves.begin(), context.state.moves.end(), deferrals)
        || std::any_of(context.state.maintenances.begin(), context.state.maintenances.end(), deferrals);
}

void planMembers(PassContext &context)
{
    const auto deadline = longestDeadline(context.state.document);
    for (const auto &[name, member] : context.state.members) {
        const bool isInZone = member.zone == context.identity.zone;
        if (isInZone && isAbsentPastDeadline(context, name) && !isDrainPending(context, name)) {
            const std::string reason =
                fmt::format("the platform has not listed it for longer than {} ms", deadline.count());
            context.decide(Fleet::MemberLeft{name, reason}, reason);
        }
    }
}

} // namespace

void planHealth(PassContext &context)
{
    planMembers(context);
    for (const InstanceView &it : context.view.instances()) {
        if (it.state->phase == Fleet::InstancePhase::Failed) {
            planFailed(context, it);
        } else if (it.state->phase == Fleet::InstancePhase::Rebooting) {
            continue; // expected to be down
        } else if (it.platform == Fleet::PlatformState::Gone) {
            markFailed(context, it, "the platform lists it as gone");
        } else if (it.isEjected && !context.isReserved(it)) {
            planEjected(context, it);
        }
    }
}

} // namespace Policy
