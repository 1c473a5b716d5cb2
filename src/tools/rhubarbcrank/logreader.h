#pragma once

#include "environmentlog.h"
#include "platformsession.h"

#include <concepts>
#include <span>
#include <string>
#include <variant>

namespace Commands
{

/// Pause before the platform is asked again after it was out.
inline constexpr Base::Duration RetryPause = std::chrono::milliseconds(200);

/// Something that takes a stream's entries in order.
template<typename T>
concept EntryTaker = requires(T taker, std::span<const Platform::LogEntry> entries, Platform::Offset first)
{
    taker.apply(entries);
    taker.skipTo(first);
    {
        taker.next()
        } -> std::same_as<Platform::Offset>;
};

/// Reads a stream on to its end as it is now. Returns false when the platform was out until `until`.
template<PlatformSession Session, EntryTaker Log>
bool readToEnd(Session &session, const std::string &stream, Log &log, Base::Instant until)
{
    while (true) {
        const Platform::ReadOutcome outcome = session.read({stream, log.next()});
        if (const auto *read = std::get_if<Platform::ReadEntries>(&outcome)) {
            log.apply(read->entries);
            if (read->entries.empty() || log.next() >= read->end) {
                return true;
            }
        } else if (const auto *trimmed = std::get_if<Platform::TrimmedPast>(&outcome)) {
            log.skipTo(trimmed->first);
        } else if (session.now() >= until) {
            return false;
        } else {
            session.pause(RetryPause);
        }
    }
}

} // namespace Commands
