#include "fakesession.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Commands
{

namespace
{

void callOnce(std::function<void()> &callback)
{
    if (const auto call = std::exchange(callback, nullptr)) {
        call();
    }
}

} // namespace

Platform::ReadOutcome FakeSession::read(const Platform::ReadRequest &request)
{
    if (isOut) {
        return Platform::ReadUnavailable{};
    }
    const auto &kept = m_streams[request.stream];
    const Platform::Offset end = m_ends[request.stream] + 1;
    const Platform::Offset first = kept.empty() ? end : kept.front().offset;
    if (request.from < first) {
        return Platform::TrimmedPast{first};
    }
    Platform::ReadEntries read{{}, first, end};
    std::copy_if(kept.begin(), kept.end(), std::back_inserter(read.entries), [&](const auto &it) {
        return it.offset >= request.from;
    });
    return read;
}

Platform::AppendOutcome FakeSession::append(std::string_view stream, const Platform::LogRecord &record)
{
    callOnce(beforeAppend);
    if (isOut) {
        return Platform::AppendUnavailable{};
    }
    const AppendFault fault = appendFaults.empty() ? AppendFault::None : appendFaults.front();
    if (!appendFaults.empty()) {
        appendFaults.pop_front();
    }
    Platform::AppendOutcome outcome = Platform::AppendUnknown{};
    switch (fault) {
    case AppendFault::None:
        outcome = take(stream, record);
        break;
    case AppendFault::LostAfterEffect:
        take(stream, record);
        break;
    case AppendFault::LostBeforeEffect:
        break;
    case AppendFault::LostAndLate:
        m_late.push_back({std::string(stream), record});
        break;
    case AppendFault::Unavailable:
        outcome = Platform::AppendUnavailable{};
        break;
    case AppendFault::Rejected:
        outcome = Platform::AppendRejected{"too large"};
        break;
    }
    callOnce(afterAppend);
    return outcome;
}

Platform::ListOutcome FakeSession::listInstances()
{
    if (isOut) {
        return Platform::ListUnavailable{};
    }
    return listed;
}

std::vector<std::optional<EntryStatus>> FakeSession::statuses(std::span<const std::string> addresses)
{
    std::vector<std::optional<EntryStatus>> answers;
    for (const std::string &it : addresses) {
        const auto page = pages.find(it);
        answers.push_back(page == pages.end() ? std::nullopt : std::optional(page->second));
    }
    return answers;
}

Base::Instant FakeSession::now() const
{
    return m_now;
}

void FakeSession::pause(Base::Duration duration)
{
    m_now += duration;
    for (const LateAppend &it : std::exchange(m_late, {})) {
        take(it.stream, it.record);
    }
    if (onPause) {
        onPause();
    }
}

std::vector<Platform::LogEntry> &FakeSession::entries(const std::string &stream)
{
    return m_streams[stream];
}

void FakeSession::trim(const std::string &stream, Platform::Offset first)
{
    std::erase_if(m_streams[stream], [&](const Platform::LogEntry &it) { return it.offset < first; });
}

Platform::AppendOutcome FakeSession::take(std::string_view stream, const Platform::LogRecord &record)
{
    const std::string name(stream);
    const Platform::Offset offset = ++m_ends[name];
    m_streams[name].push_back({offset, record.id, record.data});
    return Platform::Appended{{offset}};
}

} // namespace Commands
