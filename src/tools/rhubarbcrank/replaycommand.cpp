#include "replaycommand.h"

#include "httpsession.h"
#include "platformoptions.h"
#include "recordreader.h"

#include <replay/policyplanner.h>
#include <replay/replay.h>

#include <boost/json/parse.hpp>

namespace Commands
{

namespace
{

constexpr const char *Usage =
    R"(Folds a zone's record again, decides again what was decided, and checks what must always hold.

Usage:
  rhubarbcrank replay --platform=ADDRESS --environment=ENV --zone=ZONE [--timeout-ms=TIME] [--share=DIR]
                      [--format=FORMAT]
  rhubarbcrank replay --help

A violation is named with its offset and the line that it breaks; the exit status is 1 then.

Options:
  --environment=ENV   the environment whose document counts
  --zone=ZONE         the availability zone whose record is replayed)";

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
    const auto findings = Replay::replay(
        *charts.charts, start, Replay::Streams{record.common, record.zone}, Replay::PolicyPlanner());
    Report report;
    report.status = findings.isSound() ? ExitStatus::Done : ExitStatus::Refused;
    report.text = Replay::toText(findings);
    report.details = boost::json::parse(Replay::toJson(findings)).as_object();
    return report;
}

} // namespace

Command replayCommand()
{
    return {"replay", "check what must always hold over a zone's record", Usage + platformUsage(), run};
}

} // namespace Commands
