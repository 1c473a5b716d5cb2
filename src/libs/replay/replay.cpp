#include "replay.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <iterator>

namespace Replay
{

namespace
{

constexpr Fleet::OutcomeKind Kinds[] = {Fleet::OutcomeKind::Applied,
                                        Fleet::OutcomeKind::Refused,
                                        Fleet::OutcomeKind::Duplicate,
                                        Fleet::OutcomeKind::StaleTerm,
                                        Fleet::OutcomeKind::Damaged};

boost::json::object toObject(const Violation &violation)
{
    return {{"stream", toString(violation.stream)},
            {"offset", violation.offset.value},
            {"invariant", toString(violation.invariant)},
            {"line", lineOf(violation.invariant)},
            {"detail", violation.detail}};
}

} // namespace

Checks::Checks(const Fleet::Charts &charts,
               const Fleet::Fold &start,
               const Streams &streams,
               Violations &violations)
    : m_pool(start.state(), violations)
    , m_budget(start.state(), violations)
    , m_decision(start.state(), violations)
    , m_edit(start.state(), violations)
    , m_drain(start.state(), violations)
    , m_chart(charts, start.state(), violations)
    , m_snapshot(StateCursor(start, streams), violations)
{
}

void Checks::check(const Step &step)
{
    m_pool.check(step);
    m_budget.check(step);
    m_decision.check(step);
    m_edit.check(step);
    m_drain.check(step);
    m_chart.check(step);
    m_snapshot.check(step);
}

Findings replay(const Fleet::Charts &charts, const Fleet::Fold &start, const Streams &streams)
{
    return replayWith(charts, start, start, streams, [](const Step &, const Violations &) {});
}

std::string toText(const Findings &findings)
{
    std::string text;
    const auto out = std::back_inserter(text);
    for (const Violation &it : findings.violations) {
        fmt::format_to(
            out, "{}:{}: {} {}\n", toString(it.stream), it.offset.value, lineOf(it.invariant), it.detail);
    }
    fmt::format_to(out,
                   "folded up to common offset {} and zone offset {} of zone {}\n",
                   findings.state.commonAppliedTo.value,
                   findings.state.appliedTo.value,
                   findings.state.zone.value);
    for (const Fleet::OutcomeKind it : Kinds) {
        fmt::format_to(out, "{}: {}\n", toString(it), findings.outcomes.of(it));
    }
    fmt::format_to(out, "violations: {}\n", findings.violations.size());
    return text;
}

std::string toJson(const Findings &findings)
{
    boost::json::array violations;
    for (const Violation &it : findings.violations) {
        violations.push_back(toObject(it));
    }
    boost::json::object outcomes;
    for (const Fleet::OutcomeKind it : Kinds) {
        outcomes[toString(it)] = findings.outcomes.of(it);
    }
    const boost::json::object root{{"zone", findings.state.zone.value},
                                   {"commonAppliedTo", findings.state.commonAppliedTo.value},
                                   {"zoneAppliedTo", findings.state.appliedTo.value},
                                   {"outcomes", std::move(outcomes)},
                                   {"violations", std::move(violations)}};
    return boost::json::serialize(root);
}

} // namespace Replay
