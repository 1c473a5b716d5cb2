#include "claimload.h"
#include "tablecost.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdio>
#include <exception>
#include <map>

namespace
{

constexpr const char *Usage = R"(Measures the cost of claiming idempotency keys in the log.

Usage:
  claimsbench load --port=PORT [--desks=N] [--rate=N] [--seconds=N] [--interval-ms=N]
                   [--answer-bytes=N]
  claimsbench table [--keys=N] [--answer-bytes=N]
  claimsbench --help

Options:
  --port=PORT         Loopback port of the platform stand-in.
  --desks=N           Number of claiming members, all on one thread. [default: 8]
  --rate=N            Claims offered per second, over all members. [default: 200]
  --seconds=N         Duration of the load. [default: 5]
  --interval-ms=N     Minimum time between two appends of one member. [default: 40]
  --keys=N            Number of keys to remember. [default: 50000]
  --answer-bytes=N    Size of each stored answer; 0 stores none. [default: 200]
  --help              Show this text.
)";

std::size_t numberOf(std::map<std::string, docopt::value> &arguments, const std::string &name)
{
    return static_cast<std::size_t>(arguments[name].asLong());
}

void run(std::map<std::string, docopt::value> &arguments)
{
    if (arguments["table"].asBool()) {
        runTableCost(numberOf(arguments, "--keys"), numberOf(arguments, "--answer-bytes"));
        return;
    }
    LoadSettings settings;
    settings.port = static_cast<std::uint16_t>(numberOf(arguments, "--port"));
    settings.desks = numberOf(arguments, "--desks");
    settings.claimsPerSecond = numberOf(arguments, "--rate");
    settings.seconds = numberOf(arguments, "--seconds");
    settings.minAppendInterval = std::chrono::milliseconds(numberOf(arguments, "--interval-ms"));
    settings.answerBytes = numberOf(arguments, "--answer-bytes");
    runClaimLoad(settings);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
        run(arguments);
        return 0;
    } catch (const std::exception &e) {
        fmt::print(stderr, "claimsbench: {}\n", e.what());
        return 2;
    }
}
