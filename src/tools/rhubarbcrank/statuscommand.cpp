#include "statuscommand.h"

#include "httpsession.h"
#include "platformoptions.h"

#include <settings/valueformat.h>

#include <fmt/format.h>

namespace Commands
{

namespace
{

constexpr const char *Usage = R"(Says which document is accepted, and where it is in force.

Usage:
  rhubarbcrank status --platform=ADDRESS --environment=ENV [--timeout-ms=TIME] [--share=DIR]
                      [--format=FORMAT]
  rhubarbcrank status --help

Options:
  --environment=ENV   the environment asked for)";

std::string lastEdit(const EnvironmentLog &log)
{
    const std::optional<AcceptedEdit> &latest = log.latest();
    const std::string author = latest ? fmt::format(", by {}", latest->author) : "";
    const std::string comment =
        latest && !latest->comment.empty() ? fmt::format(": {}", latest->comment) : "";
    return fmt::format("{}: document accepted at offset {}{}{}\n",
                       log.state().document.environment.value,
                       log.state().documentOffset.value,
                       author,
                       comment);
}

std::string lineOf(const EntryProgress &entry, Fleet::Offset offset)
{
    const std::string progress = reasonBehind(entry, offset).value_or("in force");
    const bool isReady = entry.status && entry.status->isReady;
    return fmt::format("  {} in {}: {}{}\n", entry.instance, entry.zone, progress, isReady ? ", ready" : "");
}

Report run(const Arguments &arguments)
{
    const PlatformOptions options = platformOptions(arguments);
    const std::string environment = arguments.required("--environment");
    if (!Settings::isName(environment)) {
        return badInput("--environment must be a " + Settings::nameKind());
    }
    const LoadedCharts charts = loadCharts(options.shareFolder);
    if (!charts.charts) {
        return badInput(charts.mistakes);
    }
    HttpSession session(options.platform);
    return status(session, *charts.charts, {environment}, options.patience);
}

} // namespace

Report statusReport(const EnvironmentLog &log, const RollOut &rollOut)
{
    const Fleet::Offset offset = log.state().documentOffset;
    const bool isInForce = isInForceEverywhere(rollOut, offset);
    Report report;
    report.status = isInForce ? ExitStatus::Done : ExitStatus::Refused;
    report.text = lastEdit(log);
    for (const EntryProgress &it : rollOut.entries) {
        report.text += lineOf(it, offset);
    }
    if (rollOut.entries.empty()) {
        report.text += textOfBehind(rollOut, offset);
    }
    report.details = {{"environment", log.state().document.environment.value},
                      {"accepted_offset", offset.value},
                      {"author", log.latest() ? log.latest()->author : ""},
                      {"comment", log.latest() ? log.latest()->comment : ""},
                      {"is_in_force_everywhere", isInForce},
                      {"entry_instances", toJson(rollOut, offset)}};
    return report;
}

Command statusCommand()
{
    return {
        "status", "say which document is accepted and where it is in force", Usage + platformUsage(), run};
}

} // namespace Commands
