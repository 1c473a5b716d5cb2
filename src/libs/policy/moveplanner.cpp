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

/// A pool is short of instances when its long-term demand uses a larger share of its slots than this.
constexpr double HighUtilization = 0.75;
/// Share of the slots that the long-term demand uses after a short pool has been refilled.
constexpr double TargetUtilization = 0.6;
/// A pool keeps enough slots that the peaks of its long-term demand use at most this share. It is below
/// HighUtilization so that a pool that gives up instances is not short of them at the next peak.
constexpr double PeakUtilization = 0.7;
/// Instance-seconds of shortage that cost as much as one move at equal weights.
constexpr double ShortageBreakEven = 120;
/// Instance-seconds of unneeded buffer that cost as much as one move at equal weights.
constexpr double ExcessBreakEven = 900;

struct PoolCapacity {
    double slots = 0; ///< available, or being moved into the pool
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

/// Number of additional instances that the pool needs for its long-term demand; 0 unless its utilization is
/// high.
double
missingInstances(const PassContext &context, const DemandEstimate &demand, const PoolCapacity &capacity)
{
    if (demand.slow <= capacity.slots * HighUtilization) {
        return 0;
    }
    const double missing = demand.slow / TargetUtilization - capacity.slots;
    return std::ceil(missing / slotsPerInstance(context, capacity));
}

/// Number of whole instances that the pool has beyond its long-term demand and the peaks of that demand.
double
surplusInstances(const PassContext &context, const DemandEstimate &demand, const PoolCapacity &capacity)
{
    const double needed = std::max(demand.slow / TargetUtilization, demand.peak / PeakUtilization);
    return std::max(0.0, std::floor((capacity.slots - needed) / slotsPerInstance(context, capacity)));
}

/// Number of whole instances that the pool can give to short pools and still cover its demand peaks.
double
releasableInstances(const PassContext &context, const DemandEstimate &demand, const PoolCapacity &capacity)
{
    const double needed = demand.peak / PeakUtilization;
    return std::max(0.0, std::floor((capacity.slots - needed) / slotsPerInstance(context, capacity)));
}

/// A pool that currently uses its slots gives up no instance, however low its long-term demand is.
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

void advanceMove(PassContext &context, const Fleet::Move &move)
{
    if (!isDeclared(context, move.to)) {
        abortMove(context, move, fmt::format("the document has no pool {} any more", move.to.value));
        return;
    }
    const BudgetCheck budget = context.budget.checkPool(move.from);
    if (!budget.isAllowed) {
        abortMove(context, move, fmt::format("failures have spent the budget: {}", budget.reason));
        return;
    }
    const DrainProgress progress = drainProgress(context, move.id, move.instance, move.acknowledgedBy);
    if (!progress.isComplete) {
        reportIncompleteDrain(context, move.id, move.instance, progress);
        return;
    }
    context.markDecided(move.id);
    context.decide(
        Fleet::MoveCommitted{move.id},
        fmt::format(
            "{} from {} to {}: {}", move.instance.value, move.from.value, move.to.value, progress.reason));
}

void advanceMoves(PassContext &context)
{
    for (const auto &[id, move] : context.state.moves) {
        const InstanceView *view = context.view.find(move.instance);
        if (view && move.phase == Fleet::MovePhase::Draining && !context.hasDecidedOn(id)) {
            advanceMove(context, move);
        }
    }
}

/// The instance whose removal leaves the donor the largest margin: one in the rack with the most available
/// slots and, within it, the one with the fewest requests in flight. Null when the budget allows none.
const InstanceView *instanceToRelease(const PassContext &context, const Base::PoolName &pool)
{
    const InstanceView *best = nullptr;
    for (const InstanceView *it : context.view.instancesOf(pool)) {
        if (!it->isAvailable() || context.isReserved(*it)
            || !context.budget.checkStop(it->name()).isAllowed) {
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

/// A pool that can give up instances; the numbers of whole instances go down as the pass assigns them.
struct Donor {
    Base::PoolName pool;
    double releasable = 0;
    double surplus = 0;
    bool isSpare = false;

    /// Lower ranks give first. Unneeded instances of ordinary pools come before those of the spare pool,
    /// which can be lent to any pool. Pools that could still use their instances come last.
    int rank() const
    {
        if (isSpare) {
            return 1;
        }
        return surplus >= 1 ? 0 : 2;
    }
};

std::vector<Donor> findDonors(const PassContext &context)
{
    std::vector<Donor> donors;
    for (const DemandEstimate &it : context.memory.demand.pools) {
        const PoolCapacity capacity = capacityOf(context, it.pool);
        const double releasable = releasableInstances(context, it, capacity);
        if (releasable >= 1 && !isSurging(it, capacity)) {
            const double surplus = surplusInstances(context, it, capacity);
            donors.push_back({it.pool, releasable, surplus, isSpare(context, it.pool)});
        }
    }
    return donors;
}

Donor *bestDonor(std::vector<Donor> &donors, const Base::PoolName &to)
{
    Donor *best = nullptr;
    for (Donor &it : donors) {
        const auto key = [](const Donor &donor) {
            return std::pair(donor.rank(), -donor.releasable);
        };
        if (it.pool != to && it.releasable >= 1 && (!best || key(it) < key(*best))) {
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
    const BudgetCheck budget = context.budget.checkStop(instance.name());
    const std::string reason = fmt::format("{}; {}", cause, budget.reason);
    context.reserve(instance.name());
    context.decide(
        Fleet::MoveStarted{context.nextActionId(), instance.name(), instance.state->pool, to, reason},
        reason);
}

/// Moves `count` instances into the pool from the best donors; returns false if fewer are available.
bool fillPool(PassContext &context,
              std::vector<Donor> &donors,
              const Base::PoolName &pool,
              double count,
              const std::string &cause)
{
    while (count >= 1) {
        Donor *donor = bestDonor(donors, pool);
        if (!donor) {
            context.defer(
                fmt::format("move into {}", pool.value),
                fmt::format("{}; {} instances are missing and no pool has one to give", cause, count));
            return false;
        }
        const InstanceView *instance = instanceToRelease(context, donor->pool);
        if (!instance) {
            context.defer(fmt::format("move from {} to {}", donor->pool.value, pool.value),
                          context.budget.checkPool(donor->pool).reason);
            donor->releasable = 0;
            donor->surplus = 0;
            continue;
        }
        startMove(context, *instance, pool, cause);
        --donor->releasable;
        --donor->surplus;
        --count;
    }
    return true;
}

/// Refills short pools. A move has a one-time cost and a shortage costs as long as it lasts. This is the
/// ski-rental problem: moving once the accumulated cost of the shortage reaches the cost of the move costs at
/// most twice as much as knowing in advance how long the shift lasts.
void coverShortages(PassContext &context, std::vector<Donor> &donors)
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

void returnSurplus(PassContext &context,
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
        const InstanceView *instance = instanceToRelease(context, demand.pool);
        if (!instance) {
            context.defer(fmt::format("move from {} to {}", demand.pool.value, spare.value),
                          fmt::format("{}; {}", cause, context.budget.checkPool(demand.pool).reason));
            return;
        }
        startMove(context, *instance, spare, cause);
    }
}

/// Returns unneeded buffer to the spare pool once the cost of holding it has reached the cost of the move.
void returnSurpluses(PassContext &context, const std::vector<Donor> &donors)
{
    const Document::Weights &weights = context.state.document.weights;
    const Base::PoolName *spare = firstSparePool(context);
    if (!spare) {
        return;
    }
    for (const Donor &donor : donors) {
        DemandEstimate &demand = *findDemand(context.memory.demand, donor.pool);
        if (donor.isSpare || donor.surplus < 1 || demand.seenFor < SlowTimeScale
            || demand.excess * weights.buffer < ExcessBreakEven * donor.surplus * weights.moves) {
            continue;
        }
        returnSurplus(context, demand, donor.surplus, *spare);
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
        const double surplus = surplusInstances(context, it, capacity);
        it.excess = surplus > 0 ? it.excess + surplus * elapsed : 0;
    }
}

void planMoves(PassContext &context)
{
    advanceMoves(context);
    std::vector<Donor> donors = findDonors(context);
    coverShortages(context, donors);
    returnSurpluses(context, donors);
}

} // namespace Policy
