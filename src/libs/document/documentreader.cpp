#include "documentreader.h"

#include "budgets.h"
#include "consistency.h"
#include "sections.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace Document
{

namespace
{

using Ini::Mistake;
using Internal::Environment;

struct SectionHeader {
    std::string kind;
    std::string name; ///< empty for a section of which there is one
};

SectionHeader headerOf(const Ini::Section &section)
{
    const auto blank = section.name.find(' ');
    if (blank == std::string::npos) {
        return {section.name, {}};
    }
    return {section.name.substr(0, blank), section.name.substr(section.name.find_first_not_of(' ', blank))};
}

std::vector<std::string> knownKinds()
{
    std::vector<std::string> kinds;
    for (const Settings::SectionDescription &it : sectionDescriptions()) {
        kinds.push_back(it.section);
    }
    return kinds;
}

/// Where each section and key stands, for mistakes that are found in the document as a whole.
class LineIndex
{
public:
    explicit LineIndex(const Ini::File &file)
    {
        for (const Ini::Section &section : file.sections) {
            m_lines.emplace(std::pair(section.name, std::string()), section.line);
            for (const Ini::Entry &it : section.entries) {
                m_lines.emplace(std::pair(section.name, it.key), it.line);
            }
        }
    }

    /// The line of the key, else of its section, else 0.
    int lineOf(const std::string &section, const std::string &key) const
    {
        for (const std::string &it : {key, std::string()}) {
            const auto found = m_lines.find(std::pair(section, it));
            if (found != m_lines.end()) {
                return found->second;
            }
        }
        return 0;
    }

private:
    std::map<std::pair<std::string, std::string>, int> m_lines;
};

class DocumentReader
{
public:
    explicit DocumentReader(const Ini::Parsed &parsed)
        : m_file(parsed.file)
        , m_lines(parsed.file)
        , m_mistakes(parsed.mistakes)
    {
    }

    Loaded read()
    {
        for (const Ini::Section &it : m_file.sections) {
            readSection(it);
        }
        // What has a default may be left out; what has none is then missing.
        if (!m_seen.contains("environment")) {
            readOnly<Environment>({"environment", 0, {}});
        }
        if (!m_seen.contains("maintenance")) {
            readOnly<Maintenance>({"maintenance", 0, {}});
        }
        if (!m_seen.contains("weights")) {
            readOnly<Weights>({"weights", 0, {}});
        }
        m_document = canonical(std::move(m_document));
        checkWhole();
        Ini::sortByLine(m_mistakes);
        if (!m_mistakes.empty()) {
            return {std::nullopt, std::move(m_mistakes)};
        }
        return {std::move(m_document), {}};
    }

private:
    void readSection(const Ini::Section &section)
    {
        const auto [it, isNew] = m_seen.emplace(section.name, section.line);
        if (!isNew) {
            report(section, fmt::format("declared twice, first in line {}", it->second), "once");
            return;
        }
        const SectionHeader header = headerOf(section);
        const bool isRead = header.name.empty() ? readKind(section) : readNamedKind(section, header);
        if (!isRead) {
            const std::vector<std::string> known = knownKinds();
            report(section, "unknown section", fmt::format("one of [{}]", fmt::join(known, "], [")));
        }
    }

    bool readKind(const Ini::Section &section)
    {
        return readIf<Environment>(section) || readIf<Maintenance>(section) || readIf<Weights>(section);
    }

    bool readNamedKind(const Ini::Section &section, const SectionHeader &header)
    {
        return readIfNamed(section, header, m_document.pools)
            || readIfNamed(section, header, m_document.services)
            || readIfNamed(section, header, m_document.instances);
    }

    template<typename Part>
    bool readIf(const Ini::Section &section)
    {
        if (section.name != Internal::kindOf<Part>()) {
            return false;
        }
        readOnly<Part>(section);
        return true;
    }

    template<typename Part>
    void readOnly(const Ini::Section &section)
    {
        keep(assigned<Part>(section));
    }

    template<typename Part>
    bool readIfNamed(const Ini::Section &section, const SectionHeader &header, std::vector<Part> &parts)
    {
        if (header.kind != Internal::kindOf<Part>()) {
            return false;
        }
        if (!Settings::isName(header.name)) {
            report(section, "the name is not allowed", Settings::nameKind());
        }
        Part part = assigned<Part>(section);
        part.name.value = header.name;
        parts.push_back(std::move(part));
        return true;
    }

    // A section with mistakes is kept with what is right in it, so that what refers to it is not reported
    // too.
    template<typename Part>
    Part assigned(const Ini::Section &section)
    {
        Ini::Parsed one;
        one.file.name = m_file.name;
        one.file.sections.push_back(section);
        one.file.sections.back().name = Internal::kindOf<Part>();
        const auto &declarations = Internal::declarations<Part>();
        Internal::Only<Part> values = declarations.defaults();
        for (Mistake &it : declarations.assign(values, one)) {
            it.section = section.name;
            m_mistakes.push_back(std::move(it));
        }
        return std::move(values.part);
    }

    void keep(Environment environment)
    {
        m_document.environment = std::move(environment.name);
        m_document.zones = std::move(environment.zones);
    }

    void keep(Maintenance maintenance)
    {
        m_document.maintenance = std::move(maintenance);
    }

    void keep(Weights weights)
    {
        m_document.weights = weights;
    }

    // A value that was refused is not judged again. Budgets are judged only when it is known which instances
    // a pool has, and where: else most of them would be reported as not met.
    void checkWhole()
    {
        const std::set<std::pair<std::string, std::string>> refused = places();
        const bool isCapacityKnown = this->isCapacityKnown();
        std::vector<Mistake> found = inconsistencies(m_document);
        if (isCapacityKnown) {
            std::vector<Mistake> unmet = unmetBudgets(m_document);
            std::move(unmet.begin(), unmet.end(), std::back_inserter(found));
        }
        for (Mistake &it : found) {
            if (it.key.empty() || !refused.contains(std::pair(it.section, it.key))) {
                it.file = m_file.name;
                it.line = m_lines.lineOf(it.section, it.key);
                m_mistakes.push_back(std::move(it));
            }
        }
    }

    std::set<std::pair<std::string, std::string>> places() const
    {
        std::set<std::pair<std::string, std::string>> places;
        for (const Mistake &it : m_mistakes) {
            places.emplace(it.section, it.key);
        }
        return places;
    }

    bool isCapacityKnown() const
    {
        constexpr std::array<std::string_view, 5> Keys = {"", "pool", "zone", "rack", "slots"};
        return std::none_of(m_mistakes.begin(), m_mistakes.end(), [&](const Mistake &it) {
            return it.section.starts_with(Internal::kindOf<Instance>())
                && std::find(Keys.begin(), Keys.end(), it.key) != Keys.end();
        });
    }

    void report(const Ini::Section &section, std::string what, std::string allowed)
    {
        m_mistakes.push_back(
            {m_file.name, section.line, section.name, {}, std::move(what), std::move(allowed)});
    }

    const Ini::File &m_file;
    LineIndex m_lines;
    std::vector<Mistake> m_mistakes;
    std::map<std::string, int> m_seen; ///< lines of sections
    Document m_document;
};

template<typename Part>
void sortByName(std::vector<Part> &parts)
{
    std::sort(parts.begin(), parts.end(), [](const Part &a, const Part &b) { return a.name < b.name; });
}

} // namespace

Loaded read(std::string_view text, std::string_view name)
{
    return DocumentReader(Ini::parse(text, name)).read();
}

Loaded readFile(const std::string &path)
{
    return DocumentReader(Ini::parseFile(path)).read();
}

std::string print(const Document &document)
{
    return Ini::print({{}, Internal::sections(canonical(document))});
}

// The order of the wave's pools is what the operators want; all other lists are sets.
Document canonical(Document document)
{
    std::sort(document.zones.begin(), document.zones.end());
    sortByName(document.pools);
    sortByName(document.instances);
    sortByName(document.services);
    for (Service &it : document.services) {
        std::sort(it.routes.begin(), it.routes.end());
    }
    return document;
}

} // namespace Document
