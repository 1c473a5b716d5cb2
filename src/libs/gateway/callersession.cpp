#include "callersession.h"

#include <base/logline.h>

#include <boost/asio/post.hpp>
#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace Gateway::Internal
{

namespace
{

constexpr unsigned HttpVersion11 = 11;
constexpr std::size_t ReadAheadBytes = 4096;
constexpr std::size_t MaxReadStep = 65536; // of the parser
constexpr Base::Duration LingerTimeout = std::chrono::seconds{1};
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

std::string failureBody(const Failure &failure)
{
    return fmt::format(
        "{{\"reason\":\"{}\",\"verdict\":\"{}\"}}\n", failure.reason, Base::toString(failure.verdict));
}

std::string secondsRoundedUp(Base::Duration duration)
{
    return fmt::format("{}",
                       std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(duration).count()));
}

// The parser bounds a header, but neither trailers nor the extensions of a chunk, and takes each of them only
// as a whole.
std::size_t maxBufferBytes(SessionOwner &owner)
{
    return owner.limits().headerBytes + MaxReadStep;
}

beast::string_view toBeast(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

CallerSession::CallerSession(TcpSocket socket, SessionOwner &owner)
    : m_socket(std::move(socket))
    , m_owner(owner)
    , m_buffer(maxBufferBytes(owner), [this] { noteReceived(); })
    , m_readTimer(owner.timers())
    , m_writeTimer(owner.timers())
{
}

void CallerSession::start()
{
    awaitRequest();
}

void CallerSession::receive(ToCallers &&message)
{
    if (std::holds_alternative<RequestCredit>(message)) {
        onRequestCredit();
    } else if (auto *head = std::get_if<OpenResponse>(&message)) {
        onResponseHead(std::move(*head));
    } else if (auto *body = std::get_if<ResponseBody>(&message)) {
        onResponseBody(std::move(*body));
    } else if (const auto *failed = std::get_if<ExchangeFailed>(&message)) {
        onFailure(*failed->failure);
    }
}

void CallerSession::closeWhenIdle()
{
    m_isClosingWhenIdle = true;
    if (m_phase == Phase::Idle) {
        close();
    }
}

// A read that waits is cancelled, and one that is between two steps ends as the buffer has no room for the
// next.
void CallerSession::giveUpRequest()
{
    m_isGivenUp = true;
    m_buffer.max_size(0);
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_isGivenUp && self->isReceiving()) {
            ErrorCode ec;
            self->m_socket.cancel(ec);
        }
    });
}

void CallerSession::awaitRequest()
{
    shrinkBuffer();
    if (m_owner.isDraining() && m_isClosingWhenIdle) {
        close();
        return;
    }
    m_phase = Phase::Idle;
    if (m_buffer.size() > 0) {
        readHeader();
        return;
    }
    armReadTimer(m_owner.limits().idleTimeout);
    readAhead();
}

// Keeps one read pending while the parser is not reading. On an idle connection it receives the first bytes
// of the next request; while a request is being served it detects that the caller disconnected.
void CallerSession::readAhead()
{
    if (m_isReadingAhead || m_buffer.size() >= ReadAheadBytes) {
        return;
    }
    m_isReadingAhead = true;
    m_socket.async_read_some(m_buffer.prepare(ReadAheadBytes),
                             beast::bind_front_handler(&CallerSession::onReadAhead, shared_from_this()));
}

void CallerSession::onReadAhead(const ErrorCode &ec, std::size_t n)
{
    m_isReadingAhead = false;
    if (m_phase == Phase::Closed) {
        return;
    }
    if (m_phase == Phase::Lingering) {
        ec ? close() : discardInput();
        return;
    }
    m_buffer.commit(n);
    if (ec) {
        abortConnection();
    } else if (m_phase == Phase::Idle) {
        readHeader();
    }
}

void CallerSession::readHeader()
{
    m_phase = Phase::Header;
    m_hasTimedOut = false;
    armReadTimer(m_owner.limits().headerTimeout);
    m_parser.emplace();
    m_parser->header_limit(m_owner.limits().headerBytes);
    m_parser->body_limit(m_owner.limits().bodyBytes);
    http::async_read_header(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](const ErrorCode &ec, std::size_t) {
            self->onHeader(ec);
        });
}

