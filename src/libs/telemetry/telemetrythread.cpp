#include "telemetrythread.h"

#include "requestmetrics.h"
#include "spanexporter.h"

#include <base/logline.h>
#include <runtime/eventloopthread.h>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <map>
#include <optional>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace Telemetry
{

namespace
{

constexpr Base::Duration DrainPeriod = std::chrono::milliseconds{100};
constexpr std::chrono::seconds PageTimeout{10};
constexpr std::size_t PageRequestBytes = 8192;

// The parser bounds neither trailers nor the extensions of a chunk.
constexpr std::size_t PageBufferBytes = 65536;

/// One operator's connection.
class PageSession : public std::enable_shared_from_this<PageSession>
{
public:
    using Answer = std::function<Page(std::string_view method, std::string_view path)>;

    PageSession(tcp::socket socket, Answer answer)
        : m_stream(std::move(socket))
        , m_answer(std::move(answer))
    {
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(PageRequestBytes);
        m_stream.expires_after(PageTimeout);
        http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](auto ec, std::size_t) {
            if (!ec) {
                self->write();
            }
        });
    }

private:
    void write()
    {
        const auto &request = m_parser->get();
        const std::string path(request.target().substr(0, request.target().find('?')));
        Page page = m_answer(std::string(request.method_string()), path);
        m_response = {};
        m_response.result(page.status);
        m_response.set(http::field::content_type, page.contentType);
        m_response.keep_alive(request.keep_alive());
        m_response.body() = std::move(page.body);
        m_response.prepare_payload();
        http::async_write(m_stream, m_response, [self = shared_from_this()](auto ec, std::size_t) {
            if (!ec && self->m_response.keep_alive()) {
                self->read();
            }
        });
    }

    beast::tcp_stream m_stream;
    Answer m_answer;
    beast::flat_buffer m_buffer{PageBufferBytes};
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
};

} // namespace

class TelemetryThread::Private
{
public:
    Private(Runtime::EventLoopThread &eventLoop, const TelemetryLimits &limits)
        : m_eventLoop(eventLoop)
        , m_limits(limits)
        , m_acceptor(eventLoop.context(), tcp::endpoint(asio::ip::make_address(limits.address), limits.port))
    {
        if (!limits.tracesAddress.empty()) {
            const tcp::endpoint collector(asio::ip::make_address(limits.tracesAddress), limits.tracesPort);
            m_exporter.emplace(eventLoop.context(), collector, limits.instance, limits.spansKept);
        }
        m_pages["/metrics"] = [this] {
            return Page{200, "text/plain; version=0.0.4", metricsText()};
        };
    }

    void start()
    {
        m_eventLoop.timers().subscribeEvery(DrainPeriod, [this] { drain(); });
        if (m_exporter) {
            m_eventLoop.timers().subscribeEvery(m_limits.exportPeriod, [this] { m_exporter->flush(); });
        }
        accept();
    }

    Runtime::EventLoopThread &m_eventLoop;
    TelemetryLimits m_limits;
    tcp::acceptor m_acceptor;
    std::vector<EventSink *> m_sinks;
    std::map<std::string, PageMaker, std::less<>> m_pages;
    std::vector<std::function<std::string()>> m_metrics;

private:
    void drain()
    {
        for (EventSink *sink : m_sinks) {
            sink->drain([this](Event &&event) { receive(std::move(event)); });
        }
    }

    void receive(Event &&event)
    {
        if (const auto *done = std::get_if<RequestDone>(&event)) {
            m_requestMetrics.add(*done);
        } else if (auto *span = std::get_if<std::unique_ptr<Span>>(&event)) {
            keep(std::move(**span));
        }
    }

    void keep(Span &&span)
    {
        if (m_exporter) {
            m_exporter->add(std::move(span));
            return;
        }
        Base::LogLine line(Base::LogLevel::Info, "span");
        line.with("trace", hexadecimal(span.trace)).with("span", hexadecimal(span.id));
        line.with("parent", hexadecimal(span.parent)).with("name", span.name);
        line.with("duration_us", (span.end - span.start).count());
        for (const auto &it : span.attributes) {
            line.with(it.key, it.value);
        }
    }

    std::string metricsText()
    {
        drain();
        std::uint64_t dropped = 0;
        for (const EventSink *sink : m_sinks) {
            dropped += sink->dropped();
        }
        MetricsText text;
        text.family("rhubarbcrank_telemetry_dropped_total", "counter", "Events that found their ring full.");
        text.sample(static_cast<double>(dropped));
        if (m_exporter) {
            text.family("rhubarbcrank_spans_exported_total", "counter", "Spans that the collector took.");
            text.sample(static_cast<double>(m_exporter->exported()));
            text.family(
                "rhubarbcrank_spans_dropped_total", "counter", "Spans that the collector was too slow for.");
            text.sample(static_cast<double>(m_exporter->dropped()));
        }
        std::string all = m_requestMetrics.text() + text.text();
        for (const auto &it : m_metrics) {
            all += it();
        }
        return all;
    }

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (!ec) {
                std::make_shared<PageSession>(
                    std::move(socket),
                    [this](std::string_view method, std::string_view path) { return answer(method, path); })
                    ->read();
            }
            accept();
        });
    }

    Page answer(std::string_view method, std::string_view path)
    {
        if (method != "GET" && method != "HEAD") {
            return {405, "text/plain; charset=utf-8", "only GET\n"};
        }
        const auto it = m_pages.find(path);
        if (it == m_pages.end()) {
            return {404, "text/plain; charset=utf-8", "no such page\n"};
        }
        return it->second();
    }

    RequestMetrics m_requestMetrics;
    std::optional<Internal::SpanExporter> m_exporter;
};

TelemetryThread::TelemetryThread(Runtime::EventLoopThread &eventLoop, const TelemetryLimits &limits)
    : d(std::make_unique<Private>(eventLoop, limits))
{
}

TelemetryThread::~TelemetryThread() = default;

void TelemetryThread::addSink(EventSink &sink)
{
    d->m_sinks.push_back(&sink);
}

void TelemetryThread::addPage(std::string path, PageMaker maker)
{
    d->m_pages.insert_or_assign(std::move(path), std::move(maker));
}

void TelemetryThread::addMetrics(std::function<std::string()> text)
{
    d->m_metrics.push_back(std::move(text));
}

void TelemetryThread::start()
{
    d->m_eventLoop.post([this] { d->start(); });
}

std::uint16_t TelemetryThread::port() const
{
    return d->m_acceptor.local_endpoint().port();
}

} // namespace Telemetry
