#pragma once

#include "asioforward.h"
#include "httpsettings.h"

#include <base/timerservice.h>

#include <functional>
#include <memory>
#include <string>

namespace Platform::Internal
{

enum class HttpVerb { Get, Post };

/// Pipelined calls share connections and are answered in turn; an exclusive one has a connection of its own.
enum class HttpLane { Pipelined, Exclusive };

struct HttpCall {
    HttpVerb verb = HttpVerb::Get;
    std::string path;
    std::string body;
    Base::Duration timeout{};
    HttpLane lane = HttpLane::Pipelined;
};

enum class HttpDelivery {
    Answered,
    NotSent, ///< not one byte was written
    Lost, ///< written at least in part, and no whole answer came
};

struct HttpReply {
    HttpDelivery delivery = HttpDelivery::NotSent;
    unsigned status = 0;
    std::string body;
};
using HttpCallback = std::function<void(HttpReply)>;

/// An HTTP/1.1 client of one server over a few kept connections. A connection on which a call timed out is
/// closed, and the calls behind it are lost with it. Callbacks open at destruction are not called.
class HttpClient
{
public:
    HttpClient(boost::asio::io_context &context, Base::TimerService &timers, HttpSettings settings);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /// Calls back exactly once, never from within.
    void send(HttpCall call, HttpCallback callback);

private:
    class Pool;
    std::shared_ptr<Pool> m_pool;
};

} // namespace Platform::Internal
