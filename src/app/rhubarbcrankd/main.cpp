#include "daemon.h"

#include <base/logline.h>
#include <ini/reader.h>
#include <settings/daemonsettings.h>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <exception>

namespace
{

constexpr int ExitBadSettings = 2;

constexpr const char *Usage =
    R"(Runs an entry instance, which routes requests from callers to targets and manages the fleet.

Usage:
  rhubarbcrankd --settings=FILE [--share=DIR]
  rhubarbcrankd --check --settings=FILE
  rhubarbcrankd --print-settings [--markdown]
  rhubarbcrankd --help
  rhubarbcrankd --version

Options:
  --settings=FILE   INI file with the settings below
  --share=DIR       directory of the state charts [default: )" RHUBARBCRANK_SHARE R"(]
  --check           validate the settings, print any errors and exit
  --print-settings  print every setting with its default and explanation
  --markdown        print the settings as a Markdown documentation page

Exit status: 0 after a graceful shutdown, 1 on a failure, 2 on bad settings or usage.

Settings:
)";

std::string usageWithSettings()
{
    return Usage + Settings::helpText(Settings::daemonDeclarations().descriptions());
}

int printSettings(bool isMarkdown)
{
    const auto descriptions = Settings::daemonDeclarations().descriptions();
    const std::string text = isMarkdown ? Settings::markdownText(descriptions, "Settings of rhubarbcrankd")
                                        : Settings::iniText(descriptions);
    fmt::print("{}", text);
    return 0;
}

std::optional<Settings::DaemonSettings> loadSettings(const std::string &path)
{
    const auto loaded = Settings::daemonDeclarations().load(Ini::parseFile(path));
    for (const auto &it : loaded.mistakes) {
        fmt::print(stderr, "{}\n", Ini::toString(it));
    }
    return loaded.values;
}

int runDaemon(const Settings::DaemonSettings &settings, const std::string &shareFolder)
{
    Base::LogLine::setThreshold(settings.telemetry.logLevel);
    Base::LogLine::setOrigin(settings.instance.name);
    std::signal(SIGPIPE, SIG_IGN);
    Daemon::Daemon daemon(settings, shareFolder);
    return daemon.run();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        auto arguments = docopt::docopt_parse(usageWithSettings(), {argv + 1, argv + argc}, true, true);
        if (arguments["--print-settings"].asBool()) {
            return printSettings(arguments["--markdown"].asBool());
        }
        const auto settings = loadSettings(arguments["--settings"].asString());
        if (!settings) {
            return ExitBadSettings;
        }
        if (arguments["--check"].asBool()) {
            return 0;
        }
        return runDaemon(*settings, arguments["--share"].asString());
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}", usageWithSettings());
        return 0;
    } catch (const docopt::DocoptExitVersion &) {
        fmt::print("rhubarbcrankd {}\n", RHUBARBCRANK_VERSION);
        return 0;
    } catch (const docopt::DocoptArgumentError &error) {
        fmt::print(stderr, "{}\n{}", error.what(), Usage);
        return ExitBadSettings;
    } catch (const std::exception &error) {
        Base::LogLine(Base::LogLevel::Error, "failed").with("error", error.what());
        return 1;
    }
}
