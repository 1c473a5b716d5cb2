#pragma once

#include <ini/mistake.h>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet
{

/// The names of all states and events, in the order of the enumerators. A chart must define exactly these.
struct ChartSymbols {
    std::span<const std::string_view> states;
    std::span<const std::string_view> events;
};

/// All errors found in the charts that were loaded.
struct ChartMistakes {
    std::vector<Ini::Mistake> mistakes;
};

/// A transition table read from an INI file. States and events are indexes into the vocabulary.
class StateChart
{
public:
    /// Reads and validates a chart: every state must be reachable, every event known, and every pair of a
    /// non-final state and an event defined. On failure, the error is a ChartMistakes object.
    static boost::leaf::result<StateChart> load(const std::string &path, const ChartSymbols &vocabulary);

    /// As load(), from text; `name` is used as the file name in error messages.
    static boost::leaf::result<StateChart>
    parse(std::string_view text, std::string_view name, const ChartSymbols &vocabulary);

    /// The state after `event`; std::nullopt if there is no transition.
    std::optional<std::size_t> next(std::size_t state, std::size_t event) const;

    std::size_t initial() const
    {
        return m_initial;
    }

private:
    friend class ChartReader;

    std::size_t m_initial = 0;
    std::size_t m_eventCount = 0;
    std::vector<std::optional<std::size_t>> m_targets; ///< by state, then by event
};

} // namespace Fleet
