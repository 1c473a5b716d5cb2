#pragma once

#include "span.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace Telemetry::Internal
{

/// Posts batches of spans to a collector, one at a time; a batch that fails is kept for the next try.
class SpanExporter
{
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    SpanExporter(boost::asio::io_context &context,
                 Endpoint collector,
                 std::string instance,
                 std::size_t spansKept);
    ~SpanExporter();

    void add(Span &&span);

    /// Posts what is there unless a post is under way.
    void flush();
    std::uint64_t dropped() const;
    std::uint64_t exported() const;

private:
    class Post;
    void finished(bool isTaken);

    boost::asio::io_context &m_context;
    Endpoint m_collector;
    std::string m_instance;
    std::size_t m_spansKept;
    std::deque<Span> m_spans;
    std::size_t m_underWay = 0;
    std::shared_ptr<Post> m_post;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_exported = 0;
};

} // namespace Telemetry::Internal