void CallerSession::onHeader(const ErrorCode &ec)
{
    m_readTimer.disarm();
    if (m_phase == Phase::Closed) {
        return;
    }
    if (isGivenUp(ec)) {
        refuseGivenUp();
        return;
    }
    if (ec) {
        onHeaderError(ec);
        return;
    }
    const auto &header = m_parser->get();
    if (const auto failure = checkRequest(header)) {
        sendFailureResponse(*failure);
        return;
    }
    m_owner.counters().requests.fetch_add(1, std::memory_order_relaxed);
    m_isKeepAlive = m_parser->keep_alive();
    m_isHeadRequest = header.method() == http::verb::head;
    m_isRequestComplete = m_parser->is_done();
    m_requestWindow = ChunkWindow;
    if (m_isRequestComplete) {
        sendChunk({});
        return;
    }
    if (beast::iequals(header[http::field::expect], "100-continue")) {
        asio::async_write(m_socket,
                          asio::buffer(ContinueResponse),
                          [self = shared_from_this()](const ErrorCode &, std::size_t) { self->readChunk(); });
        return;
    }
    readChunk();
}

void CallerSession::onHeaderError(const ErrorCode &ec)
{
    if (m_hasTimedOut) {
        sendFailureResponse({408, Base::Verdict::NotRun, "header-timeout", std::nullopt});
    } else if (ec == http::error::end_of_stream || ec == http::error::partial_message
               || ec.category() == asio::error::get_system_category()) {
        close();
    } else {
        sendFailureResponse(failureFromParseError(ec));
    }
}

// The body is forwarded in full chunks, and the exchange is opened only with the first one. A slow caller
// with a small body thus does not occupy a slot of a target.
void CallerSession::readChunk()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (m_isGivenUp) {
        refuseGivenUp();
        return;
    }
    m_isReadingBody = true;
    const auto left = m_parser->content_length_remaining();
    m_chunk.resize(std::min<std::uint64_t>(ChunkBytes, left ? *left : ChunkBytes));
    m_parser->get().body().data = m_chunk.data();
    m_parser->get().body().size = m_chunk.size();
    armReadTimer(m_owner.limits().bodyTimeout);
    noteReceived();
    http::async_read(m_socket,
                     m_buffer,
                     *m_parser,
                     [self = shared_from_this()](const ErrorCode &ec, std::size_t) { self->onChunk(ec); });
}

void CallerSession::onChunk(const ErrorCode &ec)
{
    m_isReadingBody = false;
    if (m_phase == Phase::Lingering) {
        ec ? close() : discardInput();
        return;
    }
    m_readTimer.disarm();
    if (m_phase == Phase::Closed) {
        return;
    }
    if (isGivenUp(ec)) {
        refuseGivenUp();
        return;
    }
    if (ec && ec != http::error::need_buffer) {
        if (m_exchange && (m_serializer || !m_hasTimedOut)) {
            abortConnection();
        } else if (m_exchange) {
            m_owner.send(CallerDisconnected{*m_exchange});
            endExchange();
            sendFailureResponse({408, Base::Verdict::MayHaveRun, "body-timeout", std::nullopt});
        } else if (m_hasTimedOut) {
            sendFailureResponse({408, Base::Verdict::NotRun, "body-timeout", std::nullopt});
        } else if (ec == http::error::partial_message
                   || ec.category() == asio::error::get_system_category()) {
            close();
        } else {
            sendFailureResponse(failureFromParseError(ec));
        }
        return;
    }
    m_chunk.resize(m_chunk.size() - m_parser->get().body().size);
    m_isRequestComplete = m_parser->is_done();
    sendChunk(std::move(m_chunk));
}

void CallerSession::sendChunk(std::string chunk)
{
    if (!m_exchange) {
        if (!openExchange(std::move(chunk))) {
            return;
        }
    } else if (!m_owner.trySend(RequestBody{*m_exchange, std::move(chunk), m_isRequestComplete})) {
        abortConnection();
        return;
    }
    if (m_isRequestComplete) {
        shrinkBuffer();
        readAhead();
        return;
    }
    --m_requestWindow;
    if (m_requestWindow > 0) {
        readChunk();
    } else {
        noteReceived();
    }
}

bool CallerSession::openExchange(std::string chunk)
{
    const auto id = m_owner.registerExchange(*this);
    if (!id) {
        m_owner.counters().refused.fetch_add(1, std::memory_order_relaxed);
        sendFailureResponse({503, Base::Verdict::NotRun, "too-many-in-flight", std::chrono::seconds{1}});
        return false;
    }
    m_exchange = id;
    m_phase = Phase::Exchange;
    auto head = std::make_unique<RequestHead>(makeRequestHead(m_parser->get()));
    head->hasBody = !(m_isRequestComplete && chunk.empty());
    if (const auto length = m_parser->content_length()) {
        head->length = *length;
    }
    head->receivedAt = m_owner.timers().now();
    if (!m_owner.trySend(OpenExchange{*id, std::move(head), std::move(chunk), m_isRequestComplete})) {
        endExchange();
        sendFailureResponse({503, Base::Verdict::NotRun, "too-many-in-flight", std::chrono::seconds{1}});
        return false;
    }
    return true;
}

