#include "declarations.h"

#include <algorithm>

#include <fmt/format.h>

namespace Settings
{

namespace
{

std::vector<std::string> names(std::span<const SectionDescription> sections)
{
    std::vector<std::string> names;
    for (const SectionDescription &it : sections) {
        names.push_back(it.section);
    }
    return names;
}

std::vector<std::string> names(std::span<const KeyDescription> keys)
{
    std::vector<std::string> names;
    for (const KeyDescription &it : keys) {
        names.push_back(it.key);
    }
    return names;
}

std::string hint(std::string_view name, std::span<const std::string> known)
{
    const auto nearest = Ini::nearest(name, known);
    return nearest ? fmt::format("did you mean '{}'?", *nearest)
                   : fmt::format("one of {}", fmt::join(known, ", "));
}

struct WrittenKey {
    int line = 0; ///< 0: not written
    std::string text;
};

class Checker
{
public:
    Checker(const Ini::Parsed &parsed,
            std::span<const SectionDescription> sections,
            const AssignSetting &assign)
        : m_file(parsed.file)
        , m_sections(sections)
        , m_assign(assign)
        , m_mistakes(parsed.mistakes)
    {
    }

    std::vector<Ini::Mistake> check()
    {
        checkSections();
        for (std::size_t n = 0; n < m_sections.size(); ++n) {
            checkKeys(n);
        }
        Ini::sortByLine(m_mistakes);
        return std::move(m_mistakes);
    }

private:
    void checkSections()
    {
        const std::vector<std::string> known = names(m_sections);
        for (auto it = m_file.sections.begin(); it != m_file.sections.end(); ++it) {
            if (std::find(known.begin(), known.end(), it->name) == known.end()) {
                report(it->line, it->name, "", "unknown section", hint(it->name, known));
                continue;
            }
            const auto first = std::find_if(m_file.sections.begin(), it, [&](const Ini::Section &earlier) {
                return earlier.name == it->name;
            });
            if (first != it) {
                report(it->line,
                       it->name,
                       "",
                       fmt::format("the section is there since line {}", first->line),
                       "once");
            }
        }
    }

    void checkKeys(std::size_t section)
    {
        const SectionDescription &declared = m_sections[section];
        const std::vector<std::string> known = names(declared.keys);
        std::vector<WrittenKey> written(known.size());
        int sectionLine = 0;
        for (const Ini::Section &it : m_file.sections) {
            if (it.name == declared.section) {
                sectionLine = sectionLine == 0 ? it.line : sectionLine;
                collect(it, declared.keys, known, written);
            }
        }
        for (std::size_t n = 0; n < known.size(); ++n) {
            if (written[n].line != 0) {
                assign({section, n}, written[n]);
            } else if (!declared.keys[n].defaultValue) {
                report(sectionLine, declared.section, known[n], "missing", declared.keys[n].kind);
            }
        }
    }

    void collect(const Ini::Section &section,
                 std::span<const KeyDescription> keys,
                 std::span<const std::string> known,
                 std::span<WrittenKey> written)
    {
        for (const Ini::Entry &it : section.entries) {
            const auto found = std::find(known.begin(), known.end(), it.key);
            if (found == known.end()) {
                report(it.line, section.name, it.key, "unknown key", hint(it.key, known));
                continue;
            }
            const auto n = static_cast<std::size_t>(found - known.begin());
            if (written[n].line == 0) {
                written[n] = {it.line, it.value};
            } else if (keys[n].isList) {
                written[n].text += ", " + it.value;
            } else {
                const int first = written[n].line;
                report(it.line,
                       section.name,
                       it.key,
                       fmt::format("the key is there since line {}", first),
                       "once");
            }
        }
    }

    void assign(SettingPlace place, const WrittenKey &written)
    {
        if (const auto refusal = m_assign(place, written.text)) {
            const SectionDescription &declared = m_sections[place.section];
            report(written.line,
                   declared.section,
                   declared.keys[place.key].key,
                   refusal->what,
                   refusal->allowed);
        }
    }

    void report(int line,
                std::string_view section,
                std::string_view key,
                std::string_view what,
                std::string_view allowed)
    {
        m_mistakes.push_back({m_file.name,
                              line,
                              std::string(section),
                              std::string(key),
                              std::string(what),
                              std::string(allowed)});
    }

    const Ini::File &m_file;
    std::span<const SectionDescription> m_sections;
    const AssignSetting &m_assign;
    std::vector<Ini::Mistake> m_mistakes;
};

} // namespace

Refusal notOfItsKind(std::string_view text, std::string kind)
{
    if (text.empty()) {
        return {"missing", std::move(kind)};
    }
    return {fmt::format("'{}' is no value of its kind", text), std::move(kind)};
}

Refusal outOfRange(std::string_view text, std::string allowed)
{
    if (text.empty()) {
        return {"missing", std::move(allowed)};
    }
    return {fmt::format("'{}' is out of range", text), std::move(allowed)};
}

std::vector<Ini::Mistake>
check(const Ini::Parsed &parsed, std::span<const SectionDescription> sections, const AssignSetting &assign)
{
    return Checker(parsed, sections, assign).check();
}

} // namespace Settings
