#include "reportcommand.h"

#include "httpsession.h"
#include "platformoptions.h"
#include "recordreader.h"

#include <replay/report.h>

#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <fstream>
#include <optional>
#include <string>

namespace Commands
{

namespace
{

constexpr const char *Usage =
    R"(Says what a zone's record cost: buffer, roll-out time and moves, per pool and in total.

Usage:
  rhubarbcrank report --platform=ADDRESS --environment=ENV --zone=ZONE [--plot=FILE] [--timeout-ms=TIME]
                      [--share=DIR] [--format=FORMAT]
  rhubarbcrank report --help

Options:
  --environment=ENV   the environment whose document counts
  --zone=ZONE         the availability zone asked for
  --plot=FILE         writes slots and moves over time to FILE, as SVG)";

bool writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    return static_cast<bool>(file.flush());
}

Report run(const Arguments &arguments)
{
    const PlatformOptions options = platformOptions(arguments);
    const Base::AvailabilityZoneName zone{arguments.required("--zone")};
    const LoadedCharts charts = loadCharts(options.shareFolder);
    if (!charts.charts) {
        return badInput(charts.mistakes);
    }
    HttpSession session(options.platform);
    const auto read = readRecord(session, {arguments.required("--environment")}, zone, options.patience);
    if (const auto *failure = std::get_if<Report>(&read)) {
        return *failure;
    }
    const auto &record = std::get<ZoneRecord>(read);
    const Fleet::Fold start(*charts.charts, zone);
    const auto costs = Replay::report(start, Replay::Streams{record.common, record.zone});
    const std::optional<std::string> plot = arguments.text("--plot");
    if (plot && !writeFile(*plot, Replay::toSvg(costs))) {
        return badInput(fmt::format("{} can't be written", *plot));
    }
    Report report;
    report.text = Replay::toText(costs);
    report.details = boost::json::parse(Replay::toJson(costs)).as_object();
    return report;
}

} // namespace

Command reportCommand()
{
    return {"report", "say what a zone's record cost", Usage + platformUsage(), run};
}

} // namespace Commands