void CallerSession::onRequestCredit()
{
    ++m_requestWindow;
    if (m_phase == Phase::Exchange && !m_isReadingBody && !m_isRequestComplete) {
        readChunk();
    }
}

void CallerSession::onResponseHead(OpenResponse &&message)
{
    if (m_phase != Phase::Exchange) {
        return;
    }
    m_response.emplace();
    m_response->version(HttpVersion11);
    m_response->result(message.head->status);
    for (const auto &it : message.head->fields) {
        m_response->insert(toBeast(it.name), toBeast(it.value));
    }
    if (message.head->length) {
        m_response->content_length(*message.head->length);
    } else if (message.head->hasBody) {
        m_response->chunked(true);
    }
    m_isKeepAlive = m_isKeepAlive && m_isRequestComplete && !m_owner.isDraining();
    m_response->keep_alive(m_isKeepAlive);
    m_response->body().data = nullptr;
    m_response->body().size = 0;
    m_response->body().more = !message.isLast;
    m_serializer.emplace(*m_response);
    m_pendingChunks.push_back({message.id, std::move(message.chunk), message.isLast});
    writeNext();
}

void CallerSession::onResponseBody(ResponseBody &&message)
{
    if (m_phase != Phase::Exchange || !m_serializer) {
        return;
    }
    m_pendingChunks.push_back(std::move(message));
    writeNext();
}

// If part of the response has been sent, the connection is closed, so that the caller can tell that the
// response is incomplete.
void CallerSession::onFailure(const Failure &failure)
{
    if (m_phase != Phase::Exchange) {
        return;
    }
    if (m_serializer) {
        endExchange();
        close();
        return;
    }
    endExchange();
    sendFailureResponse(failure);
}

void CallerSession::writeNext()
{
    if (m_isWriting || m_pendingChunks.empty()) {
        return;
    }
    m_isWriting = true;
    ResponseBody part = std::move(m_pendingChunks.front());
    m_pendingChunks.pop_front();
    m_writeBuffer = std::move(part.chunk);
    m_response->body().data = m_writeBuffer.empty() ? nullptr : m_writeBuffer.data();
    m_response->body().size = m_writeBuffer.size();
    m_response->body().more = !part.isLast;
    armWriteTimer();
    auto handler = [self = shared_from_this()](const ErrorCode &ec, std::size_t) {
        self->onWritten(ec);
    };
    if (m_isHeadRequest) {
        http::async_write_header(m_socket, *m_serializer, std::move(handler));
        return;
    }
    http::async_write(m_socket, *m_serializer, std::move(handler));
}

void CallerSession::onWritten(const ErrorCode &ec)
{
    m_isWriting = false;
    m_writeTimer.disarm();
    if (m_phase == Phase::Closed) {
        return;
    }
    if (ec && ec != http::error::need_buffer) {
        abortConnection();
        return;
    }
    if (!m_response->body().more) {
        onResponseDone();
        return;
    }
    m_owner.send(ResponseCredit{*m_exchange});
    writeNext();
}

// If the request was not read completely, the connection is closed after the response, since it is unknown
// where the next request would begin.
void CallerSession::sendFailureResponse(const Failure &failure)
{
    if (failure.status < 500 || failure.verdict == Base::Verdict::NotRun) {
        Base::LogLine(Base::LogLevel::Debug, "request-refused")
            .with("status", failure.status)
            .with("verdict", Base::toString(failure.verdict))
            .with("reason", failure.reason);
    }
    m_phase = Phase::Exchange;
    noteReceived();
    // With an unsupported transfer coding the end of the body is unknown, even if the parser reports that it
    // is done.
    const bool isFramed =
        m_parser && (m_parser->chunked() || m_parser->get().count(http::field::transfer_encoding) == 0);
    const bool isReadToEnd = isFramed && m_parser->is_done();
    if (!isReadToEnd) {
        m_owner.counters().malformed.fetch_add(1, std::memory_order_relaxed);
    }
    m_isRequestComplete = isReadToEnd;
    m_isKeepAlive = isReadToEnd && m_parser->keep_alive() && !m_owner.isDraining();
    writeLocalResponse(failure);
}

void CallerSession::writeLocalResponse(const Failure &failure)
{
    m_localResponse.emplace();
    m_localResponse->version(HttpVersion11);
    m_localResponse->result(failure.status);
    m_localResponse->set(toBeast(VerdictHeader), toBeast(Base::toString(failure.verdict)));
    m_localResponse->set(http::field::content_type, "application/json");
    if (failure.retryAfter) {
        m_localResponse->set(http::field::retry_after, secondsRoundedUp(*failure.retryAfter));
    }
    m_localResponse->keep_alive(m_isKeepAlive);
    if (!m_isHeadRequest) {
        m_localResponse->body() = failureBody(failure);
        m_localResponse->prepare_payload();
    }
    armWriteTimer();
    http::async_write(
        m_socket, *m_localResponse, [self = shared_from_this()](const ErrorCode &ec, std::size_t) {
            self->m_localResponse.reset();
            if (self->m_phase != Phase::Closed) {
                ec ? self->close() : self->onResponseDone();
            }
        });
}

