#include "publishing.h"

#include "diffcommand.h"

#include <boost/json/array.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <random>

namespace Commands
{

namespace
{

using FractionalSeconds = std::chrono::duration<double>;

std::string indented(std::string_view lines, std::string_view indent)
{
    std::string text;
    while (!lines.empty()) {
        const std::string_view line = lines.substr(0, lines.find('\n'));
        text += fmt::format("{}{}\n", indent, line);
        lines.remove_prefix(std::min(lines.size(), line.size() + 1));
    }
    return text;
}

std::string textOf(const AcceptedEdit &edit)
{
    const std::string comment = edit.comment.empty() ? "" : fmt::format(": {}", edit.comment);
    return fmt::format("  offset {} by {}{}\n", edit.offset.value, edit.author, comment)
        + indented(Document::toString(edit.changes), "    ");
}

boost::json::object editObject(const AcceptedEdit &edit)
{
    return {{"offset", edit.offset.value},
            {"base", edit.base.value},
            {"author", edit.author},
            {"comment", edit.comment},
            {"changes", toJson(edit.changes)}};
}

/// What this edit and those accepted before it both touch.
std::vector<Document::Change> collisions(const PublishResult &result)
{
    std::vector<Document::Change> theirs;
    for (const AcceptedEdit &it : result.accepted) {
        theirs.insert(theirs.end(), it.changes.begin(), it.changes.end());
    }
    return Document::overlapping(result.changes, theirs);
}

Report superseded(const PublishResult &result)
{
    const std::vector<Document::Change> both = collisions(result);
    Report report = refused(
        fmt::format("refused: the document was changed after offset {}, first by", result.base.value));
    boost::json::array list;
    for (const AcceptedEdit &it : result.accepted) {
        report.text += textOf(it);
        list.push_back(editObject(it));
    }
    report.text += both.empty() ? "no key is changed by both\n" : "changed by both:\n";
    report.text += indented(Document::toString(both), "  ");
    report.text +=
        fmt::format("bring the document in line with offset {} and publish it again\n", result.offset.value);
    report.details = {{"reason", "superseded"},
                      {"base", result.base.value},
                      {"accepted_offset", result.offset.value},
                      {"accepted", std::move(list)},
                      {"changed_by_both", toJson(both)}};
    return report;
}

Report accepted(const PublishResult &result, const EditRequest &request)
{
    Report report;
    report.text =
        fmt::format("accepted at offset {}\n", result.offset.value) + Document::toString(result.changes);
    report.details = {{"accepted_offset", result.offset.value},
                      {"base", result.base.value},
                      {"record", request.recordId},
                      {"changes", toJson(result.changes)}};
    return report;
}

Report unchanged(const PublishResult &result)
{
    Report report;
    report.text = fmt::format("no difference to the document accepted at offset {}\n", result.offset.value);
    report.details = {{"accepted_offset", result.offset.value}, {"changes", boost::json::array()}};
    return report;
}

Report unresolved(const EditRequest &request)
{
    Report report = unreachable(fmt::format("unknown: the platform went out of reach; record {} may be in "
                                            "the log, or may yet get there. Ask for the "
                                            "status before publishing again",
                                            request.recordId));
    report.details["record"] = request.recordId;
    return report;
}

} // namespace

std::string newRecordId()
{
    std::random_device device;
    return fmt::format("edit-{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device());
}

std::string defaultAuthor()
{
    const char *name = std::getenv("USER");
    return name != nullptr && *name != '\0' ? name : "unknown";
}

Report reportOf(const PublishResult &result, const EditRequest &request)
{
    switch (result.verdict) {
    case PublishVerdict::Accepted:
        return accepted(result, request);
    case PublishVerdict::Unchanged:
        return unchanged(result);
    case PublishVerdict::Superseded:
        return superseded(result);
    case PublishVerdict::UnknownBase:
        return refused(fmt::format("refused: no edit was accepted at offset {}, the latest is {}",
                                   result.base.value,
                                   result.offset.value));
    case PublishVerdict::Rejected:
        return refused(fmt::format("refused by the platform: {}", result.reason));
    case PublishVerdict::Incomplete:
        return refused(
            "refused: the log has dropped records of the environment and holds no snapshot of them");
    case PublishVerdict::Unreachable:
        return unreachable("the platform can't be reached; the edit is not in the log");
    case PublishVerdict::Unresolved:
        return unresolved(request);
    }
    return unresolved(request);
}

void addRollOut(Report &report, const RollOut &rollOut, Fleet::Offset offset, Base::Duration elapsed)
{
    const double seconds = FractionalSeconds(elapsed).count();
    const bool isDone = isInForceEverywhere(rollOut, offset);
    report.details["is_in_force_everywhere"] = isDone;
    report.details["elapsed_seconds"] = seconds;
    report.details["entry_instances"] = toJson(rollOut, offset);
    if (isDone) {
        report.text +=
            fmt::format("in force on {} entry instances after {:.3f} s\n", rollOut.entries.size(), seconds);
        return;
    }
    report.status = ExitStatus::Refused;
    report.text += fmt::format("not in force everywhere after {:.3f} s:\n", seconds);
    report.text += textOfBehind(rollOut, offset);
}

} // namespace Commands
