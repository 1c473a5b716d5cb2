#include "crowd.h"

#include <sys/socket.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace asio = boost::asio;

namespace
{

constexpr int ReceiveBufferBytes = 4096; // so that answers stay with their sender
constexpr std::chrono::milliseconds Pause{2};

} // namespace

Crowd::Crowd(std::uint16_t port, Attack attack)
    : m_attack(std::move(attack))
    , m_text(m_attack.opening)
{
    const std::size_t size = m_attack.opening.size() + m_attack.bytes;
    m_text.reserve(size + m_attack.repeated.size());
    while (m_text.size() < size) {
        m_text += m_attack.repeated;
    }
    m_text.resize(size);
    for (std::size_t n = 0; n < m_attack.connections; ++n) {
        Member member{asio::ip::tcp::socket(m_context)};
        member.socket.open(asio::ip::tcp::v4());
        member.socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
        boost::system::error_code ec;
        member.socket.connect({asio::ip::make_address("127.0.0.1"), port}, ec);
        member.socket.non_blocking(true, ec);
        member.isDone = ec.failed();
        m_members.push_back(std::move(member));
    }
}

void Crowd::send(std::chrono::milliseconds bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (std::chrono::steady_clock::now() < end) {
        bool hasSent = false;
        bool isDone = true;
        for (Member &it : m_members) {
            hasSent = sendSome(it) || hasSent;
            isDone = isDone && it.isDone;
        }
        if (isDone) {
            return;
        }
        if (!hasSent) {
            std::this_thread::sleep_for(Pause);
        }
    }
}

std::size_t Crowd::sentBytes() const
{
    std::size_t bytes = 0;
    for (const Member &it : m_members) {
        bytes += it.sent;
    }
    return bytes;
}

bool Crowd::sendSome(Member &member)
{
    if (member.isDone) {
        return false;
    }
    boost::system::error_code ec;
    const std::size_t size = std::min(m_attack.step, m_text.size() - member.sent);
    const std::size_t n =
        member.socket.send(asio::buffer(m_text.data() + member.sent, size), MSG_NOSIGNAL, ec);
    member.sent += n;
    member.isDone = (ec && ec != asio::error::would_block) || member.sent == m_text.size();
    return n > 0;
}
