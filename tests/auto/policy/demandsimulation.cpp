#include "demandsimulation.h"

#include <policy/lending.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>

namespace
{

constexpr std::size_t PoolCount = 5;
constexpr std::size_t SparePool = PoolCount - 1;
constexpr double MeanSlots = 6; ///< mean demand of one queue
constexpr double RequestSeconds = 0.5; ///< service time of one request on one slot
constexpr int Deadline = 2;
constexpr int PassPeriod = 5;
constexpr int ListLag = 10;
constexpr double SurgeFactor = 5;
constexpr double LullFactor = 0.05;
constexpr double SufficientUtilization = 0.8;
constexpr double BaselineHigh = 0.8;
constexpr double BaselineLow = 0.3;

struct Batch {
    int arrivedAt = 0;
    std::size_t requests = 0;
};

struct Queue {
    double mean = MeanSlots;
    std::deque<Batch> waiting;
    double busySlots = 0;
    int risenAt = -1; ///< when its mean rose, -1 once the pool has enough slots for it

    std::size_t length() const
    {
        std::size_t n = 0;
        for (const Batch &it : waiting) {
            n += it.requests;
        }
        return n;
    }
};

FleetShape simulatedShape()
{
    FleetShape shape;
    shape.zones = 3;
    shape.pools = PoolCount;
    shape.instancesPerPool = 3;
    shape.spareExtra = 2;
    shape.racks = 5;
    shape.zoneAvailability = 300;
    shape.hasSpare = true;
    return shape;
}

class DemandSimulation
{
public:
    DemandSimulation(std::uint64_t seed, const DemandScenario &shape)
        : m_demand(seed)
        , m_faults(seed + 1)
        , m_drains(seed + 2)
        , m_shape(shape)
        , m_model(simulatedShape())
    {
        m_model.state.document.weights = shape.weights;
    }

    DemandOutcome run(const MovePlanner &planner)
    {
        for (m_now = 1; m_now < m_shape.seconds; ++m_now) {
            changeDemand();
            failRack();
            serve();
            drain();
            observe();
            if (m_now % PassPeriod == 0) {
                passOnce(planner);
            }
            updateOutcome();
        }
        return outcome();
    }

private:
    static int between(std::mt19937_64 &random, int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(random);
    }

    void changeDemand()
    {
        if (m_now >= m_surgeEnds) {
            m_surgingPool = (m_surgingPool + 1) % PoolCount;
            m_surgeEnds = m_now + between(m_demand, 4, 12);
        }
        if (m_shape.hasShifts && m_now % 1800 == 900) {
            constexpr std::array<double, 3> Factors{0.4, 1, 3.5};
            Queue &queue = m_queues.at(static_cast<std::size_t>(between(m_demand, 0, SparePool - 1)));
            const double mean = MeanSlots * Factors.at(static_cast<std::size_t>(between(m_demand, 0, 2)));
            finishRise(queue);
            queue.risenAt = mean > queue.mean ? m_now : -1;
            queue.mean = mean;
        }
    }

    void failRack()
    {
        if (m_shape.hasRackFailures && m_now % 1200 == 0) {
            m_lostRack = fmt::format("r{:03}", between(m_faults, 0, 4));
            m_lostSince = m_now;
            m_lostUntil = m_now + between(m_faults, 60, 240);
        }
    }

    bool isUp(const Base::RackName &rack, int now) const
    {
        return rack.value != m_lostRack || now < m_lostSince || now >= m_lostUntil;
    }

    double factorOf(std::size_t pool) const
    {
        if (!m_shape.hasSurges) {
            return 1;
        }
        return pool == m_surgingPool ? SurgeFactor : LullFactor;
    }

