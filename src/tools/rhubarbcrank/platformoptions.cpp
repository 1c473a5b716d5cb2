#include "platformoptions.h"

#include <boost/leaf/handle_errors.hpp>

namespace Commands
{

std::string platformUsage()
{
    return R"(
  --platform=ADDRESS  IP:port of the platform's service
  --timeout-ms=TIME   how long the platform may be out, and a roll-out may take [default: 30000]
  --share=DIR         folder of the state charts [default: )" RHUBARBCRANK_SHARE "]";
}

PlatformOptions platformOptions(const Arguments &arguments)
{
    return {arguments.endpoint("--platform"),
            arguments.required("--share"),
            arguments.milliseconds("--timeout-ms")};
}

LoadedCharts loadCharts(const std::string &shareFolder)
{
    const std::string folder = shareFolder + "/charts";
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<LoadedCharts> {
            BOOST_LEAF_AUTO(charts, Fleet::Charts::load(folder));
            return LoadedCharts{std::move(charts), {}};
        },
        [](const Fleet::ChartMistakes &found) {
            return LoadedCharts{std::nullopt, found.mistakes};
        },
        [&] {
            return LoadedCharts{std::nullopt, {{folder, 0, "", "", "the state charts can't be loaded", ""}}};
        });
}

} // namespace Commands
