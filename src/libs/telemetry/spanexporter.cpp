#include "spanexporter.h"

#include "spanencoder.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace Telemetry::Internal
{

namespace
{

constexpr std::size_t SpansPerPost = 256;
constexpr std::chrono::seconds PostTimeout{5};
constexpr unsigned HttpVersion11 = 11;
constexpr unsigned FirstRedirect = 300;

// The parser bounds neither the trailers of an answer nor the extensions of a chunk, and takes each of them
// only as a whole.
constexpr std::size_t MaxBufferBytes = 65536;

Base::Duration wallClockOffset()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Base::Duration>(wall - steady);
}

} // namespace

class SpanExporter::Post : public std::enable_shared_from_this<Post>
{
public:
    Post(SpanExporter &exporter, std::string body)
        : m_exporter(&exporter)
        , m_stream(exporter.m_context)
    {
        m_request.version(HttpVersion11);
        m_request.method(http::verb::post);
        m_request.target("/v1/traces");
        m_request.set(http::field::host, exporter.m_collector.address().to_string());
        m_request.set(http::field::content_type, "application/json");
        m_request.keep_alive(false);
        m_request.body() = std::move(body);
        m_request.prepare_payload();
    }

    void run(const Endpoint &collector)
    {
        m_stream.expires_after(PostTimeout);
        m_stream.async_connect(collector, [self = shared_from_this()](boost::system::error_code ec) {
            ec ? self->finish(false) : self->write();
        });
    }

    void abandon()
    {
        m_exporter = nullptr;
        m_stream.close();
    }

private:
    void write()
    {
        http::async_write(
            m_stream, m_request, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                ec ? self->finish(false) : self->read();
            });
    }

    void read()
    {
        http::async_read(m_stream,
                         m_buffer,
                         m_response,
                         [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                             self->finish(!ec && self->m_response.result_int() < FirstRedirect);
                         });
    }

    void finish(bool isTaken)
    {
        if (m_exporter) {
            m_exporter->finished(isTaken);
        }
    }

    SpanExporter *m_exporter;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer{MaxBufferBytes};
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
};

SpanExporter::SpanExporter(boost::asio::io_context &context,
                           Endpoint collector,
                           std::string instance,
                           std::size_t spansKept)
    : m_context(context)
    , m_collector(std::move(collector))
    , m_instance(std::move(instance))
    , m_spansKept(spansKept)
{
}

SpanExporter::~SpanExporter()
{
    if (m_post) {
        m_post->abandon();
    }
}

void SpanExporter::add(Span &&span)
{
    if (m_spans.size() >= m_spansKept && m_underWay == 0) {
        m_spans.pop_front();
        ++m_dropped;
    } else if (m_spans.size() >= m_spansKept) {
        ++m_dropped;
        return;
    }
    m_spans.push_back(std::move(span));
}

void SpanExporter::flush()
{
    if (m_post || m_spans.empty()) {
        return;
    }
    m_underWay = std::min(m_spans.size(), SpansPerPost);
    const std::vector<Span> batch(m_spans.begin(), m_spans.begin() + static_cast<std::ptrdiff_t>(m_underWay));
    m_post = std::make_shared<Post>(*this, encodeSpans(batch, m_instance, wallClockOffset()));
    m_post->run(m_collector);
}

std::uint64_t SpanExporter::dropped() const
{
    return m_dropped;
}

std::uint64_t SpanExporter::exported() const
{
    return m_exported;
}

void SpanExporter::finished(bool isTaken)
{
    m_post.reset();
    if (isTaken) {
        m_spans.erase(m_spans.begin(), m_spans.begin() + static_cast<std::ptrdiff_t>(m_underWay));
        m_exported += m_underWay;
    }
    m_underWay = 0;
}

} // namespace Telemetry::Internal
