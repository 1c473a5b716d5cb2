#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// What each connection of a crowd sends.
struct Attack {
    std::size_t connections = 0;
    std::string opening;
    std::string repeated{}; ///< sent again and again after the opening
    std::size_t bytes = 0; ///< of what is repeated, by each connection
    std::size_t step = 65536; ///< bytes that a connection sends in its turn
};

/// Connections that send what an attack says, in turns, and read nothing. They stay open until the crowd
/// ends.
class Crowd
{
public:
    Crowd(std::uint16_t port, Attack attack);

    /// Sends until everything is sent or refused, but no longer than `bound`.
    void send(std::chrono::milliseconds bound = std::chrono::seconds(8));

    /// Bytes that the other side's system has taken.
    std::size_t sentBytes() const;

private:
    struct Member {
        boost::asio::ip::tcp::socket socket;
        std::size_t sent = 0;
        bool isDone = false;
    };

    bool sendSome(Member &member);

    Attack m_attack;
    std::string m_text; ///< the opening and enough of what is repeated
    boost::asio::io_context m_context;
    std::vector<Member> m_members;
};
