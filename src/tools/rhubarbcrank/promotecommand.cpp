#include "promotecommand.h"

#include "httpsession.h"
#include "platformoptions.h"

#include <settings/valueformat.h>

namespace Commands
{

namespace
{

constexpr const char *Usage = R"(Copies the accepted document of one environment to another, as an edit there.

Usage:
  rhubarbcrank promote --platform=ADDRESS --from=ENV --to=ENV [--base=OFFSET] [--wait] [--author=NAME]
                       [--comment=TEXT] [--timeout-ms=TIME] [--share=DIR] [--format=FORMAT]
  rhubarbcrank promote --help

Options:
  --from=ENV          environment whose accepted document is copied
  --to=ENV            environment that gets it
  --base=OFFSET       the edit of --to that is to be replaced; the latest if not given
  --wait              wait until the edit is in force on every live entry instance
  --author=NAME       who promotes; the login's name if not given
  --comment=TEXT      why)";

Report run(const Arguments &arguments)
{
    const PlatformOptions options = platformOptions(arguments);
    const std::optional<std::uint64_t> base = arguments.integer("--base");
    const std::string from = arguments.required("--from");
    const std::string to = arguments.required("--to");
    if (!Settings::isName(from) || !Settings::isName(to) || from == to) {
        return badInput("--from and --to must be two environments");
    }
    const LoadedCharts charts = loadCharts(options.shareFolder);
    if (!charts.charts) {
        return badInput(charts.mistakes);
    }
    const EditRequest edit{{},
                           base ? std::optional(Fleet::Offset{*base}) : std::nullopt,
                           arguments.text("--author").value_or(defaultAuthor()),
                           arguments.text("--comment").value_or(""),
                           newRecordId(),
                           options.patience};
    HttpSession session(options.platform);
    return promote(session, *charts.charts, {{from}, {to}, edit}, arguments.isSet("--wait"));
}

} // namespace

Command promoteCommand()
{
    return {"promote", "copy an accepted document to another environment", Usage + platformUsage(), run};
}

} // namespace Commands
