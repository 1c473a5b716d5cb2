#pragma once

#include "logreader.h"
#include "platformsession.h"

#include <document/document.h>
#include <fleet/offset.h>

#include <boost/json/array.hpp>

#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Commands
{

/// A live entry instance and the edit that it has in force.
struct EntryProgress {
    std::string instance;
    std::string zone;
    std::optional<EntryStatus> status; ///< nothing: it did not answer

    bool operator==(const EntryProgress &) const = default;
};

/// How far an edit got.
struct RollOut {
    bool isListKnown = false; ///< the platform's list was read
    std::vector<EntryProgress> entries; ///< live ones of the environment

    bool operator==(const RollOut &) const = default;
};

/// Why an entry instance doesn't have the edit at `offset` in force; nothing when it has.
std::optional<std::string> reasonBehind(const EntryProgress &entry, Fleet::Offset offset);

/// In force on every live entry instance, of which there is at least one.
bool isInForceEverywhere(const RollOut &rollOut, Fleet::Offset offset);

/// Those behind with the reason, one line each.
std::string textOfBehind(const RollOut &rollOut, Fleet::Offset offset);

boost::json::array toJson(const RollOut &rollOut, Fleet::Offset offset);

/// The instances to be asked: live entry instances in the document's zones.
std::vector<Platform::ListedInstance> liveEntries(std::span<const Platform::ListedInstance> listed,
                                                  const Document::Document &document);

/// Leaves out instances that answered for another environment.
RollOut combined(std::span<const Platform::ListedInstance> entries,
                 std::vector<std::optional<EntryStatus>> statuses,
                 const Base::EnvironmentName &environment);

/// Asks every live entry instance of the document's environment once.
template<PlatformSession Session>
RollOut observeRollOut(Session &session, const Document::Document &document)
{
    const Platform::ListOutcome outcome = session.listInstances();
    const auto *listed = std::get_if<std::vector<Platform::ListedInstance>>(&outcome);
    if (!listed) {
        return {};
    }
    const std::vector<Platform::ListedInstance> entries = liveEntries(*listed, document);
    std::vector<std::string> addresses;
    addresses.reserve(entries.size());
    for (const Platform::ListedInstance &it : entries) {
        addresses.push_back(it.operatorsAddress);
    }
    return combined(entries, session.statuses(addresses), document.environment);
}

/// Asks until the edit at `offset` is in force everywhere, or until `until`; returns what was seen last.
template<PlatformSession Session>
RollOut
awaitRollOut(Session &session, const Document::Document &document, Fleet::Offset offset, Base::Instant until)
{
    RollOut last;
    while (true) {
        RollOut seen = observeRollOut(session, document);
        if (seen.isListKnown) {
            last = std::move(seen);
        }
        if (isInForceEverywhere(last, offset) || session.now() >= until) {
            return last;
        }
        session.pause(RetryPause);
    }
}

} // namespace Commands
