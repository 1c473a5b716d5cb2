#include "statechart.h"

#include <ini/reader.h>
#include <ini/values.h>

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Fleet
{

namespace
{

constexpr std::string_view ChartSection = "chart";
constexpr std::string_view InitialKey = "initial";
constexpr std::string_view EventsKey = "events";
constexpr std::string_view FinalKey = "final";
constexpr std::string_view NoTransition = "none";

std::optional<std::size_t> indexOf(std::span<const std::string_view> names, std::string_view name)
{
    const auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::distance(names.begin(), it));
}

std::string joined(std::span<const std::string_view> names)
{
    std::string text;
    for (const std::string_view it : names) {
        text += text.empty() ? "" : ", ";
        text += it;
    }
    return text;
}

} // namespace

/// Converts the sections of an INI file to a chart and collects all errors.
class ChartReader
{
public:
    ChartReader(Ini::Parsed parsed, const ChartSymbols &vocabulary)
        : m_file(std::move(parsed.file))
        , m_vocabulary(vocabulary)
        , m_mistakes(std::move(parsed.mistakes))
        , m_declared(vocabulary.states.size(), false)
        , m_final(vocabulary.states.size(), false)
    {
        m_chart.m_eventCount = vocabulary.events.size();
        m_chart.m_targets.resize(vocabulary.states.size() * vocabulary.events.size());
    }

    boost::leaf::result<StateChart> read()
    {
        for (const Ini::Section &it : m_file.sections) {
            readSection(it);
        }
        checkRequiredKeys();
        checkStatesDeclared();
        if (m_mistakes.empty()) {
            checkReachable();
        }
        if (!m_mistakes.empty()) {
            return boost::leaf::new_error(ChartMistakes{std::move(m_mistakes)});
        }
        return std::move(m_chart);
    }

private:
    void
    report(int line, std::string_view section, std::string_view key, std::string what, std::string allowed)
    {
        m_mistakes.push_back(
            {m_file.name, line, std::string(section), std::string(key), std::move(what), std::move(allowed)});
    }

    void readSection(const Ini::Section &section)
    {
        if (section.name == ChartSection) {
            readChartSection(section);
            return;
        }
        const std::optional<std::size_t> state = indexOf(m_vocabulary.states, section.name);
        if (!state) {
            report(section.line, section.name, "", "undefined state", joined(m_vocabulary.states));
            return;
        }
        if (m_declared[*state]) {
            report(section.line, section.name, "", "state is declared twice", "");
            return;
        }
        m_declared[*state] = true;
        readTransitions(section, *state);
    }

    void readChartSection(const Ini::Section &section)
    {
        for (const Ini::Entry &it : section.entries) {
            if (it.key == InitialKey) {
                readInitial(it);
            } else if (it.key == EventsKey) {
                readEvents(it);
            } else {
                report(it.line, ChartSection, it.key, "unknown key", "initial, events");
            }
        }
    }

    void readInitial(const Ini::Entry &entry)
    {
        m_hasInitial = true;
        const std::optional<std::size_t> state = indexOf(m_vocabulary.states, entry.value);
        if (!state) {
            report(entry.line, ChartSection, entry.key, "undefined state", joined(m_vocabulary.states));
            return;
        }
        m_chart.m_initial = *state;
    }

    void readEvents(const Ini::Entry &entry)
    {
        m_hasEvents = true;
        const std::vector<std::string> events = Ini::toList(entry.value).value_or(std::vector<std::string>{});
        for (const std::string &it : events) {
            if (!indexOf(m_vocabulary.events, it)) {
                report(entry.line,
                       ChartSection,
                       entry.key,
                       "undefined event " + it,
                       joined(m_vocabulary.events));
            }
        }
        for (const std::string_view it : m_vocabulary.events) {
            if (std::find(events.begin(), events.end(), it) == events.end()) {
                report(entry.line, ChartSection, entry.key, "event is missing: " + std::string(it), "");
            }
        }
    }

