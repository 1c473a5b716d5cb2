#include "rollout.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace Commands
{

namespace
{

boost::json::object toJson(const EntryProgress &entry, Fleet::Offset offset)
{
    const std::optional<std::string> reason = reasonBehind(entry, offset);
    boost::json::object object{{"instance", entry.instance},
                               {"zone", entry.zone},
                               {"is_in_force", !reason},
                               {"reason", reason.value_or("")},
                               {"is_reachable", entry.status.has_value()}};
    if (entry.status) {
        object["document_offset"] = entry.status->documentOffset;
        object["is_ready"] = entry.status->isReady;
        object["is_platform_reachable"] = entry.status->isPlatformReachable;
    }
    return object;
}

} // namespace

std::optional<std::string> reasonBehind(const EntryProgress &entry, Fleet::Offset offset)
{
    if (!entry.status) {
        return "does not answer";
    }
    if (entry.status->documentOffset >= offset.value) {
        return std::nullopt;
    }
    const std::string_view cause = !entry.status->isPlatformReachable ? ", cut off from the platform's log"
        : !entry.status->isReady                                      ? ", not ready"
                                                                      : "";
    return fmt::format("has offset {} in force{}", entry.status->documentOffset, cause);
}

bool isInForceEverywhere(const RollOut &rollOut, Fleet::Offset offset)
{
    return !rollOut.entries.empty()
        && std::all_of(rollOut.entries.begin(), rollOut.entries.end(), [&](const EntryProgress &it) {
               return !reasonBehind(it, offset);
           });
}

std::string textOfBehind(const RollOut &rollOut, Fleet::Offset offset)
{
    if (!rollOut.isListKnown) {
        return "  the platform's list of entry instances can't be read\n";
    }
    if (rollOut.entries.empty()) {
        return "  the platform lists no live entry instance of the environment\n";
    }
    std::string text;
    for (const EntryProgress &it : rollOut.entries) {
        if (const auto reason = reasonBehind(it, offset)) {
            text += fmt::format("  {} in {}: {}\n", it.instance, it.zone, *reason);
        }
    }
    return text;
}

boost::json::array toJson(const RollOut &rollOut, Fleet::Offset offset)
{
    boost::json::array list;
    for (const EntryProgress &it : rollOut.entries) {
        list.push_back(toJson(it, offset));
    }
    return list;
}

std::vector<Platform::ListedInstance> liveEntries(std::span<const Platform::ListedInstance> listed,
                                                  const Document::Document &document)
{
    std::vector<Platform::ListedInstance> entries;
    std::copy_if(
        listed.begin(), listed.end(), std::back_inserter(entries), [&](const Platform::ListedInstance &it) {
            const auto &zones = document.zones;
            return it.kind == Platform::InstanceKind::Entry && it.state == Platform::InstanceState::Live
                && std::find(zones.begin(), zones.end(), Base::AvailabilityZoneName{it.zone}) != zones.end();
        });
    return entries;
}

RollOut combined(std::span<const Platform::ListedInstance> entries,
                 std::vector<std::optional<EntryStatus>> statuses,
                 const Base::EnvironmentName &environment)
{
    RollOut rollOut{true, {}};
    for (std::size_t n = 0; n < entries.size(); ++n) {
        std::optional<EntryStatus> &status = statuses[n];
        if (!status || status->environment == environment.value) {
            rollOut.entries.push_back({entries[n].name, entries[n].zone, std::move(status)});
        }
    }
    return rollOut;
}

} // namespace Commands
