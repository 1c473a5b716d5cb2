#include "report.h"

#include <boost/json/array.hpp>
#include <fmt/format.h>

namespace Commands
{

namespace
{

boost::json::object toJson(const Ini::Mistake &mistake)
{
    return {{"file", mistake.file},
            {"line", mistake.line},
            {"section", mistake.section},
            {"key", mistake.key},
            {"what", mistake.what},
            {"allowed", mistake.allowed}};
}

Report failure(ExitStatus status, std::string_view reason)
{
    return {status, fmt::format("{}\n", reason), {{"reason", std::string(reason)}}};
}

} // namespace

std::string_view toString(ExitStatus status)
{
    switch (status) {
    case ExitStatus::Done:
        return "done";
    case ExitStatus::Refused:
        return "refused";
    case ExitStatus::BadInput:
        return "bad-input";
    case ExitStatus::Unreachable:
        return "unreachable";
    }
    return "";
}

Report badInput(std::span<const Ini::Mistake> mistakes)
{
    Report report{ExitStatus::BadInput, {}, {}};
    boost::json::array list;
    for (const Ini::Mistake &it : mistakes) {
        report.text += Ini::toString(it) + '\n';
        list.push_back(toJson(it));
    }
    report.details["mistakes"] = std::move(list);
    return report;
}

Report badInput(std::string_view reason)
{
    return failure(ExitStatus::BadInput, reason);
}

Report refused(std::string_view reason)
{
    return failure(ExitStatus::Refused, reason);
}

Report unreachable(std::string_view reason)
{
    return failure(ExitStatus::Unreachable, reason);
}

} // namespace Commands