    /// Slots that currently serve each pool, including lent instances.
    std::array<double, PoolCount> slotsNow()
    {
        std::array<double, PoolCount> slots{};
        for (const auto &[name, it] : m_model.state.instances) {
            if (it.phase == Fleet::InstancePhase::Serving && isUp(it.declared.rack, m_now)) {
                slots.at(indexOf(it.pool)) += it.declared.slots;
            }
        }
        m_ownSlots = slots;
        if (!m_shape.hasLending) {
            return slots;
        }
        const Policy::FleetView view(m_model.state, m_model.identity.zone, m_model.observations.instances);
        for (const Policy::SurgeAllocation &it :
             Policy::allocateForSurges(view, m_model.state.document, m_model.observations.demands)) {
            for (const Base::InstanceName &lent : it.lentInstances) {
                const Fleet::InstanceState &instance = m_model.state.instances.at(lent);
                const double lentSlots = isUp(instance.declared.rack, m_now) ? instance.declared.slots : 0;
                slots.at(indexOf(it.pool)) += lentSlots;
                slots.at(indexOf(instance.pool)) -= lentSlots;
            }
        }
        return slots;
    }

    static std::size_t indexOf(const Base::PoolName &pool)
    {
        return static_cast<std::size_t>(std::stoul(pool.value.substr(1)));
    }

    void serve()
    {
        const std::array<double, PoolCount> slots = slotsNow();
        for (std::size_t pool = 0; pool < PoolCount; ++pool) {
            Queue &queue = m_queues.at(pool);
            const double rate = queue.mean * factorOf(pool) / RequestSeconds;
            const std::size_t arrived = std::poisson_distribution<std::size_t>(rate)(m_demand);
            m_outcome.requests += arrived;
            queue.waiting.push_back({m_now, arrived});
            serveQueue(queue, slots.at(pool));
            updateRollOut(queue, m_ownSlots.at(pool));
        }
    }

    void serveQueue(Queue &queue, double slots)
    {
        const auto capacity = static_cast<std::size_t>(std::max(0.0, slots) / RequestSeconds);
        std::size_t left = capacity;
        while (left > 0 && !queue.waiting.empty()) {
            Batch &first = queue.waiting.front();
            const std::size_t served = std::min(left, first.requests);
            m_outcome.lateRequests += m_now - first.arrivedAt >= Deadline ? served : 0;
            first.requests -= served;
            left -= served;
            if (first.requests == 0) {
                queue.waiting.pop_front();
            }
        }
        queue.busySlots = static_cast<double>(capacity - left) * RequestSeconds;
    }

    void updateRollOut(Queue &queue, double slots)
    {
        if (queue.risenAt >= 0 && queue.mean <= slots * SufficientUtilization) {
            finishRise(queue);
        }
    }

    void finishRise(Queue &queue)
    {
        if (queue.risenAt >= 0) {
            m_rollOut += m_now - queue.risenAt;
            ++m_rises;
            queue.risenAt = -1;
        }
    }

    void drain()
    {
        for (auto &[id, move] : m_model.state.moves) {
            if (between(m_drains, 0, 4) == 0) {
                move.acknowledgedBy = {{"m0"}, {"m1"}};
            }
        }
    }

    void observe()
    {
        m_model.observations.demands.clear();
        for (std::size_t pool = 0; pool < PoolCount; ++pool) {
            const Queue &queue = m_queues.at(pool);
            const auto queued = static_cast<double>(queue.length());
            m_model.observations.demands.push_back({poolName(pool), queue.busySlots, 0, queued, 0});
        }
        for (const auto &[name, it] : m_model.state.instances) {
            m_model.report(name).state = isUp(it.declared.rack, m_now - ListLag) ? Fleet::PlatformState::Live
                                                                                 : Fleet::PlatformState::Gone;
        }
        m_model.observations.at = Base::instantAt(std::chrono::seconds(m_now));
    }

    void passOnce(const MovePlanner &planner)
    {
        for (const Fleet::Event &event : planner(m_model)) {
            m_outcome.moves += std::holds_alternative<Fleet::MoveStarted>(event) ? 1 : 0;
            m_model.apply(event);
        }
        ++m_model.state.appliedTo.value;
    }

