#pragma once

#include "constraint.h"
#include "description.h"
#include "valueformat.h"

#include <ini/reader.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace Settings
{

/// Stands in the place of a default for a setting that must be given. Not made from empty braces, which are
/// the default of an empty list.
struct RequiredTag {
    explicit constexpr RequiredTag(int)
    {
    }
};
inline constexpr RequiredTag Required{0};

/// The values of a program's settings; nothing when there was any mistake.
template<typename Values>
struct Loaded {
    std::optional<Values> values;
    std::vector<Ini::Mistake> mistakes; ///< all of them, by line
};

/// What is wrong with one value.
struct Refusal {
    std::string what;
    std::string allowed;
};

Refusal notOfItsKind(std::string_view text, std::string kind);
Refusal outOfRange(std::string_view text, std::string allowed);

/// Where the declaration of a setting stands.
struct SettingPlace {
    std::size_t section = 0;
    std::size_t key = 0;
};

using AssignSetting = std::function<std::optional<Refusal>(SettingPlace, std::string_view)>;

/// Calls `assign` for every setting that is written, and returns the mistakes by line: those of the text,
/// refused values, unknown or repeated or missing keys, unknown or repeated sections.
std::vector<Ini::Mistake>
check(const Ini::Parsed &parsed, std::span<const SectionDescription> sections, const AssignSetting &assign);

/// All settings of a program, declared once. `Values` is a struct with one member struct for each section.
template<typename Values>
class Declarations
{
public:
    /// Adds the settings of one section; `Part` is the type of its member struct.
    template<typename Part>
    class Section
    {
    public:
        /// Adds a setting with its default.
        template<SettingValue T, ConstraintOf<T> Constraint = AnyValue>
        Section &add(T Part::*field,
                     std::string key,
                     std::type_identity_t<T> defaultValue,
                     Constraint constraint,
                     std::string explanation)
        {
            m_owner->setDefault(m_part, field, defaultValue);
            return bind(field,
                        std::move(key),
                        ValueFormat<T>::print(defaultValue),
                        constraint,
                        std::move(explanation));
        }

        /// Adds a setting that must be given.
        template<SettingValue T, ConstraintOf<T> Constraint = AnyValue>
        Section &
        add(T Part::*field, std::string key, RequiredTag, Constraint constraint, std::string explanation)
        {
            return bind(field, std::move(key), std::nullopt, constraint, std::move(explanation));
        }

    private:
        friend class Declarations;

        Section(Declarations *owner, Part Values::*part, std::size_t index)
            : m_owner(owner)
            , m_part(part)
            , m_index(index)
        {
        }

        template<typename T, typename Constraint>
        Section &bind(T Part::*field,
                      std::string key,
                      std::optional<std::string> defaultValue,
                      Constraint constraint,
                      std::string explanation)
        {
            m_owner->m_descriptions[m_index].keys.push_back({std::move(key),
                                                             ValueFormat<T>::kind(),
                                                             constraint.allowed(),
                                                             std::move(defaultValue),
                                                             std::move(explanation),
                                                             ListValue<T>});
            m_owner->m_printers[m_index].push_back(
                [part = m_part, field](const Values &values) { return linesOf(values.*part.*field); });
            m_owner->m_assigners[m_index].push_back(
                [part = m_part, field, constraint](Values &values,
                                                   std::string_view text) -> std::optional<Refusal> {
                    const auto value = ValueFormat<T>::parse(text);
                    if (!value) {
                        return notOfItsKind(text, ValueFormat<T>::kind());
                    }
                    if (!constraint.accepts(*value)) {
                        return outOfRange(text, constraint.allowed());
                    }
                    values.*part.*field = *value;
                    return std::nullopt;
                });
            return *this;
        }

        Declarations *m_owner;
        Part Values::*m_part;
        std::size_t m_index;
    };

    template<typename Part>
    Section<Part> section(Part Values::*part, std::string name, std::string explanation)
    {
        m_descriptions.push_back({std::move(name), std::move(explanation), {}});
        m_assigners.emplace_back();
        m_printers.emplace_back();
        return Section<Part>(this, part, m_descriptions.size() - 1);
    }

    std::span<const SectionDescription> descriptions() const
    {
        return m_descriptions;
    }

    /// The defaults; settings that must be given are as the struct has them.
    const Values &defaults() const
    {
        return m_defaults;
    }

    /// Checks everything and reports every mistake, also those that were found when the text was read.
    Loaded<Values> load(const Ini::Parsed &parsed) const
    {
        Values values = m_defaults;
        std::vector<Ini::Mistake> mistakes = assign(values, parsed);
        if (!mistakes.empty()) {
            return {std::nullopt, std::move(mistakes)};
        }
        return {std::move(values), {}};
    }

    /// As load(), but keeps what is right: `values` has all settings that were accepted.
    std::vector<Ini::Mistake> assign(Values &values, const Ini::Parsed &parsed) const
    {
        return check(parsed, m_descriptions, [&](SettingPlace place, std::string_view text) {
            return m_assigners[place.section][place.key](values, text);
        });
    }

    /// The settings as sections that assign() reads back.
    std::vector<Ini::Section> sections(const Values &values) const
    {
        std::vector<Ini::Section> sections;
        for (std::size_t n = 0; n < m_descriptions.size(); ++n) {
            sections.push_back({m_descriptions[n].section, 0, {}});
            for (std::size_t key = 0; key < m_printers[n].size(); ++key) {
                for (std::string &it : m_printers[n][key](values)) {
                    sections.back().entries.push_back({m_descriptions[n].keys[key].key, std::move(it), 0});
                }
            }
        }
        return sections;
    }

private:
    using Assigner = std::function<std::optional<Refusal>(Values &, std::string_view)>;
    using Printer = std::function<std::vector<std::string>(const Values &)>;

    template<SettingValue T>
    static std::vector<std::string> linesOf(const T &value)
    {
        if constexpr (ListValue<T>) {
            return ValueFormat<T>::lines(value);
        } else {
            return {ValueFormat<T>::print(value)};
        }
    }

    template<typename Part, typename T>
    void setDefault(Part Values::*part, T Part::*field, const T &value)
    {
        m_defaults.*part.*field = value;
    }

    Values m_defaults{};
    std::vector<SectionDescription> m_descriptions;
    std::vector<std::vector<Assigner>> m_assigners; ///< as m_descriptions has them
    std::vector<std::vector<Printer>> m_printers; ///< as m_descriptions has them
};

} // namespace Settings
