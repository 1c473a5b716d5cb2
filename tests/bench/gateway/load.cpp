#include "loadgenerator.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdio>
#include <exception>

namespace
{

constexpr const char *Usage =
    R"(Sends requests to one address on loopback in a closed loop, or holds idle connections.

Usage:
  bench_load run ADDRESS PATH [--connections=N] [--requests=N] [--time-limit=S]
  bench_load hold ADDRESS [--connections=N] [--time-limit=S]
  bench_load --help

ADDRESS is IP:PORT.

Options:
  --connections=N  connections open at once [default: 64]
  --requests=N     requests in all [default: 100000]
  --time-limit=S   seconds after which the program ends [default: 60]
)";

Bench::Address addressOf(const std::string &text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

} // namespace

int main(int argc, char **argv)
{
    try {
        auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
        Bench::LoadPlan plan;
        plan.addresses = {addressOf(arguments["ADDRESS"].asString())};
        plan.connections = static_cast<std::size_t>(arguments["--connections"].asLong());
        plan.requests = static_cast<std::uint64_t>(arguments["--requests"].asLong());
        plan.timeLimit = std::chrono::seconds{arguments["--time-limit"].asLong()};
        if (arguments["hold"].asBool()) {
            Bench::holdConnections(plan, plan.timeLimit);
            return 0;
        }
        plan.path = arguments["PATH"].asString();
        const Bench::LoadResult result = Bench::runLoad(plan);
        fmt::print("answered={} failed={} seconds={:.1f} per_second={:.0f} p50_us={:.0f} p99_us={:.0f}\n",
                   result.answered,
                   result.failed,
                   result.seconds,
                   result.perSecond(),
                   result.p50,
                   result.p99);
        return result.failed == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        fmt::print(stderr, "level=error event=failed error=\"{}\"\n", error.what());
        return 1;
    }
}
