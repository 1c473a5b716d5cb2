#pragma once

#include "fleetstate.h"
#include "statechart.h"

#include <boost/leaf/result.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Fleet
{

/// Events in the life cycle of an instance; the transitions are defined in
/// share/rhubarbcrank/charts/instance.ini.
enum class InstanceEvent { Drain, Release, Reboot, RebootSucceeded, RebootFailed, Fail, Recover };

enum class MoveEvent { Acknowledge, Commit, Abort };

enum class WaveEvent { BeginMaintenance, EndMaintenance, Stop, Finish };

enum class EditPhase { Proposed, Accepted, Refused, Superseded };
enum class EditEvent { Accept, Refuse, Supersede };

/// The names of an enumeration's values in chart files, in the order of the enumerators.
template<typename Enum>
struct ChartNames;

template<>
struct ChartNames<InstancePhase> {
    static constexpr std::array<std::string_view, 4> Names{"serving", "draining", "rebooting", "failed"};
};
template<>
struct ChartNames<InstanceEvent> {
    static constexpr std::array<std::string_view, 7> Names{
        "drain", "release", "reboot", "reboot-succeeded", "reboot-failed", "fail", "recover"};
};
template<>
struct ChartNames<MovePhase> {
    static constexpr std::array<std::string_view, 3> Names{"draining", "committed", "aborted"};
};
template<>
struct ChartNames<MoveEvent> {
    static constexpr std::array<std::string_view, 3> Names{"acknowledge", "commit", "abort"};
};
template<>
struct ChartNames<WavePhase> {
    static constexpr std::array<std::string_view, 3> Names{"running", "stopped", "finished"};
};
template<>
struct ChartNames<WaveEvent> {
    static constexpr std::array<std::string_view, 4> Names{
        "begin-maintenance", "end-maintenance", "stop", "finish"};
};
template<>
struct ChartNames<EditPhase> {
    static constexpr std::array<std::string_view, 4> Names{"proposed", "accepted", "refused", "superseded"};
};
template<>
struct ChartNames<EditEvent> {
    static constexpr std::array<std::string_view, 3> Names{"accept", "refuse", "supersede"};
};

/// Type-safe wrapper of StateChart over the enumerations of phases and events.
template<typename Phase, typename Event>
class Chart
{
public:
    static constexpr ChartSymbols Vocabulary{ChartNames<Phase>::Names, ChartNames<Event>::Names};

    Chart() = default;
    explicit Chart(StateChart chart)
        : m_chart(std::move(chart))
    {
    }

    Phase initial() const
    {
        return static_cast<Phase>(m_chart.initial());
    }

    /// The phase after `event`; std::nullopt if the chart has no transition for it.
    std::optional<Phase> next(Phase phase, Event event) const
    {
        const auto target = m_chart.next(static_cast<std::size_t>(phase), static_cast<std::size_t>(event));
        if (!target) {
            return std::nullopt;
        }
        return static_cast<Phase>(*target);
    }

private:
    StateChart m_chart;
};

/// The state charts that Fold interprets.
struct Charts {
    Chart<InstancePhase, InstanceEvent> instance;
    Chart<MovePhase, MoveEvent> move;
    Chart<WavePhase, WaveEvent> wave;
    Chart<EditPhase, EditEvent> edit;

    /// Reads instance.ini, move.ini, wave.ini and edit.ini from a folder. On failure, the error is a
    /// ChartMistakes object with the errors of all files.
    static boost::leaf::result<Charts> load(const std::string &folder);
};

} // namespace Fleet
