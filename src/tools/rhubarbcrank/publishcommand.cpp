#include "publishcommand.h"

#include "httpsession.h"
#include "platformoptions.h"
#include "publishing.h"

#include <document/documentreader.h>

namespace Commands
{

namespace
{

constexpr const char *Usage =
    R"(Makes a document the accepted one of its environment, unless it was changed since.

Usage:
  rhubarbcrank publish --platform=ADDRESS [--base=OFFSET] [--wait] [--author=NAME] [--comment=TEXT]
                       [--timeout-ms=TIME] [--share=DIR] [--format=FORMAT] FILE
  rhubarbcrank publish --help

Options:
  --base=OFFSET       the accepted edit that the file was made from; the latest if not given
  --wait              wait until the edit is in force on every live entry instance
  --author=NAME       who publishes; the login's name if not given
  --comment=TEXT      why)";

Report publish(const Arguments &arguments)
{
    const PlatformOptions options = platformOptions(arguments);
    const std::optional<std::uint64_t> base = arguments.integer("--base");
    const Document::Loaded loaded = Document::readFile(arguments.required("FILE"));
    const LoadedCharts charts = loadCharts(options.shareFolder);
    if (!loaded.document || !charts.charts) {
        return badInput(loaded.document ? charts.mistakes : loaded.mistakes);
    }
    EditRequest request{*loaded.document,
                        base ? std::optional(Fleet::Offset{*base}) : std::nullopt,
                        arguments.text("--author").value_or(defaultAuthor()),
                        arguments.text("--comment").value_or(""),
                        newRecordId(),
                        options.patience};
    HttpSession session(options.platform);
    return publishEdit(session, *charts.charts, request, arguments.isSet("--wait"));
}

} // namespace

Command publishCommand()
{
    return {
        "publish", "make a document the accepted one of its environment", Usage + platformUsage(), publish};
}

} // namespace Commands
