#include "changes.h"

#include "documentreader.h"
#include "sections.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include <fmt/format.h>

namespace Document
{

namespace
{

using ValuesByKey = std::map<std::string, std::string>;
using SectionsByName = std::map<std::string, const Ini::Section *>;

SectionsByName byName(std::span<const Ini::Section> sections)
{
    SectionsByName map;
    for (const Ini::Section &it : sections) {
        map.emplace(it.name, &it);
    }
    return map;
}

/// A list that is written on several lines is one value.
ValuesByKey values(const Ini::Section &section)
{
    ValuesByKey values;
    for (const Ini::Entry &it : section.entries) {
        std::string &text = values[it.key];
        text += text.empty() ? it.value : ", " + it.value;
    }
    return values;
}

std::string text(const Ini::Section &section)
{
    return Ini::print({{}, {section}});
}

// Both have the same keys, as every key is printed.
void compare(const Ini::Section &from, const Ini::Section &to, std::vector<Change> &changes)
{
    const ValuesByKey before = values(from);
    for (const auto &[key, value] : values(to)) {
        const std::string &old = before.at(key);
        if (old != value) {
            changes.push_back({to.name, key, old, value});
        }
    }
}

std::string toString(const Change &change)
{
    if (change.key.empty()) {
        return fmt::format("{} {}\n", change.from ? "-" : "+", change.section);
    }
    return fmt::format("~ {}.{}: {} -> {}\n", change.section, change.key, *change.from, *change.to);
}

bool isSamePlace(const Change &a, const Change &b)
{
    return a.section == b.section && (a.key == b.key || a.key.empty() || b.key.empty());
}

} // namespace

std::vector<Change> changes(const Document &from, const Document &to)
{
    const std::vector<Ini::Section> before = Internal::sections(canonical(from));
    const std::vector<Ini::Section> after = Internal::sections(canonical(to));
    const SectionsByName beforeByName = byName(before);
    const SectionsByName afterByName = byName(after);
    std::vector<Change> changes;
    for (const Ini::Section &it : before) {
        if (!afterByName.contains(it.name)) {
            changes.push_back({it.name, {}, text(it), std::nullopt});
        }
    }
    for (const Ini::Section &it : after) {
        const auto old = beforeByName.find(it.name);
        if (old == beforeByName.end()) {
            changes.push_back({it.name, {}, std::nullopt, text(it)});
        } else {
            compare(*old->second, it, changes);
        }
    }
    return changes;
}

std::string toString(std::span<const Change> changes)
{
    std::string text;
    for (const Change &it : changes) {
        text += toString(it);
    }
    return text;
}

std::vector<Change> overlapping(std::span<const Change> mine, std::span<const Change> theirs)
{
    std::vector<Change> found;
    std::copy_if(mine.begin(), mine.end(), std::back_inserter(found), [&](const Change &it) {
        return std::any_of(
            theirs.begin(), theirs.end(), [&](const Change &other) { return isSamePlace(it, other); });
    });
    return found;
}

} // namespace Document
