#include "standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <map>

namespace
{

constexpr const char *Usage = R"(Stands in for the platform in tests: its log, instance list and actions.

Usage:
  platformstandin [--port=PORT] [--retention=RECORDS] [--reboot-ms=TIME]
  platformstandin --help

Options:
  --port=PORT          TCP port on loopback, 0 for any; it is printed. [default: 0]
  --retention=RECORDS  How many records of each stream are kept, 0 for all. [default: 0]
  --reboot-ms=TIME     How long a rebooted instance is listed as gone. [default: 1000]
  --help               Shows this text.

Faults are set by POST /control/faults, see faults.h; counts are at GET /control/counters.
)";

int run(const PlatformStandin::Settings &settings)
{
    boost::asio::io_context context(1);
    PlatformStandin::Standin standin(context, settings);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    fmt::print("{}\n", standin.port());
    std::fflush(stdout);
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
        PlatformStandin::Settings settings;
        settings.port = static_cast<std::uint16_t>(arguments["--port"].asLong());
        settings.retention = static_cast<std::size_t>(arguments["--retention"].asLong());
        settings.rebootTime = std::chrono::milliseconds(arguments["--reboot-ms"].asLong());
        return run(settings);
    } catch (const std::exception &e) {
        fmt::print(stderr, "platformstandin: {}\n", e.what());
        return 2;
    }
}
