#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Takes what is posted to it, on a thread of its own, or refuses it.
class Collector
{
public:
    struct Post {
        std::string path;
        std::string contentType;
        std::string body;
    };

    Collector();
    Collector(const Collector &) = delete;
    Collector &operator=(const Collector &) = delete;
    ~Collector();

    std::uint16_t port() const;

    /// HTTP status of the answers from here on.
    void answerWith(unsigned status);
    std::vector<Post> posts() const;

private:
    void accept();

    boost::asio::io_context m_context{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<unsigned> m_status{200};
    mutable std::mutex m_mutex;
    std::vector<Post> m_posts;
    std::thread m_thread;
};

struct Answer {
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

/// One request to the loopback port, without a body.
Answer ask(std::uint16_t port, std::string_view method, const std::string &target);

/// True when `condition` comes true within 20 s.
bool eventually(const std::function<bool()> &condition);
