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

/// The names that the code knows, in the order of its enumerators. A chart must name exactly these.
struct ChartVocabulary {
    std::span<const std::string_view> states;
    std::span<const std::string_view> events;
};

/// Why charts were not taken: all mistakes at once.
struct ChartMistakes {
    std::vector<Ini::Mistake> mistakes;
};

/// A table of legal transitions, read from an INI file. States and events count as in the vocabulary.
class StateChart
{
public:
    /// Reads and checks a chart: every state reachable, every event known, every transition decided.
    /// The error is ChartMistakes.
    static boost::leaf::result<StateChart> load(const std::string &path, const ChartVocabulary &vocabulary);

    /// As load(), from text; `name` stands for the file in mistakes.
    static boost::leaf::result<StateChart>
    parse(std::string_view text, std::string_view name, const ChartVocabulary &vocabulary);

    /// The state after `event`; nothing when the chart refuses it.
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
