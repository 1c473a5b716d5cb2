#include "checkcommand.h"

#include <document/documentreader.h>

#include <fmt/format.h>

namespace Commands
{

namespace
{

constexpr const char *Usage = R"(Checks a document and reports every mistake in it.

Usage:
  rhubarbcrank check [--format=FORMAT] FILE
  rhubarbcrank check --help

Options:)";

} // namespace

Report check(const std::string &file)
{
    const Document::Loaded loaded = Document::readFile(file);
    if (!loaded.document) {
        return badInput(loaded.mistakes);
    }
    const Document::Document &document = *loaded.document;
    Report report;
    report.text = fmt::format("{}: environment {}: {} services, {} pools, {} instances, no mistakes\n",
                              file,
                              document.environment.value,
                              document.services.size(),
                              document.pools.size(),
                              document.instances.size());
    report.details = {{"environment", document.environment.value},
                      {"services", document.services.size()},
                      {"pools", document.pools.size()},
                      {"instances", document.instances.size()},
                      {"mistakes", boost::json::array()}};
    return report;
}

Command checkCommand()
{
    return {"check", "report every mistake in a document", Usage, [](const Arguments &arguments) {
                return check(arguments.required("FILE"));
            }};
}

} // namespace Commands
