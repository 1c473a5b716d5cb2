#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace TargetStandin
{

/// How a request is served; taken from the request's query, else from the server's defaults.
///
/// `fault` is one of: none, error (500), refuse (503 with the verdict not-run), truncate (closes after half
/// of the body), close (closes without an answer), stall (never answers), half (half of the body, then
/// silence), garbage (no HTTP), extra (bytes after the end), eof (no length, ends with the connection),
/// slow (a byte a piece), early (answers before the request's body was read).
struct Behaviour {
    std::string fault = "none";
    std::uint32_t delay = 0; ///< milliseconds of execution
    std::uint32_t size = 64; ///< bytes of the answer's body
    bool isChunked = false;
};

/// What the server has seen since its start.
struct Counters {
    std::uint64_t executions = 0;
    std::uint64_t connections = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t mostInFlight = 0;
    std::uint32_t openConnections = 0;
    std::uint32_t mostOpenConnections = 0;
    std::map<std::string, std::uint32_t> executionsByKey; ///< by Idempotency-Key or X-Request
};

/// An HTTP/1.1 target that counts what it executes and misbehaves on request.
class TargetServer
{
public:
    TargetServer(boost::asio::io_context &context, const std::string &address, std::uint16_t port);

    void start();
    std::uint16_t port() const;
    Behaviour &defaults();
    Counters &counters();

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Behaviour m_defaults;
    Counters m_counters;
};

} // namespace TargetStandin
