#include "keyscommand.h"

#include <document/sections.h>

#include <boost/json/array.hpp>

namespace Commands
{

namespace
{

constexpr const char *Usage = R"(Lists every section and key that a document can have.

Usage:
  rhubarbcrank keys [--format=FORMAT] [--markdown]
  rhubarbcrank keys --help

Options:
  --markdown          as a page of the documentation)";

boost::json::object toJson(const Settings::KeyDescription &key)
{
    return {
        {"key", key.key},
        {"kind", key.kind},
        {"allowed", key.allowed},
        {"default", key.defaultValue ? boost::json::value(*key.defaultValue) : boost::json::value(nullptr)},
        {"explanation", key.explanation}};
}

boost::json::object toJson(const Settings::SectionDescription &section)
{
    boost::json::array keys;
    for (const Settings::KeyDescription &it : section.keys) {
        keys.push_back(toJson(it));
    }
    return {{"section", section.section}, {"explanation", section.explanation}, {"keys", std::move(keys)}};
}

} // namespace

Report keys(bool isMarkdown)
{
    const auto sections = Document::sectionDescriptions();
    Report report;
    report.text = isMarkdown ? Settings::markdownText(sections, "Sections of a document")
                             : Settings::helpText(sections);
    boost::json::array list;
    for (const Settings::SectionDescription &it : sections) {
        list.push_back(toJson(it));
    }
    report.details["sections"] = std::move(list);
    return report;
}

Command keysCommand()
{
    return {"keys", "list every section and key of a document", Usage, [](const Arguments &arguments) {
                return keys(arguments.isSet("--markdown"));
            }};
}

} // namespace Commands
