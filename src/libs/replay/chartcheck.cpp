#include "chartcheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace Replay
{

namespace
{

using Fleet::InstanceEvent;
using Fleet::WaveEvent;

/// What a record may do to the phase of an instance.
std::vector<InstanceEvent> instanceEventsOf(const Step &step)
{
    if (step.applied<Fleet::MoveStarted>() != nullptr
        || step.applied<Fleet::MaintenanceStarted>() != nullptr) {
        return {InstanceEvent::Drain};
    }
    if (step.applied<Fleet::MoveCommitted>() != nullptr || step.applied<Fleet::MoveAborted>() != nullptr
        || step.applied<Fleet::EditProposed>() != nullptr) {
        return {InstanceEvent::Release};
    }
    if (step.applied<Fleet::RebootRequested>() != nullptr) {
        return {InstanceEvent::Reboot};
    }
    if (step.applied<Fleet::MaintenanceEnded>() != nullptr) {
        return {InstanceEvent::Release, InstanceEvent::RebootSucceeded, InstanceEvent::RebootFailed};
    }
    if (step.applied<Fleet::InstanceFailed>() != nullptr) {
        return {InstanceEvent::Fail};
    }
    if (step.applied<Fleet::InstanceRecovered>() != nullptr) {
        return {InstanceEvent::Recover};
    }
    return {};
}

std::string_view nameOf(Fleet::InstancePhase phase)
{
    return Fleet::ChartNames<Fleet::InstancePhase>::Names.at(static_cast<std::size_t>(phase));
}

std::string_view nameOf(Fleet::WavePhase phase)
{
    return Fleet::ChartNames<Fleet::WavePhase>::Names.at(static_cast<std::size_t>(phase));
}

} // namespace

ChartCheck::ChartCheck(const Fleet::Charts &charts, const Fleet::FleetState &start, Violations &violations)
    : m_charts(charts)
    , m_violations(violations)
{
    for (const auto &it : start.instances) {
        m_instances[it.first] = it.second.phase;
    }
    for (const auto &it : start.waves) {
        m_waves[it.first] = it.second.phase;
    }
}

void ChartCheck::check(const Step &step)
{
    checkInstances(step);
    checkWaves(step);
}

void ChartCheck::checkInstances(const Step &step)
{
    if (step.applied<Fleet::EditProposed>() != nullptr) {
        std::erase_if(m_instances, [&](const auto &it) { return !step.state.instances.contains(it.first); });
    }
    for (const auto &it : step.state.instances) {
        const Fleet::InstancePhase phase = it.second.phase;
        Fleet::InstancePhase &known = m_instances.try_emplace(it.first, phase).first->second;
        if (known != phase && !isLegal(known, phase, step)) {
            m_violations.add(
                step,
                Invariant::LegalTransition,
                fmt::format("instance {} went from {} to {}", it.first.value, nameOf(known), nameOf(phase)));
        }
        known = phase;
    }
}

void ChartCheck::checkWaves(const Step &step)
{
    for (const auto &it : step.state.waves) {
        const Fleet::WavePhase phase = it.second.phase;
        Fleet::WavePhase &known = m_waves.try_emplace(it.first, m_charts.wave.initial()).first->second;
        if (known != phase && !isLegal(known, phase)) {
            m_violations.add(
                step,
                Invariant::LegalTransition,
                fmt::format("wave {} went from {} to {}", it.first.value, nameOf(known), nameOf(phase)));
        }
        known = phase;
    }
}

bool ChartCheck::isLegal(Fleet::InstancePhase from, Fleet::InstancePhase to, const Step &step) const
{
    const std::vector<InstanceEvent> events = instanceEventsOf(step);
    return std::any_of(events.begin(), events.end(), [&](InstanceEvent it) {
        return m_charts.instance.next(from, it) == to;
    });
}

bool ChartCheck::isLegal(Fleet::WavePhase from, Fleet::WavePhase to) const
{
    constexpr WaveEvent Events[] = {
        WaveEvent::BeginMaintenance, WaveEvent::EndMaintenance, WaveEvent::Stop, WaveEvent::Finish};
    return std::any_of(std::begin(Events), std::end(Events), [&](WaveEvent it) {
        return m_charts.wave.next(from, it) == to;
    });
}

} // namespace Replay
