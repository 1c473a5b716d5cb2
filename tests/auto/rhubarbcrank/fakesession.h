#pragma once

#include <rhubarbcrank/platformsession.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Commands
{

enum class AppendFault {
    None,
    LostAfterEffect,
    LostBeforeEffect,
    LostAndLate, ///< the effect comes with the next pause
    Unavailable,
    Rejected,
};

/// The platform in memory, with virtual time and faults on request.
class FakeSession
{
public:
    Platform::ReadOutcome read(const Platform::ReadRequest &request);
    Platform::AppendOutcome append(std::string_view stream, const Platform::LogRecord &record);
    Platform::ListOutcome listInstances();
    std::vector<std::optional<EntryStatus>> statuses(std::span<const std::string> addresses);
    Base::Instant now() const;
    void pause(Base::Duration duration);

    /// What the log keeps of a stream.
    std::vector<Platform::LogEntry> &entries(const std::string &stream);

    /// Drops the records before `first`.
    void trim(const std::string &stream, Platform::Offset first);

    std::deque<AppendFault> appendFaults; ///< of the next appends
    std::function<void()> beforeAppend; ///< called once, then dropped
    std::function<void()> afterAppend; ///< called once, then dropped
    std::function<void()> onPause;
    bool isOut = false; ///< reads, appends and the list
    std::vector<Platform::ListedInstance> listed;
    std::map<std::string, EntryStatus> pages; ///< by operators' address

private:
    Platform::AppendOutcome take(std::string_view stream, const Platform::LogRecord &record);

    struct LateAppend {
        std::string stream;
        Platform::LogRecord record;
    };

    std::map<std::string, std::vector<Platform::LogEntry>> m_streams;
    std::map<std::string, Platform::Offset> m_ends;
    std::vector<LateAppend> m_late;
    Base::Instant m_now;
};

static_assert(PlatformSession<FakeSession>);

} // namespace Commands
