#include "poolcheck.h"

#include <fmt/format.h>

namespace Replay
{

PoolCheck::PoolCheck(const Fleet::FleetState &start, Violations &violations)
    : m_violations(violations)
{
    for (const auto &it : start.instances) {
        m_pools[it.first] = it.second.pool;
    }
    for (const auto &it : start.moves) {
        const Fleet::Move &move = it.second;
        m_moves[move.id] = {move.id, move.instance, move.from, move.to, {}};
    }
}

void PoolCheck::check(const Step &step)
{
    if (const auto *started = step.applied<Fleet::MoveStarted>()) {
        m_moves[started->id] = *started;
    }
    if (step.applied<Fleet::EditProposed>() != nullptr) {
        checkDeclared(step);
    }
    checkChanges(step);
}

void PoolCheck::checkDeclared(const Step &step)
{
    for (const Document::Instance &it : step.state.document.instances) {
        if (it.zone != step.state.zone) {
            continue;
        }
        if (!step.state.instances.contains(it.name)) {
            m_violations.add(
                step, Invariant::OnePool, fmt::format("instance {} belongs to no pool", it.name.value));
        }
    }
    for (const auto &it : step.state.instances) {
        if (Fleet::findInstance(step.state.document, it.first) == nullptr) {
            m_violations.add(
                step, Invariant::OnePool, fmt::format("instance {} is not declared", it.first.value));
        }
        if (!Fleet::hasPool(step.state.document, it.second.pool)) {
            m_violations.add(step,
                             Invariant::OnePool,
                             fmt::format("instance {} belongs to pool {}, which is not declared",
                                         it.first.value,
                                         it.second.pool.value));
        }
    }
}

void PoolCheck::checkChanges(const Step &step)
{
    const bool isEdit = step.applied<Fleet::EditProposed>() != nullptr;
    if (isEdit) {
        std::erase_if(m_pools, [&](const auto &it) { return !step.state.instances.contains(it.first); });
    }
    if (m_pools.size() > step.state.instances.size()) {
        m_violations.add(step, Invariant::OnePool, "an instance left its pool without an edit");
    }
    for (const auto &it : step.state.instances) {
        Base::PoolName &known = m_pools.try_emplace(it.first, it.second.pool).first->second;
        if (known == it.second.pool) {
            continue;
        }
        if (!isEdit && !mayChange(step, it.second)) {
            m_violations.add(step,
                             Invariant::OnePool,
                             fmt::format("instance {} went from pool {} to {} without a committed move",
                                         it.first.value,
                                         known.value,
                                         it.second.pool.value));
        }
        known = it.second.pool;
    }
}

bool PoolCheck::mayChange(const Step &step, const Fleet::InstanceState &instance) const
{
    const auto *committed = step.applied<Fleet::MoveCommitted>();
    if (committed == nullptr) {
        return false;
    }
    const auto it = m_moves.find(committed->id);
    return it != m_moves.end() && it->second.instance == instance.declared.name
        && it->second.to == instance.pool;
}

} // namespace Replay
