#include "waveplanner.h"

#include "drain.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

namespace Policy
{

namespace
{

using namespace std::chrono_literals;

/// Share of restarts that fail in normal operation.
constexpr double BaselineFailureRate = 0.035;
/// A wave is stopped when at least as many failures at the ordinary rate are less probable than this.
constexpr double SignificanceLevel = 0.01;
/// Time within which an instance must be live again after a reboot was requested.
constexpr Base::Duration RebootTimeout = 10min;
/// A wave waits this long for instances that are down before it finishes without them.
constexpr Base::Duration ReturnTimeout = 30min;
/// Number of concurrent maintenances that a wave may have for each one that succeeded.
constexpr std::size_t RampFactor = 2;

struct FailureCount {
    std::size_t stops = 0;
    std::size_t failures = 0;
};

const Fleet::Wave *latestWave(const PassContext &context)
{
    const Fleet::Wave *latest = nullptr;
    for (const auto &[id, wave] : context.state.waves) {
        if (wave.zone == context.identity.zone && (!latest || wave.number > latest->number)) {
            latest = &wave;
        }
    }
    return latest;
}

std::vector<const Fleet::Maintenance *> openMaintenances(const PassContext &context)
{
    std::vector<const Fleet::Maintenance *> open;
    for (const auto &[id, maintenance] : context.state.maintenances) {
        if (context.view.find(maintenance.instance)) {
            open.push_back(&maintenance);
        }
    }
    return open;
}

bool isProcessed(const Fleet::Wave &wave, const Base::InstanceName &instance)
{
    return wave.done.contains(instance) || wave.failed.contains(instance);
}

/// Counts failed reboots, and instances that are down or ejected after a successful one, since the
/// maintenance may have caused that as well. The latter count once per rack: a whole rack fails for other
/// reasons, and the wave is spread over the racks.
FailureCount countFailures(const PassContext &context, const Fleet::Wave &wave)
{
    std::set<Base::RackName> failedRacks;
    for (const Base::InstanceName &it : wave.done) {
        const InstanceView *view = context.view.find(it);
        if (!view || wave.failed.contains(it)) {
            continue;
        }
        if (!view->isHealthy() || view->state->phase == Fleet::InstancePhase::Failed) {
            failedRacks.insert(view->state->declared.rack);
        }
    }
    return {wave.done.size() + wave.failed.size(), wave.failed.size() + failedRacks.size()};
}

void endMaintenance(PassContext &context,
                    const Fleet::Maintenance &it,
                    bool isSuccessful,
                    const std::string &reason)
{
    context.markDecided(it.id);
    context.decide(Fleet::MaintenanceEnded{it.id, isSuccessful, reason}, reason);
}

const Fleet::ActionReport *actionReport(const PassContext &context, const Fleet::ActionId &id)
{
    const auto &reports = context.observations.actions;
    const auto it = std::find_if(reports.begin(), reports.end(), [&id](const Fleet::ActionReport &report) {
        return report.action == id;
    });
    return it == reports.end() ? nullptr : &*it;
}

void advanceDrain(PassContext &context, const Fleet::Maintenance &it, const InstanceView &view)
{
    const BudgetCheck budget = context.budget.checkPool(view.state->pool);
    if (!budget.isAllowed) {
        endMaintenance(context,
                       it,
                       false,
                       fmt::format("serves again, failures have spent the budget: {}", budget.reason));
        return;
    }
    const DrainProgress progress = drainProgress(context, it.id, it.instance, it.acknowledgedBy);
    if (!progress.isComplete) {
        reportIncompleteDrain(context, it.id, it.instance, progress);
        return;
    }
    context.markDecided(it.id);
    context.decide(Fleet::RebootRequested{it.id}, fmt::format("{}: {}", it.instance.value, progress.reason));
}

void advanceReboot(PassContext &context, const Fleet::Maintenance &it, const InstanceView &view)
{
    const ActionMemory &memory = context.memory.actions[it.id];
    const Fleet::ActionReport *report = actionReport(context, it.id);
    const auto waited = context.now() - memory.rebootSeen.value_or(context.now());
    if (report && report->result == Fleet::ActionResult::Rejected) {
        endMaintenance(
            context, it, false, fmt::format("the platform refused the reboot: {}", report->detail));
        return;
    }
    if (view.isHealthy() && (report || memory.wasDown)) {
        endMaintenance(context, it, true, fmt::format("{} is back and live", it.instance.value));
        return;
    }
    if (waited > RebootTimeout) {
        const auto minutes = std::chrono::duration_cast<std::chrono::minutes>(RebootTimeout).count();
        endMaintenance(context, it, false, fmt::format("not back within {} min of the reboot", minutes));
        return;
    }
    context.defer(fmt::format("reboot of {}", it.instance.value),
                  memory.wasDown ? "not live yet" : "the platform has not listed it as down yet");
}

void advanceMaintenances(PassContext &context)
{
    for (const Fleet::Maintenance *it : openMaintenances(context)) {
        const InstanceView &view = *context.view.find(it->instance);
        if (context.hasDecidedOn(it->id)) {
            continue;
        }
        if (view.state->phase == Fleet::InstancePhase::Draining) {
            advanceDrain(context, *it, view);
        } else {
            advanceReboot(context, *it, view);
        }
    }
}

std::size_t requestedInstances(const PassContext &context)
{
    std::size_t n = 0;
    for (const Base::PoolName &it : context.state.document.maintenance.wave) {
        n += context.view.instancesOf(it).size();
    }
    return n;
}

void startWave(PassContext &context, const Fleet::Wave *previous)
{
    const Document::Maintenance &requested = context.state.document.maintenance;
    if (requested.wave.empty() || requested.waveNumber == 0) {
        return;
    }
    if (previous && requested.waveNumber <= previous->number) {
        if (previous->phase == Fleet::WavePhase::Stopped) {
            context.defer(
                fmt::format("wave {}", previous->number),
                fmt::format("stopped: {}; goes on under a higher wave number", previous->stopReason));
        }
        return;
    }
    if (const std::size_t open = openMaintenances(context).size(); open > 0) {
        context.defer(fmt::format("wave {}", requested.waveNumber),
                      fmt::format("{} instances are still in the maintenance of the wave before", open));
        return;
    }
    const std::string reason = fmt::format("the document asks for wave {}: {} pools, {} instances in zone {}",
                                           requested.waveNumber,
                                           requested.wave.size(),
                                           requestedInstances(context),
                                           context.identity.zone.value);
    context.decide(
        Fleet::WaveStarted{context.nextActionId(), requested.waveNumber, context.identity.zone, reason},
        reason);
}

void stopWave(PassContext &context, const Fleet::Wave &wave, const std::string &reason)
{
    context.decide(Fleet::WaveStopped{wave.id, reason}, reason);
    // Drains are cancelled; reboots that have been requested are left to complete.
    for (const Fleet::Maintenance *it : openMaintenances(context)) {
        const bool isDraining =
            context.view.find(it->instance)->state->phase == Fleet::InstancePhase::Draining;
        if (isDraining && !context.hasDecidedOn(it->id)) {
            endMaintenance(context, *it, false, fmt::format("serves again, the wave stopped: {}", reason));
        }
    }
}

std::optional<std::string> reasonToStop(const PassContext &context, const Fleet::Wave &wave)
{
    const Document::Maintenance &requested = context.state.document.maintenance;
    if (requested.waveNumber > wave.number) {
        return fmt::format("the document asks for wave {}", requested.waveNumber);
    }
    if (requested.wave.empty()) {
        return "the document asks for no wave";
    }
    const FailureCount failureCount = countFailures(context, wave);
    const double probability =
        failureProbability(failureCount.stops, failureCount.failures, BaselineFailureRate);
    if (isFailureRateAbnormal(failureCount.stops, failureCount.failures)) {
        return fmt::format("{} of {} stops failed; at the ordinary rate of {:.3f} the chance of it is {:.5f}",
                           failureCount.failures,
                           failureCount.stops,
                           BaselineFailureRate,
                           probability);
    }
    return {};
}

bool isDown(const InstanceView &instance)
{
    return instance.state->phase == Fleet::InstancePhase::Failed
        || instance.platform != Fleet::PlatformState::Live;
}

/// Instances that are up and still to be maintained, of the wave's first unfinished pool; empty if none are
/// left.
std::vector<const InstanceView *> nextInstances(const PassContext &context, const Fleet::Wave &wave)
{
    std::vector<const InstanceView *> next;
    for (const Base::PoolName &pool : context.state.document.maintenance.wave) {
        for (const InstanceView *it : context.view.instancesOf(pool)) {
            if (!isProcessed(wave, it->name()) && !isDown(*it)) {
                next.push_back(it);
            }
        }
        if (!next.empty()) {
            return next;
        }
    }
    return next;
}

struct DownInstances {
    std::size_t recent = 0; ///< down for less than ReturnTimeout
    std::size_t all = 0;
};

DownInstances downInstances(const PassContext &context, const Fleet::Wave &wave)
{
    DownInstances down;
    for (const Base::PoolName &pool : context.state.document.maintenance.wave) {
        for (const InstanceView *it : context.view.instancesOf(pool)) {
            if (isProcessed(wave, it->name()) || !isDown(*it)) {
                continue;
            }
            const auto since = context.memory.health.find(it->name());
            const bool isRecent =
                since != context.memory.health.end() && context.now() - since->second.since < ReturnTimeout;
            ++down.all;
            down.recent += isRecent ? 1 : 0;
        }
    }
    return down;
}

void finishWave(PassContext &context, const Fleet::Wave &wave)
{
    const DownInstances down = downInstances(context, wave);
    if (down.recent > 0) {
        context.defer(fmt::format("wave {}", wave.number),
                      fmt::format("{} of its instances are down and may come back", down.recent));
        return;
    }
    context.decide(Fleet::WaveFinished{wave.id},
                   fmt::format("wave {}: {} rebooted, {} failed, {} are down for longer",
                               wave.number,
                               wave.done.size(),
                               wave.failed.size(),
                               down.all));
}

std::size_t maxOpenMaintenances(const PassContext &context, const Fleet::Wave &wave)
{
    // The first instance is maintained alone because failures within a wave are correlated.
    const std::size_t ramp = std::max<std::size_t>(1, wave.done.size() * RampFactor);
    return std::min<std::size_t>(context.state.document.maintenance.maxConcurrent, ramp);
}

/// Sorts instances of the rack with the most available slots to the front. The budget must cover the loss of
/// that rack, so stopping instances there leaves room for more stops than in any other rack.
void sortByRack(const PassContext &context, std::vector<const InstanceView *> &instances)
{
    std::stable_sort(
        instances.begin(), instances.end(), [&context](const InstanceView *a, const InstanceView *b) {
            const Base::PoolName &pool = a->state->pool;
            return context.budget.availableInRack(pool, a->state->declared.rack)
                > context.budget.availableInRack(pool, b->state->declared.rack);
        });
}

void startMaintenance(PassContext &context,
                      const Fleet::Wave &wave,
                      const InstanceView &instance,
                      const BudgetCheck &budget)
{
    const std::string reason = fmt::format("wave {}, instance {}, {} done: {}",
                                           wave.number,
                                           instance.name().value,
                                           wave.done.size(),
                                           budget.reason);
    context.reserve(instance.name());
    context.decide(Fleet::MaintenanceStarted{context.nextActionId(), wave.id, instance.name(), reason},
                   reason);
}

void startMaintenances(PassContext &context, const Fleet::Wave &wave)
{
    std::size_t open = openMaintenances(context).size();
    const std::size_t maxOpen = maxOpenMaintenances(context, wave);
    std::vector<const InstanceView *> next = nextInstances(context, wave);
    if (next.empty() && open == 0) {
        finishWave(context, wave);
        return;
    }
    std::erase_if(next, [&context](const InstanceView *it) { return context.isReserved(*it); });
    while (open < maxOpen && !next.empty()) {
        sortByRack(context, next);
        const InstanceView &first = *next.front();
        const BudgetCheck budget = context.budget.checkStop(first.name());
        if (!budget.isAllowed) {
            context.defer(fmt::format("wave {}, instance {}", wave.number, first.name().value),
                          budget.reason);
            return;
        }
        startMaintenance(context, wave, first, budget);
        next.erase(next.begin());
        ++open;
    }
}

} // namespace

double failureProbability(std::size_t stops, std::size_t failures, double rate)
{
    double fewer = 0;
    double term = std::pow(1 - rate, static_cast<double>(stops));
    for (std::size_t n = 0; n < failures; ++n) {
        fewer += term;
        term *= static_cast<double>(stops - n) / static_cast<double>(n + 1) * rate / (1 - rate);
    }
    return std::max(0.0, 1 - fewer);
}

bool isFailureRateAbnormal(std::size_t stops, std::size_t failures)
{
    return failures > 0 && failureProbability(stops, failures, BaselineFailureRate) < SignificanceLevel;
}

void planWave(PassContext &context)
{
    advanceMaintenances(context);
    const Fleet::Wave *wave = latestWave(context);
    if (!wave || wave->phase != Fleet::WavePhase::Running) {
        startWave(context, wave);
        return;
    }
    if (const auto reason = reasonToStop(context, *wave)) {
        stopWave(context, *wave, *reason);
        return;
    }
    startMaintenances(context, *wave);
}

} // namespace Policy
