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

/// What can happen to an instance; see share/rhubarbcrank/charts/instance.ini.
enum class InstanceEvent { Drain, Release, Reboot, RebootSucceeded, RebootFailed, Fail, Recover };

enum class MoveEvent { Acknowledge, Commit, Abort };

enum class WaveEvent { BeginMaintenance, EndMaintenance, Stop, Finish };

enum class EditPhase { Proposed, Accepted, Refused, Superseded };
enum class EditEvent { Accept, Refuse, Supersede };

/// The names of an enumeration's values in charts, in their order.
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

/// A state chart over the code's own enumerations.
template<typename Phase, typename Event>
class Chart
{
public:
    static constexpr ChartVocabulary Vocabulary{ChartNames<Phase>::Names, ChartNames<Event>::Names};

    Chart() = default;
    explicit Chart(StateChart chart)
        : m_chart(std::move(chart))
    {
    }

    Phase initial() const
    {
        return static_cast<Phase>(m_chart.initial());
    }

    /// The phase after `event`; nothing when the chart refuses it.
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

/// The charts that the fold interprets.
struct Charts {
    Chart<InstancePhase, InstanceEvent> instance;
    Chart<MovePhase, MoveEvent> move;
    Chart<WavePhase, WaveEvent> wave;
    Chart<EditPhase, EditEvent> edit;

    /// Reads instance.ini, move.ini, wave.ini and edit.ini of a folder. The error is ChartMistakes, of all
    /// files.
    static boost::leaf::result<Charts> load(const std::string &folder);
};

} // namespace Fleet
