#include "targetconnection.h"

#include "requestcheck.h"

#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

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

bool isInformational(unsigned status)
{
    return status >= 100 && status < 200;
}

} // namespace

TargetConnection::TargetConnection(asio::io_context &context,
                                   Base::TimerService &timers,
                                   const TargetLimits &limits,
                                   ConnectionObserver &observer,
                                   std::uint64_t targetId)
    : m_socket(context)
    , m_limits(limits)
    , m_observer(observer)
    , m_targetId(targetId)
    , m_timers(timers)
    , m_timer(timers)
    // The parser bounds neither trailers nor the extensions of a chunk.
    , m_buffer(limits.headerBytes + MaxReadStep)
{
}

std::uint64_t TargetConnection::targetId() const
{
    return m_targetId;
}

Base::Instant TargetConnection::lastResponseAt() const
{
    return m_lastResponseAt;
}

void TargetConnection::connectAndSend(const Endpoint &endpoint,
                                      const RequestHead &head,
                                      std::string chunk,
                                      bool isLast)
{
    m_phase = Phase::Connecting;
    prepareRequest(head, std::move(chunk), isLast);
    m_timer.arm(m_limits.connectTimeout, [this] { failConnection(ConnectionFailure::ConnectFailed); });
    m_socket.async_connect(endpoint, [self = shared_from_this()](const ErrorCode &ec) {
        if (self->m_phase != Phase::Connecting) {
            return;
        }
        if (ec) {
            self->failConnection(ConnectionFailure::ConnectFailed);
            return;
        }
        ErrorCode ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->beginRequest();
    });
}

void TargetConnection::send(const RequestHead &head, std::string chunk, bool isLast)
{
    prepareRequest(head, std::move(chunk), isLast);
    beginRequest();
}

void TargetConnection::sendBody(std::string chunk, bool isLast)
{
    m_pendingChunks.push_back({std::move(chunk), isLast});
    writeNext();
}

void TargetConnection::grantResponseCredit()
{
    ++m_responseWindow;
    if (m_phase == Phase::Busy && m_parser && m_head == std::nullopt && !m_isReading
        && !m_isResponseComplete) {
        readBody();
    }
}

bool TargetConnection::isReusable() const
{
    return m_isResponseComplete && m_isRequestComplete && !m_isWriting && m_isKeepAlive
        && m_buffer.size() == 0;
}

void TargetConnection::enterIdle()
{
    m_phase = Phase::Idle;
    m_lastResponseAt = m_timers.now();
    m_timer.arm(m_limits.idleTimeout, [this] {
        const auto self = shared_from_this();
        close();
        m_observer.onIdleClosed(*this);
    });
    readAhead();
}

void TargetConnection::close()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    m_phase = Phase::Closed;
    m_timer.disarm();
    ErrorCode ec;
    m_socket.close(ec);
}

void TargetConnection::prepareRequest(const RequestHead &head, std::string chunk, bool isLast)
{
    m_request.emplace();
    m_request->version(HttpVersion11);
    m_request->method_string({head.method.data(), head.method.size()});
    m_request->target({head.target.data(), head.target.size()});
    for (const auto &it : head.fields) {
        m_request->insert({it.name.data(), it.name.size()}, {it.value.data(), it.value.size()});
    }
    if (!head.traceParent.empty()) {
        m_request->set({TraceParentHeader.data(), TraceParentHeader.size()}, head.traceParent);
    }
    if (head.length) {
        m_request->content_length(*head.length);
    } else if (head.hasBody) {
        m_request->chunked(true);
    }
    m_isHeadRequest = m_request->method() == http::verb::head;
    m_request->body().data = nullptr;
    m_request->body().size = 0;
    m_request->body().more = !isLast;
    m_serializer.emplace(*m_request);
    m_pendingChunks.clear();
    m_pendingChunks.push_back({std::move(chunk), isLast});
    m_hasSentBytes = false;
    m_isRequestComplete = false;
    m_isResponseComplete = false;
    m_responseWindow = ChunkWindow;
    m_head.reset();
    m_parser.reset();
}

void TargetConnection::beginRequest()
{
    m_phase = Phase::Busy;
    armProgressTimer();
    writeNext();
    if (!m_isReadingAhead) {
        readHeader();
    }
}

void TargetConnection::writeNext()
{
    if (m_phase != Phase::Busy || m_isWriting || m_pendingChunks.empty()) {
        return;
    }
    m_isWriting = true;
    PendingChunk chunk = std::move(m_pendingChunks.front());
    m_pendingChunks.pop_front();
    m_writeBuffer = std::move(chunk.data);
    m_request->body().data = m_writeBuffer.empty() ? nullptr : m_writeBuffer.data();
    m_request->body().size = m_writeBuffer.size();
    m_request->body().more = !chunk.isLast;
    armProgressTimer();
    http::async_write(
        m_socket, *m_serializer, [self = shared_from_this()](const ErrorCode &ec, std::size_t n) {
            self->onWritten(ec, n);
        });
}

// Once connected, only a write that failed before the system accepted any byte proves that the request was
// not run.
void TargetConnection::onWritten(const ErrorCode &ec, std::size_t n)
{
    m_isWriting = false;
    m_hasSentBytes = m_hasSentBytes || n > 0;
    if (m_phase != Phase::Busy) {
        return;
    }
    if (ec && ec != http::error::need_buffer) {
        // The target may have responded before it closed its receiving side, so a pending response is still
        // read.
        if (!m_hasSentBytes) {
            failConnection(ConnectionFailure::Reset);
        }
        return;
    }
    if (!m_request->body().more) {
        m_isRequestComplete = true;
        if (m_isResponseComplete) {
            return;
        }
        armProgressTimer();
        return;
    }
    m_timer.disarm();
    m_observer.onRequestCredit(*this);
    writeNext();
}

