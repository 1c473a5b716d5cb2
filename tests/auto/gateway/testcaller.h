#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// A response as received by a caller.
struct CallerAnswer {
    bool isComplete = false; ///< the response is complete according to its framing
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> fields;

    std::string verdict() const;
};

/// A client that sends raw bytes and waits up to 20 s for each read.
class TestCaller
{
public:
    explicit TestCaller(std::uint16_t port);

    void send(std::string_view bytes);

    /// Sends a request with a Host field and `extraFields`, and reads the response.
    CallerAnswer request(std::string_view method,
                         std::string_view target,
                         std::string_view extraFields = {},
                         std::string_view body = {});
    CallerAnswer read(bool isHeadRequest = false);

    /// Returns whether the peer closes the connection without sending another byte.
    bool isClosed();
    void disconnect();

    /// Closes the connection with a TCP reset.
    void reset();

private:
    bool waitReadable();

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
};
