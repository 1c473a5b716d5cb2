#include "diffcommand.h"

#include <document/documentreader.h>

#include <boost/json/array.hpp>

#include <iterator>
#include <utility>
#include <vector>

namespace Commands
{

namespace
{

constexpr const char *Usage =
    R"(Shows what changes from one document to another: + added, - removed, ~ changed.

Usage:
  rhubarbcrank diff [--format=FORMAT] FROM TO
  rhubarbcrank diff --help

Options:)";

boost::json::value toJson(const std::optional<std::string> &text)
{
    return text ? boost::json::value(*text) : boost::json::value(nullptr);
}

} // namespace

boost::json::array toJson(std::span<const Document::Change> changes)
{
    boost::json::array list;
    for (const Document::Change &it : changes) {
        list.push_back(boost::json::object{
            {"section", it.section}, {"key", it.key}, {"from", toJson(it.from)}, {"to", toJson(it.to)}});
    }
    return list;
}

Report diff(const std::string &from, const std::string &to)
{
    Document::Loaded before = Document::readFile(from);
    Document::Loaded after = Document::readFile(to);
    if (!before.document || !after.document) {
        std::vector<Ini::Mistake> mistakes = std::move(before.mistakes);
        std::move(after.mistakes.begin(), after.mistakes.end(), std::back_inserter(mistakes));
        return badInput(mistakes);
    }
    const std::vector<Document::Change> changes = Document::changes(*before.document, *after.document);
    Report report;
    report.text = changes.empty() ? "no difference\n" : Document::toString(changes);
    report.details["changes"] = toJson(changes);
    return report;
}

Command diffCommand()
{
    return {"diff", "show what changes from one document to another", Usage, [](const Arguments &arguments) {
                return diff(arguments.required("FROM"), arguments.required("TO"));
            }};
}

} // namespace Commands