void CallerSession::onResponseDone()
{
    m_writeTimer.disarm();
    endExchange();
    m_serializer.reset();
    m_response.reset();
    m_pendingChunks.clear();
    if (m_isKeepAlive && m_isRequestComplete && !m_isClosingWhenIdle) {
        m_parser.reset();
        awaitRequest();
        return;
    }
    if (m_isRequestComplete) {
        close();
    } else {
        linger();
    }
}

void CallerSession::endExchange()
{
    if (m_exchange) {
        m_owner.unregisterExchange(*m_exchange);
        m_exchange.reset();
    }
}

void CallerSession::abortConnection()
{
    if (m_exchange) {
        m_owner.counters().callerDisconnects.fetch_add(1, std::memory_order_relaxed);
        m_owner.send(CallerDisconnected{*m_exchange});
        endExchange();
    }
    close();
}

// Closing a socket with unread data resets the connection, and the caller could lose the response that was
// just written. Input is therefore read and discarded for LingerTimeout before the socket is closed.
void CallerSession::linger()
{
    ErrorCode ec;
    m_socket.shutdown(asio::socket_base::shutdown_send, ec);
    m_phase = Phase::Lingering;
    if (!m_isReadingAhead && !m_isReadingBody) {
        m_buffer.clear();
        m_buffer.shrink_to_fit();
    }
    m_discardBuffer.resize(ReadAheadBytes);
    m_readTimer.arm(LingerTimeout, [this] { close(); });
    if (!m_isReadingAhead && !m_isReadingBody) {
        discardInput();
    }
}

void CallerSession::discardInput()
{
    m_socket.async_read_some(asio::buffer(m_discardBuffer),
                             [self = shared_from_this()](const ErrorCode &ec, std::size_t) {
                                 if (self->m_phase != Phase::Lingering) {
                                     return;
                                 }
                                 ec ? self->close() : self->discardInput();
                             });
}

void CallerSession::close()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    m_phase = Phase::Closed;
    m_readTimer.disarm();
    m_writeTimer.disarm();
    const auto self = shared_from_this();
    ErrorCode ec;
    m_socket.shutdown(asio::socket_base::shutdown_send, ec);
    m_socket.close(ec);
    m_owner.onSessionClosed(*this);
}

bool CallerSession::isReceiving() const
{
    return m_phase == Phase::Header || m_isReadingBody;
}

void CallerSession::noteReceived()
{
    if (!m_isGivenUp) {
        const std::size_t held = m_buffer.capacity() + (m_isReadingBody ? m_chunk.size() : 0);
        m_owner.holdReceived(*this, isReceiving() ? held : 0);
    }
}

// A request that has become whole meanwhile is served.
bool CallerSession::isGivenUp(const ErrorCode &ec)
{
    if (m_isGivenUp && !ec && m_parser->is_done()) {
        m_isGivenUp = false;
        m_buffer.max_size(maxBufferBytes(m_owner));
    }
    return m_isGivenUp;
}

void CallerSession::refuseGivenUp()
{
    m_owner.counters().refused.fetch_add(1, std::memory_order_relaxed);
    m_chunk = std::string();
    if (m_exchange) {
        abortConnection();
        return;
    }
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    sendFailureResponse({503, Base::Verdict::NotRun, "no-memory", std::chrono::seconds{1}});
}

// A pending read needs the buffer until it ends.
void CallerSession::shrinkBuffer()
{
    if (!m_isReadingAhead && m_buffer.size() == 0 && m_buffer.capacity() > 2 * ReadAheadBytes) {
        m_buffer.shrink_to_fit();
    }
    noteReceived();
}

void CallerSession::armReadTimer(Base::Duration timeout)
{
    m_hasTimedOut = false;
    m_readTimer.arm(timeout, [this] { onReadTimeout(); });
}

void CallerSession::armWriteTimer()
{
    m_writeTimer.arm(m_owner.limits().bodyTimeout, [this] { abortConnection(); });
}

// The handler of the cancelled read decides which response is sent.
void CallerSession::onReadTimeout()
{
    m_hasTimedOut = true;
    if (m_phase == Phase::Idle) {
        close();
        return;
    }
    ErrorCode ec;
    m_socket.cancel(ec);
}

} // namespace Gateway::Internal
