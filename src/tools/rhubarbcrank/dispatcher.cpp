#include "dispatcher.h"

#include <ini/values.h>

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace Commands
{

namespace
{

constexpr std::string_view CommonOptions = R"(
  --format=FORMAT     text or json [default: text]
  --help              show this text

Exit status: 0 done, 1 refused or violated, 2 usage or bad input, 3 platform not reachable.
)";

std::string overview(std::span<const Command> commands)
{
    std::string text = "Steers rhubarbcrank: documents, and what became of them.\n\n"
                       "Usage:\n"
                       "  rhubarbcrank COMMAND [--format=FORMAT] ...\n"
                       "  rhubarbcrank COMMAND --help\n"
                       "  rhubarbcrank --help | --version\n\n"
                       "Commands:\n";
    for (const Command &it : commands) {
        text += fmt::format("  {:<10} {}\n", it.name, it.summary);
    }
    return text
        + "\nExit status: 0 done, 1 refused or violated, 2 usage or bad input, 3 platform not reachable.\n";
}

Outcome usageError(std::string_view reason, std::string_view usage)
{
    return {ExitStatus::BadInput, {}, fmt::format("{}\n\n{}", reason, usage)};
}

Outcome unknownCommand(std::span<const Command> commands, const std::string &name)
{
    std::vector<std::string> names;
    names.reserve(commands.size());
    for (const Command &it : commands) {
        names.push_back(it.name);
    }
    const auto nearest = Ini::nearest(name, names);
    const std::string hint = nearest ? fmt::format(", did you mean '{}'?", *nearest) : "";
    return usageError(fmt::format("unknown command '{}'{}", name, hint), overview(commands));
}

Outcome asJson(const Command &command, Report report)
{
    report.details["command"] = command.name;
    report.details["status"] = toString(report.status);
    return {report.status, boost::json::serialize(report.details) + '\n', {}};
}

Outcome asText(Report report)
{
    if (report.status == ExitStatus::BadInput) {
        return {report.status, {}, std::move(report.text)};
    }
    return {report.status, std::move(report.text), {}};
}

Outcome run(const Command &command, std::span<const std::string> given)
{
    const std::string usage = command.usage + std::string(CommonOptions);
    try {
        const Arguments arguments(docopt::docopt_parse(usage, {given.begin(), given.end()}, true, false));
        const std::string format = arguments.required("--format");
        if (format != "text" && format != "json") {
            return usageError(fmt::format("unknown format '{}', text or json", format), usage);
        }
        Report report = command.run(arguments);
        return format == "json" ? asJson(command, std::move(report)) : asText(std::move(report));
    } catch (const docopt::DocoptExitHelp &) {
        return {ExitStatus::Done, usage, {}};
    } catch (const docopt::DocoptArgumentError &error) {
        return usageError(error.what(), usage);
    }
}

} // namespace

Outcome dispatch(std::span<const Command> commands, std::span<const std::string> arguments)
{
    if (arguments.empty()) {
        return usageError("no command given", overview(commands));
    }
    const std::string &name = arguments.front();
    if (name == "--help") {
        return {ExitStatus::Done, overview(commands), {}};
    }
    if (name == "--version") {
        return {ExitStatus::Done, "rhubarbcrank " RHUBARBCRANK_VERSION "\n", {}};
    }
    const auto it = std::find_if(
        commands.begin(), commands.end(), [&](const Command &command) { return command.name == name; });
    return it == commands.end() ? unknownCommand(commands, name) : run(*it, arguments);
}

} // namespace Commands