    void readTransitions(const Ini::Section &section, std::size_t state)
    {
        std::vector<bool> isDefined(m_vocabulary.events.size(), false);
        for (const Ini::Entry &it : section.entries) {
            if (it.key == FinalKey) {
                m_final[state] = Ini::toBoolean(it.value).value_or(false);
                continue;
            }
            const std::optional<std::size_t> event = indexOf(m_vocabulary.events, it.key);
            if (!event) {
                report(it.line, section.name, it.key, "undefined event", joined(m_vocabulary.events));
                continue;
            }
            if (isDefined[*event]) {
                report(it.line, section.name, it.key, "transition is declared twice", "");
                continue;
            }
            isDefined[*event] = true;
            readTarget(it, section.name, state, *event);
        }
        checkTransitions(section, state, isDefined);
    }

    void readTarget(const Ini::Entry &entry, std::string_view section, std::size_t state, std::size_t event)
    {
        if (entry.value == NoTransition) {
            return;
        }
        const std::optional<std::size_t> target = indexOf(m_vocabulary.states, entry.value);
        if (!target) {
            report(entry.line, section, entry.key, "undefined state", joined(m_vocabulary.states) + ", none");
            return;
        }
        m_chart.m_targets[state * m_chart.m_eventCount + event] = target;
    }

    void checkTransitions(const Ini::Section &section, std::size_t state, const std::vector<bool> &isDefined)
    {
        for (std::size_t event = 0; event < isDefined.size(); ++event) {
            const std::string_view name = m_vocabulary.events[event];
            if (m_final[state] && isDefined[event]) {
                report(section.line, section.name, name, "a final state has no transition", "");
            }
            if (!m_final[state] && !isDefined[event]) {
                report(section.line, section.name, name, "missing transition", "a state, none");
            }
        }
    }

    void checkRequiredKeys()
    {
        if (!m_hasInitial) {
            report(0, ChartSection, InitialKey, "missing key", joined(m_vocabulary.states));
        }
        if (!m_hasEvents) {
            report(0, ChartSection, EventsKey, "missing key", joined(m_vocabulary.events));
        }
    }

    void checkStatesDeclared()
    {
        for (std::size_t state = 0; state < m_declared.size(); ++state) {
            if (!m_declared[state]) {
                report(0, m_vocabulary.states[state], "", "state is missing", "");
            }
        }
    }

    void checkReachable()
    {
        std::vector<bool> isReached(m_vocabulary.states.size(), false);
        std::vector<std::size_t> unvisited{m_chart.m_initial};
        isReached[m_chart.m_initial] = true;
        while (!unvisited.empty()) {
            const std::size_t state = unvisited.back();
            unvisited.pop_back();
            for (std::size_t event = 0; event < m_chart.m_eventCount; ++event) {
                const std::optional<std::size_t> target = m_chart.next(state, event);
                if (target && !isReached[*target]) {
                    isReached[*target] = true;
                    unvisited.push_back(*target);
                }
            }
        }
        for (std::size_t state = 0; state < isReached.size(); ++state) {
            if (!isReached[state]) {
                report(0, m_vocabulary.states[state], "", "unreachable state", "");
            }
        }
    }

    Ini::File m_file;
    ChartSymbols m_vocabulary;
    std::vector<Ini::Mistake> m_mistakes;
    std::vector<bool> m_declared;
    std::vector<bool> m_final;
    bool m_hasInitial = false;
    bool m_hasEvents = false;
    StateChart m_chart;
};

boost::leaf::result<StateChart> StateChart::load(const std::string &path, const ChartSymbols &vocabulary)
{
    return ChartReader(Ini::parseFile(path), vocabulary).read();
}

boost::leaf::result<StateChart>
StateChart::parse(std::string_view text, std::string_view name, const ChartSymbols &vocabulary)
{
    return ChartReader(Ini::parse(text, name), vocabulary).read();
}

std::optional<std::size_t> StateChart::next(std::size_t state, std::size_t event) const
{
    return m_targets[state * m_eventCount + event];
}

} // namespace Fleet
