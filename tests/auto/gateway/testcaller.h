#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// What a caller got on its connection.
struct CallerAnswer {
    bool isComplete = false; ///< a complete response by its own framing
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> fields;

    std::string verdict() const;
};

/// A caller that sends raw bytes and waits, with a generous bound, for what comes back.
class TestCaller
{
public:
    explicit TestCaller(std::uint16_t port);

    void send(std::string_view bytes);

    /// Sends a request with a marker, an X-Request field, and reads the answer.
    CallerAnswer request(std::string_view method,
                         std::string_view target,
                         std::string_view extraFields = {},
                         std::string_view body = {});
    CallerAnswer read(bool isHeadRequest = false);

    /// True when the other side closes the connection without another byte.
    bool isClosed();
    void disconnect();

    /// Closes with a reset.
    void reset();

private:
    bool waitReadable();

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
};
