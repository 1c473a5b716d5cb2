#include "scenario.h"

#include <replay/report.h>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <pugixml.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>

using Replay::PoolReport;
using Replay::Report;
using namespace std::chrono_literals;

namespace
{

Report soundReport()
{
    return Replay::report(Scenarios::emptyFold(), Scenarios::soundScenario().streams());
}

const PoolReport &poolOf(const Report &report, std::size_t n)
{
    return report.pools.at(n);
}

} // namespace

TEST_GROUP(Report){};

// Pool 0 has 32 slots for 10 s with 4 busy, then 24 for 10 s with 8 busy.
TEST(Report, ChargesIdleSlotsForTheTimeBetweenObservations)
{
    const Report report = soundReport();
    CHECK(report.observedTime == 20s);
    DOUBLES_EQUAL(32 * 10 + 24 * 10, poolOf(report, 0).slotSeconds, 1e-9);
    DOUBLES_EQUAL(28 * 10 + 16 * 10, poolOf(report, 0).idleSlotSeconds, 1e-9);
    DOUBLES_EQUAL(440.0 / 560, poolOf(report, 0).bufferShare(), 1e-9);
    DOUBLES_EQUAL(96 * 20, report.total.slotSeconds, 1e-9);
}

TEST(Report, CountsMovesAndRebootsByPool)
{
    const Report report = soundReport();
    LONGS_EQUAL(1, poolOf(report, 0).movesOut);
    LONGS_EQUAL(1, poolOf(report, 1).movesIn);
    LONGS_EQUAL(2, poolOf(report, 1).reboots);
    LONGS_EQUAL(1, report.total.movesIn);
    LONGS_EQUAL(2, report.acceptedEdits);
}

TEST(Report, TheRollOutOfAWaveLastsUntilItsLastMaintenance)
{
    const Report report = soundReport();
    CHECK(poolOf(report, 1).rollOutTime == 5s);
    CHECK(report.total.rollOutTime == 5s);
}

TEST(Report, AMoveThatAnEditEndsCountsAsAborted)
{
    Scenarios::Scenario scenario;
    scenario.decide(Fleet::MoveStarted{
        {"move"}, Scenarios::workerName(0), Scenarios::poolName(0), Scenarios::poolName(1), ""});
    Document::Delta delta;
    delta.removedInstances.push_back(Scenarios::workerName(0));
    scenario.edit(delta);
    scenario.observe(1, 0);
    LONGS_EQUAL(1, Replay::report(Scenarios::emptyFold(), scenario.streams()).total.abortedMoves);
}

TEST(Report, ClocksOfTwoPlannersAreNotCompared)
{
    Scenarios::Scenario scenario;
    scenario.observe(10, 0);
    scenario.report(
        Fleet::PlannerClaimed{Scenarios::Zone, Scenarios::Beta, currentTerm(scenario.fold().state())});
    scenario.observe(5000, 0);
    scenario.observe(5001, 0);
    CHECK(Replay::report(Scenarios::emptyFold(), scenario.streams()).observedTime == 1s);
}

TEST(Report, TextHasALineForEachPoolAndTheTotal)
{
    const std::string text = toText(soundReport());
    STRCMP_CONTAINS("pool-000", text.c_str());
    STRCMP_CONTAINS("\ntotal", text.c_str());
}

TEST(Report, JsonHasPoolsAndSamples)
{
    const boost::json::value root = boost::json::parse(toJson(soundReport()));
    LONGS_EQUAL(1, root.at("pools").at("pool-001").at("movesIn").to_number<int>());
    LONGS_EQUAL(4, root.at("samples").as_array().size());
    DOUBLES_EQUAL(20, root.at("observedSeconds").to_number<double>(), 1e-9);
}

TEST(Report, SvgIsWellFormedAndMarksMoves)
{
    pugi::xml_document document;
    const std::string text = toSvg(soundReport());
    CHECK(document.load_string(text.c_str()));
    const pugi::xml_node svg = document.child("svg");
    LONGS_EQUAL(3, std::distance(svg.children("polyline").begin(), svg.children("polyline").end()));
    CHECK(svg.find_child_by_attribute("circle", "class", "move"));
}
