#include "charts.h"

#include <boost/leaf/handle_errors.hpp>

#include <iterator>
#include <utility>

namespace Fleet
{

namespace
{

template<typename Phase, typename Event>
void loadInto(Chart<Phase, Event> &chart, const std::string &path, std::vector<Ini::Mistake> &mistakes)
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(loaded, StateChart::load(path, Chart<Phase, Event>::Vocabulary));
            chart = Chart<Phase, Event>(std::move(loaded));
            return {};
        },
        [&](const ChartMistakes &found) {
            mistakes.insert(mistakes.end(), found.mistakes.begin(), found.mistakes.end());
        },
        [&] {
            mistakes.push_back({path, 0, "", "", "can't be loaded", ""});
        });
}

} // namespace

boost::leaf::result<Charts> Charts::load(const std::string &folder)
{
    Charts charts;
    std::vector<Ini::Mistake> mistakes;
    loadInto(charts.instance, folder + "/instance.ini", mistakes);
    loadInto(charts.move, folder + "/move.ini", mistakes);
    loadInto(charts.wave, folder + "/wave.ini", mistakes);
    loadInto(charts.edit, folder + "/edit.ini", mistakes);
    if (!mistakes.empty()) {
        return boost::leaf::new_error(ChartMistakes{std::move(mistakes)});
    }
    return charts;
}

} // namespace Fleet
