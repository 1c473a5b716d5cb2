#pragma once

#include "asioforward.h"
#include "httpsettings.h"
#include "services.h"

#include <base/timerservice.h>

#include <memory>

namespace Platform
{

/// The platform over HTTP/1.1 with JSON; docs/design/platform.md has the protocol. For one thread only: the
/// one that runs `context` and `timers`. Callbacks open at destruction are not called.
class HttpPlatform
{
public:
    HttpPlatform(boost::asio::io_context &context, Base::TimerService &timers, const HttpSettings &settings);
    HttpPlatform(const HttpPlatform &) = delete;
    HttpPlatform &operator=(const HttpPlatform &) = delete;
    ~HttpPlatform();

    void append(std::string_view stream, std::span<const LogRecord> records, AppendCallback callback);
    void read(const ReadRequest &request, ReadCallback callback);

    /// Drops the records before `before`.
    void trim(std::string_view stream, Offset before, TrimCallback callback);

    void listInstances(ListCallback callback);
    void act(const InstanceAction &action, ActionCallback callback);

private:
    class Client;
    std::unique_ptr<Client> m_client;
};

static_assert(LogService<HttpPlatform> && InstanceList<HttpPlatform> && InstanceActions<HttpPlatform>);

} // namespace Platform
