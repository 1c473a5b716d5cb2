#include "description.h"

#include <fmt/format.h>

namespace Settings
{

namespace
{

std::string kindAndRange(const KeyDescription &key)
{
    return key.allowed.empty() ? key.kind : fmt::format("{}, {}", key.kind, key.allowed);
}

std::string defaultOf(const KeyDescription &key)
{
    if (!key.defaultValue) {
        return "must be given";
    }
    return key.defaultValue->empty() ? "default: empty" : fmt::format("default: {}", *key.defaultValue);
}

std::string helpLine(const KeyDescription &key)
{
    return fmt::format(
        "  {}\n      {}\n      {}; {}\n", key.key, key.explanation, kindAndRange(key), defaultOf(key));
}

std::string iniLines(const KeyDescription &key)
{
    const std::string value = key.defaultValue.value_or("");
    return fmt::format("; {}\n; {}; {}\n{} ={}{}\n",
                       key.explanation,
                       kindAndRange(key),
                       defaultOf(key),
                       key.key,
                       value.empty() ? "" : " ",
                       value);
}

std::string escapedCell(std::string_view text)
{
    std::string cell;
    for (const char it : text) {
        cell += it == '|' ? "\\|" : std::string(1, it);
    }
    return cell;
}

std::string defaultCell(const KeyDescription &key)
{
    if (!key.defaultValue) {
        return "*must be given*";
    }
    return key.defaultValue->empty() ? "empty" : fmt::format("`{}`", *key.defaultValue);
}

std::string markdownRow(const KeyDescription &key)
{
    return fmt::format("| `{}` | {} | {} | {} | {} |\n",
                       key.key,
                       escapedCell(key.kind),
                       defaultCell(key),
                       escapedCell(key.allowed),
                       escapedCell(key.explanation));
}

} // namespace

std::string helpText(std::span<const SectionDescription> sections)
{
    std::string text;
    for (const SectionDescription &section : sections) {
        text += fmt::format("{}[{}]  {}\n", text.empty() ? "" : "\n", section.section, section.explanation);
        for (const KeyDescription &it : section.keys) {
            text += helpLine(it);
        }
    }
    return text;
}

std::string iniText(std::span<const SectionDescription> sections)
{
    std::string text;
    for (const SectionDescription &section : sections) {
        text += fmt::format("{}; {}\n[{}]\n", text.empty() ? "" : "\n", section.explanation, section.section);
        for (const KeyDescription &it : section.keys) {
            text += iniLines(it);
        }
    }
    return text;
}

std::string markdownText(std::span<const SectionDescription> sections, std::string_view title)
{
    std::string text = fmt::format("# {}\n", title);
    for (const SectionDescription &section : sections) {
        text += fmt::format("\n## [{}]\n\n{}\n\n", section.section, section.explanation);
        text += "| key | kind | default | allowed | explanation |\n| --- | --- | --- | --- | --- |\n";
        for (const KeyDescription &it : section.keys) {
            text += markdownRow(it);
        }
    }
    return text;
}

} // namespace Settings
