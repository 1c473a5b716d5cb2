#include "endlessanswers.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <string>
#include <utility>

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace
{

constexpr std::size_t MostBytes = 96U << 20U; // of trailers, over all answers
constexpr std::size_t ManyRefusals = 48;
constexpr int PollMs = 10;
constexpr std::size_t StepBytes = 65536;

const std::string &answerHead()
{
    static const std::string Text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n";
    return Text;
}

const std::string &trailers()
{
    static const std::string Text = [] {
        const std::string trailer = "X-Trailer: " + std::string(1000, 'x') + "\r\n";
        std::string all;
        while (all.size() < StepBytes) {
            all += trailer;
        }
        return all;
    }();
    return Text;
}

bool isReady(tcp::socket &socket, short events)
{
    pollfd descriptor{socket.native_handle(), events, 0};
    return ::poll(&descriptor, 1, PollMs) > 0;
}

/// Passes on what there is; false when either side is closed.
bool passSome(tcp::socket &from, tcp::socket &to)
{
    std::array<char, StepBytes> buf{};
    ErrorCode ec;
    const std::size_t n = from.read_some(asio::buffer(buf), ec);
    if (!ec) {
        asio::write(to, asio::buffer(buf, n), ec);
    }
    return !ec;
}

/// Whether the other side still is there; drops what it sends.
bool isOpen(tcp::socket &socket)
{
    if (!isReady(socket, POLLIN)) {
        return true;
    }
    std::array<char, StepBytes> buf{};
    ErrorCode ec;
    socket.read_some(asio::buffer(buf), ec);
    return !ec;
}

} // namespace

EndlessAnswers::EndlessAnswers(std::uint16_t upstream)
    : m_upstream(upstream)
    , m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
{
    m_acceptThread = std::thread([this] { accept(); });
}

EndlessAnswers::~EndlessAnswers()
{
    m_isOver = true;
    m_acceptThread.join();
    for (std::thread &it : m_threads) {
        it.join();
    }
}

std::uint16_t EndlessAnswers::port() const
{
    return m_acceptor.local_endpoint().port();
}

void EndlessAnswers::setUpstream(std::uint16_t port)
{
    m_upstream = port;
}

void EndlessAnswers::begin()
{
    m_phase |= 1U;
}

void EndlessAnswers::end()
{
    ++m_phase;
}

bool EndlessAnswers::isSpent() const
{
    return m_refusals >= ManyRefusals || m_sentBytes >= MostBytes;
}

std::size_t EndlessAnswers::connections() const
{
    return m_connections;
}

std::size_t EndlessAnswers::answers() const
{
    return m_answers;
}

std::size_t EndlessAnswers::refusals() const
{
    return m_refusals;
}

std::size_t EndlessAnswers::sentBytes() const
{
    return m_sentBytes;
}

void EndlessAnswers::accept()
{
    while (!m_isOver) {
        pollfd descriptor{m_acceptor.native_handle(), POLLIN, 0};
        if (::poll(&descriptor, 1, PollMs) <= 0) {
            continue;
        }
        ErrorCode ec;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, ec);
        if (!ec) {
            ++m_connections;
            m_threads.emplace_back(
                [this, caller = std::move(socket)]() mutable { serve(std::move(caller)); });
        }
    }
}

void EndlessAnswers::serve(Socket caller)
{
    const std::size_t phase = m_phase;
    if (phase % 2 != 0) {
        answer(caller, phase);
    } else {
        passOn(caller, phase);
    }
}

void EndlessAnswers::passOn(Socket &caller, std::size_t phase)
{
    Socket server(m_context);
    ErrorCode ec;
    server.connect({asio::ip::make_address("127.0.0.1"), m_upstream}, ec);
    bool isPassing = !ec;
    while (isPassing && !m_isOver && m_phase == phase) {
        std::array descriptors{pollfd{caller.native_handle(), POLLIN, 0},
                               pollfd{server.native_handle(), POLLIN, 0}};
        ::poll(descriptors.data(), descriptors.size(), PollMs);
        isPassing = (descriptors[0].revents == 0 || passSome(caller, server))
            && (descriptors[1].revents == 0 || passSome(server, caller));
    }
}

// The answer begins with the first bytes of a request, and goes on until the other side closes.
void EndlessAnswers::answer(Socket &caller, std::size_t phase)
{
    const auto isOver = [&] {
        return m_isOver || m_phase != phase;
    };
    while (!isOver() && !isReady(caller, POLLIN)) {
    }
    if (isOver() || !isOpen(caller)) {
        return;
    }
    ++m_answers;
    ErrorCode ec;
    asio::write(caller, asio::buffer(answerHead()), ec);
    caller.non_blocking(true, ec);
    std::size_t next = 0; // byte of the trailers
    while (!isOver()) {
        if (m_sentBytes >= MostBytes) {
            ec = isOpen(caller) ? ErrorCode() : asio::error::eof;
        } else if (isReady(caller, POLLOUT)) {
            const auto part = asio::buffer(trailers()) + next;
            const std::size_t n = caller.send(part, MSG_NOSIGNAL, ec);
            next = (next + n) % trailers().size();
            m_sentBytes += n;
        }
        if (ec && ec != asio::error::would_block) {
            ++m_refusals;
            return;
        }
    }
}
