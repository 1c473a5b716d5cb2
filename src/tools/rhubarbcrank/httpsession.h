#pragma once

#include "platformsession.h"

#include <ini/values.h>

#include <memory>

namespace Commands
{

/// The platform over HTTP, one call at a time.
class HttpSession
{
public:
    explicit HttpSession(const Ini::Endpoint &platform);
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;
    ~HttpSession();

    Platform::ReadOutcome read(const Platform::ReadRequest &request);
    Platform::AppendOutcome append(std::string_view stream, const Platform::LogRecord &record);
    Platform::ListOutcome listInstances();
    std::vector<std::optional<EntryStatus>> statuses(std::span<const std::string> addresses);
    Base::Instant now() const;
    void pause(Base::Duration duration);

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

static_assert(PlatformSession<HttpSession>);

} // namespace Commands
