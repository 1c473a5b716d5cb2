#pragma once

#include "callerfrontend.h"
#include "gatewayconstants.h"
#include "message.h"
#include "requestcheck.h"
#include "tcpsocket.h"

#include <base/oneshottimer.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace Gateway::Internal
{

class CallerSession;

/// Interface of the object that owns the caller sessions.
class SessionOwner
{
public:
    virtual ~SessionOwner() = default;

    virtual const CallerLimits &limits() const = 0;
    virtual CallerCounters &counters() = 0;
    virtual Base::TimerService &timers() = 0;
    virtual bool isDraining() const = 0;

    /// Registers a new exchange for the session. Returns nothing if too many are in flight.
    virtual std::optional<ExchangeId> registerExchange(CallerSession &session) = 0;
    virtual void unregisterExchange(ExchangeId id) = 0;

    /// Sends a message that opens an exchange or continues its request body. Returns false, and sends
    /// nothing, if the ring to the target side is full.
    virtual bool trySend(ToTargets &&message) = 0;
    virtual void send(ToTargets &&message) = 0;
    virtual void onSessionClosed(CallerSession &session) = 0;

    /// Notes what a session holds for a request that isn't whole, and gives up requests until all fit.
    virtual void holdReceived(CallerSession &session, std::size_t bytes) = 0;
};

/// A buffer that calls back when it has grown.
class ReceiveBuffer : public boost::beast::flat_buffer
{
public:
    template<typename Callback>
    ReceiveBuffer(std::size_t maxBytes, Callback onGrown)
        : boost::beast::flat_buffer(maxBytes)
        , m_onGrown(std::move(onGrown))
    {
    }

    mutable_buffers_type prepare(std::size_t n)
    {
        const std::size_t before = capacity();
        const auto room = boost::beast::flat_buffer::prepare(n);
        if (capacity() > before) {
            m_onGrown();
        }
        return room;
    }

private:
    std::function<void()> m_onGrown;
};

/// A connection from a caller. Serves one request at a time: the next request is parsed only after the
/// response to the previous one has been written.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(TcpSocket socket, SessionOwner &owner);

    void start();
    void receive(ToCallers &&message);

    /// Closes the connection at once if it is idle, otherwise after the current response.
    void closeWhenIdle();

    /// Frees what is held for a request that isn't whole: refuses it, or if a target may have a part of it,
    /// closes the connection.
    void giveUpRequest();

private:
    enum class Phase { Idle, Header, Exchange, Lingering, Closed };
    using BodyParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    using Response = boost::beast::http::response<boost::beast::http::buffer_body>;
    using ResponseSerializer = boost::beast::http::response_serializer<boost::beast::http::buffer_body>;
    using LocalResponse = boost::beast::http::response<boost::beast::http::string_body>;
    using ErrorCode = boost::system::error_code;

    void awaitRequest();
    void readAhead();
    void onReadAhead(const ErrorCode &ec, std::size_t n);
    void readHeader();
    void onHeader(const ErrorCode &ec);
    void onHeaderError(const ErrorCode &ec);
    void readChunk();
    void onChunk(const ErrorCode &ec);
    bool openExchange(std::string chunk);
    void sendChunk(std::string chunk);
    void onRequestCredit();
    void onResponseHead(OpenResponse &&message);
    void onResponseBody(ResponseBody &&message);
    void onFailure(const Failure &failure);
    void writeNext();
    void onWritten(const ErrorCode &ec);
    void sendFailureResponse(const Failure &failure);
    void writeLocalResponse(const Failure &failure);
    void onResponseDone();
    void endExchange();
    void abortConnection();
    void close();
    void linger();
    void discardInput();
    bool isReceiving() const;
    void noteReceived();
    bool isGivenUp(const ErrorCode &ec);
    void refuseGivenUp();
    void shrinkBuffer();
    void armReadTimer(Base::Duration timeout);
    void armWriteTimer();
    void onReadTimeout();

    TcpSocket m_socket;
    SessionOwner &m_owner;
    ReceiveBuffer m_buffer;
    Phase m_phase = Phase::Idle;
    std::optional<BodyParser> m_parser;
    std::string m_chunk;
    std::optional<ExchangeId> m_exchange;
    std::uint32_t m_requestWindow = ChunkWindow;
    bool m_isReadingAhead = false;
    bool m_isReadingBody = false;
    bool m_isRequestComplete = false;
    bool m_isKeepAlive = false;
    bool m_isHeadRequest = false;
    bool m_isWriting = false;
    bool m_hasTimedOut = false;
    bool m_isClosingWhenIdle = false;
    bool m_isGivenUp = false; ///< the request that is being read
    std::optional<Response> m_response;
    std::optional<ResponseSerializer> m_serializer;
    std::deque<ResponseBody> m_pendingChunks;
    std::string m_writeBuffer;
    std::optional<LocalResponse> m_localResponse;
    std::vector<char> m_discardBuffer;
    Base::OneShotTimer m_readTimer;
    Base::OneShotTimer m_writeTimer;
};

} // namespace Gateway::Internal