// The read that is pending on an idle connection becomes the first read of the next response.
void TargetConnection::readAhead()
{
    if (m_isReadingAhead) {
        return;
    }
    m_isReadingAhead = true;
    m_socket.async_read_some(m_buffer.prepare(ReadAheadBytes),
                             beast::bind_front_handler(&TargetConnection::onReadAhead, shared_from_this()));
}

void TargetConnection::onReadAhead(const ErrorCode &ec, std::size_t n)
{
    m_isReadingAhead = false;
    if (m_phase == Phase::Closed) {
        return;
    }
    if (m_phase == Phase::Idle) {
        close();
        m_observer.onIdleClosed(*this);
        return;
    }
    m_buffer.commit(n);
    if (ec) {
        failConnection(ConnectionFailure::Reset);
        return;
    }
    readHeader();
}

void TargetConnection::readHeader()
{
    m_parser.emplace();
    m_parser->header_limit(m_limits.headerBytes);
    m_parser->body_limit(boost::none);
    m_parser->skip(m_isHeadRequest);
    m_isReading = true;
    http::async_read_header(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](const ErrorCode &ec, std::size_t) {
            self->m_isReading = false;
            if (self->m_phase == Phase::Busy) {
                self->onHeader(ec);
            }
        });
}

void TargetConnection::onHeader(const ErrorCode &ec)
{
    if (ec) {
        const bool isTruncated = ec == http::error::end_of_stream || ec == http::error::partial_message
            || ec.category() == asio::error::get_system_category();
        failConnection(isTruncated ? ConnectionFailure::Reset : ConnectionFailure::MalformedResponse);
        return;
    }
    const unsigned status = m_parser->get().result_int();
    if (isInformational(status) && status != 101) {
        readHeader();
        return;
    }
    if (status == 101 || !hasExplicitFraming()) {
        failConnection(ConnectionFailure::MalformedResponse);
        return;
    }
    armProgressTimer();
    m_isKeepAlive = m_parser->keep_alive();
    m_head.emplace();
    m_head->status = status;
    m_head->fields = endToEndFields(m_parser->get());
    if (const auto length = m_parser->content_length()) {
        m_head->length = *length;
    }
    m_head->hasBody = !m_parser->is_done();
    if (m_parser->is_done() || m_buffer.size() == 0) {
        deliverChunk({});
        return;
    }
    readBody();
}

// A body that is delimited by the end of the connection cannot be distinguished from a truncated one, so such
// a response is not forwarded.
bool TargetConnection::hasExplicitFraming() const
{
    const auto &header = m_parser->get();
    const auto lengths = header.count(http::field::content_length);
    const auto encodings = header.count(http::field::transfer_encoding);
    if (lengths + encodings > 1) {
        return false;
    }
    return m_parser->is_done() || lengths == 1 || m_parser->chunked();
}

void TargetConnection::readBody()
{
    if (m_responseWindow == 0) {
        m_timer.disarm();
        return;
    }
    const auto left = m_parser->content_length_remaining();
    m_readBuffer.resize(std::min<std::uint64_t>(ChunkBytes, left ? *left : ChunkBytes));
    m_parser->get().body().data = m_readBuffer.data();
    m_parser->get().body().size = m_readBuffer.size();
    m_isReading = true;
    armProgressTimer();
    http::async_read_some(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](const ErrorCode &ec, std::size_t) {
            self->m_isReading = false;
            if (self->m_phase == Phase::Busy) {
                self->onBody(ec);
            }
        });
}

void TargetConnection::onBody(const ErrorCode &ec)
{
    if (ec && ec != http::error::need_buffer) {
        const bool isTruncated = ec == http::error::end_of_stream || ec == http::error::partial_message
            || ec.category() == asio::error::get_system_category();
        failConnection(isTruncated ? ConnectionFailure::Reset : ConnectionFailure::MalformedResponse);
        return;
    }
    m_readBuffer.resize(m_readBuffer.size() - m_parser->get().body().size);
    if (m_readBuffer.empty() && !m_parser->is_done()) {
        readBody();
        return;
    }
    deliverChunk(std::move(m_readBuffer));
}

void TargetConnection::deliverChunk(std::string chunk)
{
    const auto self = shared_from_this();
    m_isResponseComplete = m_parser->is_done();
    m_timer.disarm();
    --m_responseWindow;
    const bool isLast = m_isResponseComplete;
    if (m_head) {
        ResponseHead head = std::move(*m_head);
        m_head.reset();
        m_observer.onResponseHead(*this, std::move(head), std::move(chunk), isLast);
    } else {
        m_observer.onResponseBody(*this, std::move(chunk), isLast);
    }
    if (!isLast && m_phase == Phase::Busy && !m_isReading) {
        readBody();
    }
}

void TargetConnection::armProgressTimer()
{
    m_timer.arm(m_limits.progressTimeout, [this] { failConnection(ConnectionFailure::ProgressTimeout); });
}

void TargetConnection::failConnection(ConnectionFailure reason)
{
    const auto self = shared_from_this();
    const bool mayHaveSent = m_phase == Phase::Busy && (m_hasSentBytes || m_isWriting);
    close();
    m_observer.onConnectionFailed(*this, reason, mayHaveSent);
}

} // namespace Gateway::Internal