    void updateOutcome()
    {
        for (std::size_t pool = 0; pool < SparePool; ++pool) {
            const double idle = m_ownSlots.at(pool) - m_queues.at(pool).busySlots;
            m_outcome.bufferSlots += std::max(0.0, idle);
        }
        for (const Document::Service &service : m_model.state.document.services) {
            std::int64_t declared = 0;
            std::int64_t available = 0;
            std::int64_t moved = 0;
            for (const auto &[name, it] : m_model.state.instances) {
                const bool serves = it.phase == Fleet::InstancePhase::Serving && it.pool == service.pool;
                const bool isUpNow = isUp(it.declared.rack, m_now);
                const std::int64_t slots = it.declared.slots;
                declared += it.declared.pool == service.pool ? slots : 0;
                available += serves && isUpNow ? slots : 0;
                moved += !serves && isUpNow && it.declared.pool == service.pool ? slots : 0;
            }
            const std::int64_t floor = (declared * service.zoneAvailability + 999) / 1000;
            m_outcome.violationSeconds += available < floor && available + moved >= floor ? 1 : 0;
        }
    }

    DemandOutcome outcome()
    {
        m_outcome.bufferSlots /= m_shape.seconds;
        for (Queue &it : m_queues) {
            finishRise(it);
        }
        m_outcome.rollOutSeconds = m_rises > 0 ? m_rollOut / m_rises : 0;
        for (const Queue &it : m_queues) {
            m_outcome.unfinished += it.length();
        }
        return m_outcome;
    }

    std::mt19937_64 m_demand;
    std::mt19937_64 m_faults;
    std::mt19937_64 m_drains;
    DemandScenario m_shape;
    FleetModel m_model;
    std::array<Queue, PoolCount> m_queues;
    std::array<double, PoolCount> m_ownSlots{};
    DemandOutcome m_outcome;
    int m_now = 0;
    std::size_t m_surgingPool = 0;
    int m_surgeEnds = 0;
    std::string m_lostRack;
    int m_lostSince = 0;
    int m_lostUntil = 0;
    double m_rollOut = 0;
    int m_rises = 0;
};

struct PoolUse {
    Base::PoolName pool;
    double utilization = 0;
    const Fleet::InstanceState *first = nullptr; ///< a serving instance
    std::size_t serving = 0;
};

std::vector<PoolUse> poolUses(const FleetModel &model)
{
    std::vector<PoolUse> uses;
    for (const Fleet::PoolDemand &demand : model.observations.demands) {
        PoolUse use{.pool = demand.pool};
        double slots = 0;
        for (const auto &[name, it] : model.state.instances) {
            if (it.pool == demand.pool && it.phase == Fleet::InstancePhase::Serving) {
                slots += it.declared.slots;
                use.first = &it;
                ++use.serving;
            }
        }
        use.utilization = (demand.busySlots + demand.queuedRequests) / std::max(1.0, slots);
        uses.push_back(use);
    }
    return uses;
}

} // namespace

DemandOutcome &DemandOutcome::operator+=(const DemandOutcome &other)
{
    moves += other.moves;
    violationSeconds += other.violationSeconds;
    bufferSlots += other.bufferSlots;
    rollOutSeconds += other.rollOutSeconds;
    lateRequests += other.lateRequests;
    requests += other.requests;
    unfinished += other.unfinished;
    return *this;
}

DemandOutcome simulateDemand(std::uint64_t seed, const DemandScenario &shape, const MovePlanner &planner)
{
    return DemandSimulation(seed, shape).run(planner);
}

std::vector<Fleet::Event> planMovesByThreshold(FleetModel &model)
{
    std::vector<Fleet::Event> events;
    for (const auto &[id, move] : model.state.moves) {
        if (move.acknowledgedBy.size() == model.state.members.size()) {
            events.emplace_back(Fleet::MoveCommitted{id});
        }
    }
    const std::vector<PoolUse> uses = poolUses(model);
    const auto [low, high] = std::minmax_element(
        uses.begin(), uses.end(), [](const auto &a, const auto &b) { return a.utilization < b.utilization; });
    if (high->utilization > BaselineHigh && low->utilization < BaselineLow && low->serving > 1) {
        const Fleet::ActionId id{fmt::format("n{}", model.state.appliedTo.value)};
        events.emplace_back(
            Fleet::MoveStarted{id, low->first->declared.name, low->pool, high->pool, "threshold"});
    }
    return events;
}

std::vector<Fleet::Event> planNoMoves(FleetModel &)
{
    return {};
}
