#pragma once

#include "span.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Runtime
{
class EventLoopThread;
}

namespace Telemetry
{

/// An answer on the operators' port.
struct Page {
    unsigned status = 200; ///< HTTP
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

struct TelemetryLimits {
    std::string address = "127.0.0.1"; ///< IP number of the operators' port
    std::uint16_t port = 0; ///< 0: any free one
    std::string tracesAddress; ///< IP number of the collector; empty: spans are logged when sampled
    std::uint16_t tracesPort = 4318;
    std::string instance;
    Base::Duration exportPeriod = std::chrono::seconds{1};
    std::size_t spansKept = 2048; ///< while the collector can't be reached; the oldest go first
};

/// Collects events, exports spans as OTLP/HTTP JSON, and serves the operators' port.
class TelemetryThread
{
public:
    /// Makes the page for a request; called on the event loop's thread.
    using PageMaker = std::function<Page()>;

    /// Throws boost::system::system_error when the address can't be listened on.
    TelemetryThread(Runtime::EventLoopThread &eventLoop, const TelemetryLimits &limits);
    ~TelemetryThread();

    /// Events are taken from `sink`, which must outlive the thread; before start().
    void addSink(EventSink &sink);

    /// Serves GET `path`; before start(). /metrics is there from the beginning: `addMetrics` adds to it.
    void addPage(std::string path, PageMaker maker);
    void addMetrics(std::function<std::string()> text);

    void start();
    std::uint16_t port() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Telemetry
