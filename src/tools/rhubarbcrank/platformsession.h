#pragma once

#include <base/instant.h>
#include <platform/messages.h>

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Commands
{

/// What an entry instance says of itself on its /status page.
struct EntryStatus {
    std::string instance;
    std::string zone;
    std::string environment;
    bool isReady = false;
    bool isPlatformReachable = false;
    std::uint64_t documentOffset = 0; ///< of the edit in force

    bool operator==(const EntryStatus &) const = default;
};

/// The platform and the entry instances as a command sees them: one call at a time, each returns with its
/// outcome or after a timeout of its own.
template<typename Session>
concept PlatformSession = requires(Session &session,
                                   const Platform::ReadRequest &request,
                                   std::string_view stream,
                                   const Platform::LogRecord &record,
                                   std::span<const std::string> addresses,
                                   Base::Duration duration)
{
    {
        session.read(request)
        } -> std::same_as<Platform::ReadOutcome>;
    {
        session.append(stream, record)
        } -> std::same_as<Platform::AppendOutcome>;
    {
        session.listInstances()
        } -> std::same_as<Platform::ListOutcome>;
    // Asks all at once; nothing for one that does not answer.
    {
        session.statuses(addresses)
        } -> std::same_as<std::vector<std::optional<EntryStatus>>>;
    {
        session.now()
        } -> std::same_as<Base::Instant>;
    {
        session.pause(duration)
        } -> std::same_as<void>;
};

} // namespace Commands
