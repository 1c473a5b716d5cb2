#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <thread>
#include <vector>

/// A server whose answers never end: behind the body of each it sends trailers for as long as they are taken.
/// Until it is told to, it passes connections on to the server that it stands in front of.
class EndlessAnswers
{
public:
    /// Without a server behind it (port 0) it closes what it would pass on.
    explicit EndlessAnswers(std::uint16_t upstream = 0);
    EndlessAnswers(const EndlessAnswers &) = delete;
    EndlessAnswers &operator=(const EndlessAnswers &) = delete;
    ~EndlessAnswers();

    std::uint16_t port() const;
    void setUpstream(std::uint16_t port);

    /// Closes what is open, and answers without end from now on.
    void begin();

    /// Closes what is open, and passes on again.
    void end();

    /// Whether many answers were refused, or as much was sent as a test needs.
    bool isSpent() const;

    std::size_t connections() const; ///< accepted
    std::size_t answers() const; ///< begun
    std::size_t refusals() const;
    std::size_t sentBytes() const; ///< of trailers

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept();
    void serve(Socket caller);
    void passOn(Socket &caller, std::size_t phase);
    void answer(Socket &caller, std::size_t phase);

    std::atomic<std::uint16_t> m_upstream;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_phase{0}; ///< answers don't end in the odd ones
    std::atomic<bool> m_isOver{false};
    std::atomic<std::size_t> m_connections{0};
    std::atomic<std::size_t> m_answers{0};
    std::atomic<std::size_t> m_refusals{0};
    std::atomic<std::size_t> m_sentBytes{0};
    std::vector<std::thread> m_threads; ///< of the connections
    std::thread m_acceptThread;
};
