#include "moveplanner.h"

#include "demandestimate.h"
#include "drain.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace Policy
{

namespace
{

/// A pool lacks instances when its lasting demand takes more of its slots than this,
constexpr double HighUtilization = 0.75;
/// and is sized so that it takes this much.
constexpr double TargetUtilization = 0.6;
/// A pool keeps so many slots that the peaks of its lasting demand take at most this much, below
/// HighUtilization: what it gives away it doesn't miss at the next peak.
constexpr double PeakUtilization = 0.7;
/// Instance-seconds of shortage that cost as much as one move, at equal weights.
constexpr double ShortageBreakEven = 120;
/// Instance-seconds of unneeded buffer that cost as much as one move, at equal weights.
constexpr double ExcessBreakEven = 900;

struct PoolCapacity {
    double slots = 0; ///< available, or on their way into the pool
    double slotsPerInstance = 0;
};

PoolCapacity capacityOf(const PassContext &context, const Base::PoolName &pool)
{
    PoolCapacity capacity;
    std::size_t n = 0;
    for (const InstanceView *it : context.view.instancesOf(pool)) {
        const double slots = it->state->declared.slots;
        capacity.slots += it->isAvailable() ? slots : 0;
        capacity.slotsPerInstance += slots;
        ++n;
    }
    for (const auto &[id, move] : context.state.moves) {
        const InstanceView *it = move.to == pool ? context.view.find(move.instance) : nullptr;
        if (it && move.phase == Fleet::MovePhase::Draining) {
            capacity.slots += it->state->declared.slots;
        }
    }
    capacity.slotsPerInstance = n > 0 ? capacity.slotsPerInstance / static_cast<double>(n) : 0;
    return capacity;
}

double slotsPerInstance(const PassContext &context, const PoolCapacity &capacity)
{
    if (capacity.slotsPerInstance > 0) {
        return capacity.slotsPerInstance;
    }
    const auto instances = context.view.instances();
    return instances.empty() ? 1 : std::max(1U, instances.front().state->declared.slots);
}

/// Instances that the pool lacks for its lasting demand; 0 while its utilization isn't high.
double
missingInstances(const PassContext &context, const DemandEstimate &demand, const PoolCapacity &capacity)
{
    if (demand.slow <= capacity.slots * HighUtilization) {
        return 0;
    }
    const double missing = demand.slow / TargetUtilization - capacity.slots;
    return std::ceil(missing / slotsPerInstance(context, capacity));
}

/// Whole instances that the pool holds beyond its lasting demand and the peaks of it.
double
unneededInstances(const PassContext &context, const DemandEstimate &demand, const PoolCapacity &capacity)
{
    const double needed = std::max(demand.slow / TargetUtilization, demand.peak / PeakUtilization);
    return std::max(0.0, std::floor((capacity.slots - needed) / slotsPerInstance(context, capacity)));
}

/// Whole instances that the pool could do without at the peaks of its lasting demand, if others lack them.
double
giveableInstances(const PassContext &context, const DemandEstimate &demand, const PoolCapacity &capacity)
{
    const double needed = demand.peak / PeakUtilization;
    return std::max(0.0, std::floor((capacity.slots - needed) / slotsPerInstance(context, capacity)));
}

/// A pool that uses what it has gives nothing, however low its lasting demand.
bool isSurging(const DemandEstimate &demand, const PoolCapacity &capacity)
{
    return demand.fast > capacity.slots * HighUtilization;
}

bool isSpare(const PassContext &context, const Base::PoolName &pool)
{
    const auto &pools = context.state.document.pools;
    return std::any_of(pools.begin(), pools.end(), [&pool](const Document::Pool &it) {
        return it.name == pool && it.isSpare;
    });
}

void abortMove(PassContext &context, const Fleet::Move &move, const std::string &reason)
{
    context.markDecided(move.id);
    context.decide(Fleet::MoveAborted{move.id, reason}, reason);
}

bool isDeclared(const PassContext &context, const Base::PoolName &pool)
{
    const auto &pools = context.state.document.pools;
    return std::any_of(
        pools.begin(), pools.end(), [&pool](const Document::Pool &it) { return it.name == pool; });
}

void followMove(PassContext &context, const Fleet::Move &move)
{
    if (!isDeclared(context, move.to)) {
        abortMove(context, move, fmt::format("the document has no pool {} any more", move.to.value));
        return;
    }
    const BudgetAnswer budget = context.budget.holds(move.from);
    if (!budget.isAllowed) {
        abortMove(context, move, fmt::format("failures have spent the budget: {}", budget.reason));
        return;
    }
    const DrainProgress progress = drainProgress(context, move.id, move.instance, move.acknowledgedBy);
    if (!progress.isComplete) {
        waitForDrain(context, move.id, move.instance, progress);
        return;
    }
    context.markDecided(move.id);
    context.decide(
        Fleet::MoveCommitted{move.id},
        fmt::format(
            "{} from {} to {}: {}", move.instance.value, move.from.value, move.to.value, progress.reason));
}

void followMoves(PassContext &context)
{
    for (const auto &[id, move] : context.state.moves) {
        const InstanceView *view = context.view.find(move.instance);
        if (view && move.phase == Fleet::MovePhase::Draining && !context.hasDecidedOn(id)) {
            followMove(context, move);
        }
    }
}

/// The instance whose stop leaves the donor safest: of the largest rack, with the least in flight.
const InstanceView *instanceToGive(const PassContext &context, const Base::PoolName &pool)
{
    const InstanceView *best = nullptr;
    for (const InstanceView *it : context.view.instancesOf(pool)) {
        if (!it->isAvailable() || context.isTaken(*it) || !context.budget.mayStop(it->name()).isAllowed) {
            continue;
        }
        const auto rank = [&](const InstanceView &view) {
            return std::pair(-context.budget.availableInRack(pool, view.state->declared.rack), view.inFlight);
        };
        if (!best || rank(*it) < rank(*best)) {
            best = it;
        }
    }
    return best;
}

/// Where instances that are missing elsewhere can be taken from, as this pass goes on; in whole instances.
struct Donor {
    Base::PoolName pool;
    double giveable = 0;
    double unneeded = 0;
    bool isSpare = false;

    /// What a pool doesn't need goes first: what the spare pool holds can be lent to any. Pools that could
    /// use theirs give last.
    int rank() const
    {
        if (isSpare) {
            return 1;
        }
        return unneeded >= 1 ? 0 : 2;
    }
};

std::vector<Donor> donorsIn(const PassContext &context)
{
    std::vector<Donor> donors;
    for (const DemandEstimate &it : context.memory.demand.pools) {
        const PoolCapacity capacity = capacityOf(context, it.pool);
        const double giveable = giveableInstances(context, it, capacity);
        if (giveable >= 1 && !isSurging(it, capacity)) {
            const double unneeded = unneededInstances(context, it, capacity);
            donors.push_back({it.pool, giveable, unneeded, isSpare(context, it.pool)});
        }
    }
    return donors;
}

Donor *bestDonor(std::vector<Donor> &donors, const Base::PoolName &to)
{
    Donor *best = nullptr;
    for (Donor &it : donors) {
        const auto key = [](const Donor &donor) {
            return std::pair(donor.rank(), -donor.giveable);
        };
        if (it.pool != to && it.giveable >= 1 && (!best || key(it) < key(*best))) {
            best = &it;
        }
    }
    return best;
}

void startMove(PassContext &context,
               const InstanceView &instance,
               const Base::PoolName &to,
               const std::string &cause)
{
    const BudgetAnswer budget = context.budget.mayStop(instance.name());
    const std::string reason = fmt::format("{}; {}", cause, budget.reason);
    context.take(instance.name());
    context.decide(
        Fleet::MoveStarted{context.nextActionId(), instance.name(), instance.state->pool, to, reason},
        reason);
}

/// Moves `count` instances into the pool from where they are least needed; false when fewer can be had.
bool fillPool(PassContext &context,
              std::vector<Donor> &donors,
              const Base::PoolName &pool,
              double count,
              const std::string &cause)
{
    while (count >= 1) {
        Donor *donor = bestDonor(donors, pool);
        if (!donor) {
            context.wait(
                fmt::format("move into {}", pool.value),
                fmt::format("{}; {} instances are missing and no pool has one to give", cause, count));
            return false;
        }
        const InstanceView *instance = instanceToGive(context, donor->pool);
        if (!instance) {
            context.wait(fmt::format("move from {} to {}", donor->pool.value, pool.value),
                         context.budget.holds(donor->pool).reason);
            donor->giveable = 0;
            donor->unneeded = 0;
            continue;
        }
        startMove(context, *instance, pool, cause);
        --donor->giveable;
        --donor->unneeded;
        --count;
    }
    return true;
}

/// Moves cost once and shortage costs as long as it lasts, so that the move is made when the cost of waiting
/// has reached the cost of moving: at most twice the cost of knowing beforehand how long the shift lasts
/// (the ski-rental rule).
void meetShortages(PassContext &context, std::vector<Donor> &donors)
{
    const Document::Weights &weights = context.state.document.weights;
    for (DemandEstimate &it : context.memory.demand.pools) {
        const PoolCapacity capacity = capacityOf(context, it.pool);
        const double missing = missingInstances(context, it, capacity);
        if (missing < 1 || it.seenFor < SlowTimeScale
            || it.shortage * weights.rollOutTime < ShortageBreakEven * missing * weights.moves) {
            continue;
        }
        const std::string cause =
            fmt::format("{} wants {:.1f} slots lastingly and has {:.0f}, {:.0f} instance-seconds short",
                        it.pool.value,
                        it.slow,
                        capacity.slots,
                        it.shortage);
        if (fillPool(context, donors, it.pool, missing, cause)) {
            it.shortage = 0;
        }
    }
}

const Base::PoolName *firstSparePool(const PassContext &context)
{
    for (const Document::Pool &it : context.state.document.pools) {
        if (it.isSpare) {
            return &it.name;
        }
    }
    return nullptr;
}

void returnExcess(PassContext &context,
                  const DemandEstimate &demand,
                  double count,
                  const Base::PoolName &spare)
{
    const std::string cause = fmt::format(
        "{} wants {:.1f} slots lastingly, {:.0f} instances and {:.0f} instance-seconds beyond need",
        demand.pool.value,
        demand.slow,
        count,
        demand.excess);
    for (; count >= 1; --count) {
        const InstanceView *instance = instanceToGive(context, demand.pool);
        if (!instance) {
            context.wait(fmt::format("move from {} to {}", demand.pool.value, spare.value),
                         fmt::format("{}; {}", cause, context.budget.holds(demand.pool).reason));
            return;
        }
        startMove(context, *instance, spare, cause);
    }
}

/// Buffer that a pool doesn't need goes back to the spare pool once holding it has cost as much as the move.
void returnExcesses(PassContext &context, const std::vector<Donor> &donors)
{
    const Document::Weights &weights = context.state.document.weights;
    const Base::PoolName *spare = firstSparePool(context);
    if (!spare) {
        return;
    }
    for (const Donor &donor : donors) {
        DemandEstimate &demand = *findDemand(context.memory.demand, donor.pool);
        if (donor.isSpare || donor.unneeded < 1 || demand.seenFor < SlowTimeScale
            || demand.excess * weights.buffer < ExcessBreakEven * donor.unneeded * weights.moves) {
            continue;
        }
        returnExcess(context, demand, donor.unneeded, *spare);
        demand.excess = 0;
    }
}

} // namespace

void trackDemand(PassContext &context)
{
    DemandMemory &memory = context.memory.demand;
    const double elapsed = secondsSinceUpdate(memory, context.now());
    updateDemand(memory, context.observations.demands, context.now());
    for (DemandEstimate &it : memory.pools) {
        const PoolCapacity capacity = capacityOf(context, it.pool);
        const double missing = missingInstances(context, it, capacity);
        it.shortage = missing > 0 ? it.shortage + missing * elapsed : 0;
        const double unneeded = unneededInstances(context, it, capacity);
        it.excess = unneeded > 0 ? it.excess + unneeded * elapsed : 0;
    }
}

void planMoves(PassContext &context)
{
    followMoves(context);
    std::vector<Donor> donors = donorsIn(context);
    meetShortages(context, donors);
    returnExcesses(context, donors);
}

} // namespace Policy
