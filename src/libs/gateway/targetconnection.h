#pragma once

#include "gatewayconstants.h"
#include "message.h"
#include "targetlimits.h"
#include "tcpsocket.h"

#include <base/oneshottimer.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace Gateway::Internal
{

class TargetConnection;

enum class ConnectionFailure {
    ConnectFailed,
    Reset, ///< closed or reset by the target before the response was complete
    ProgressTimeout, ///< no progress within TargetLimits::progressTimeout
    MalformedResponse, ///< invalid or without explicit framing
};

/// Receives the events of a connection, on the event loop's thread.
class ConnectionObserver
{
public:
    virtual ~ConnectionObserver() = default;

    virtual void onRequestCredit(TargetConnection &connection) = 0;
    virtual void
    onResponseHead(TargetConnection &connection, ResponseHead head, std::string chunk, bool isLast) = 0;
    virtual void onResponseBody(TargetConnection &connection, std::string chunk, bool isLast) = 0;

    /// The connection failed and is closed. `mayHaveSent` tells whether any byte of the current request may
    /// have been sent.
    virtual void
    onConnectionFailed(TargetConnection &connection, ConnectionFailure reason, bool mayHaveSent) = 0;

    /// A pooled connection was closed by the target or reached the idle timeout.
    virtual void onIdleClosed(TargetConnection &connection) = 0;
};

/// A connection to a target. Carries one request at a time.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    TargetConnection(boost::asio::io_context &context,
                     Base::TimerService &timers,
                     const TargetLimits &limits,
                     ConnectionObserver &observer,
                     std::uint64_t targetId);

    /// The identifier of the target, as assigned by the observer.
    std::uint64_t targetId() const;

    /// The time at which the latest response was completed.
    Base::Instant lastResponseAt() const;

    /// Connects and then sends the request's head and the first chunk of its body.
    void connectAndSend(const Endpoint &endpoint, const RequestHead &head, std::string chunk, bool isLast);

    /// Sends a request on an idle connection.
    void send(const RequestHead &head, std::string chunk, bool isLast);
    void sendBody(std::string chunk, bool isLast);

    /// Grants flow-control credit for one more chunk of the response.
    void grantResponseCredit();

    /// Returns whether the exchange is complete and the connection can carry another request.
    bool isReusable() const;

    /// Marks the connection as idle. The observer is notified if the connection is closed while idle.
    void enterIdle();
    void close();

private:
    enum class Phase { New, Connecting, Busy, Idle, Closed };
    using Request = boost::beast::http::request<boost::beast::http::buffer_body>;
    using RequestSerializer = boost::beast::http::request_serializer<boost::beast::http::buffer_body>;
    using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    using ErrorCode = boost::system::error_code;

    struct PendingChunk {
        std::string data;
        bool isLast = false;
    };

    void prepareRequest(const RequestHead &head, std::string chunk, bool isLast);
    void beginRequest();
    void writeNext();
    void onWritten(const ErrorCode &ec, std::size_t n);
    void readAhead();
    void onReadAhead(const ErrorCode &ec, std::size_t n);
    void readHeader();
    void onHeader(const ErrorCode &ec);
    bool hasExplicitFraming() const;
    void readBody();
    void onBody(const ErrorCode &ec);
    void deliverChunk(std::string chunk);
    void armProgressTimer();
    void failConnection(ConnectionFailure reason);

    TcpSocket m_socket;
    TargetLimits m_limits;
    ConnectionObserver &m_observer;
    std::uint64_t m_targetId;
    Base::TimerService &m_timers;
    Base::OneShotTimer m_timer;
    Phase m_phase = Phase::New;
    boost::beast::flat_buffer m_buffer;
    std::optional<Request> m_request;
    std::optional<RequestSerializer> m_serializer;
    std::deque<PendingChunk> m_pendingChunks;
    std::string m_writeBuffer;
    std::optional<ResponseParser> m_parser;
    std::optional<ResponseHead> m_head;
    std::string m_readBuffer;
    std::uint32_t m_responseWindow = ChunkWindow;
    Base::Instant m_lastResponseAt;
    bool m_isHeadRequest = false;
    bool m_isWriting = false;
    bool m_hasSentBytes = false;
    bool m_isRequestComplete = false;
    bool m_isReadingAhead = false;
    bool m_isReading = false;
    bool m_isResponseComplete = false;
    bool m_isKeepAlive = false;
};

} // namespace Gateway::Internal
