#include "faults.h"

#include <boost/json.hpp>

namespace PlatformStandin
{

namespace
{

bool set(Faults &faults, std::string_view key, const boost::json::value &value)
{
    boost::json::error_code ec;
    const auto setNumber = [&](std::uint32_t &field) {
        field = value.to_number<std::uint32_t>(ec);
        return !ec;
    };
    const auto setFlag = [&](bool &field) {
        field = value.is_bool() && value.get_bool();
        return value.is_bool();
    };
    if (key == "slow_ms") {
        return setNumber(faults.slowMs);
    }
    if (key == "out") {
        return setFlag(faults.isOut);
    }
    if (key == "silent") {
        return setFlag(faults.isSilent);
    }
    if (key == "lose_every") {
        return setNumber(faults.loseEvery);
    }
    if (key == "late_ms") {
        return setNumber(faults.lateMs);
    }
    if (key == "repeat_answers") {
        return setFlag(faults.repeatsAnswers);
    }
    if (key == "duplicate_appends") {
        return setFlag(faults.duplicatesAppends);
    }
    if (key == "trimmed_past") {
        return setFlag(faults.isTrimmedPast);
    }
    if (key == "stale_list") {
        return setFlag(faults.hasStaleList);
    }
    return key == "max_appends_per_second" && setNumber(faults.maxAppendsPerSecond);
}

} // namespace

std::optional<Faults> parseFaults(std::string_view body)
{
    boost::json::error_code ec;
    const auto value = boost::json::parse({body.data(), body.size()}, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    Faults faults;
    for (const auto &it : value.get_object()) {
        if (!set(faults, std::string_view(it.key().data(), it.key().size()), it.value())) {
            return std::nullopt;
        }
    }
    return faults;
}

} // namespace PlatformStandin
