#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <thread>

// recordingtarget FILE NAME FAULT PORT: a target that writes a line "NAME KEY MARKER" to FILE for each
// request before it acts on it, so that the record outlives it. It prints its port, any free one for 0. FAULT
// is one of
//   none   it answers, after the milliseconds that the request's query gives as delay
//   deaf   it listens, but accepts nothing
//   die    it ends itself when it has recorded a request
//   mute   it takes whatever is sent, and answers nothing
//   half   it ends itself when it has sent the first half of an answer

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using Request = http::request<http::string_body>;

namespace
{

constexpr int FileMode = 0600;
constexpr std::size_t SwallowBytes = 65536;

struct Target {
    int file = -1;
    std::string name;
    std::string fault;
    std::uint16_t port = 0;
};

std::string fieldOf(const Request &request, const char *name)
{
    const auto value = request[name];
    return value.empty() ? "-" : std::string(value);
}

void record(const Target &target, const Request &request)
{
    const std::string line =
        target.name + ' ' + fieldOf(request, "Idempotency-Key") + ' ' + fieldOf(request, "X-Request") + '\n';
    if (::write(target.file, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        std::abort();
    }
}

void pauseFor(const Request &request)
{
    const std::string url(request.target());
    const auto start = url.find("delay=");
    if (start != std::string::npos) {
        std::this_thread::sleep_for(std::chrono::milliseconds(std::atoi(url.c_str() + start + 6)));
    }
}

std::string answerTo(const Request &request)
{
    const std::string body = fieldOf(request, "X-Request") + "\nrhubarb rhubarb rhubarb\n";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void act(const Target &target, tcp::socket &socket, const Request &request)
{
    record(target, request);
    if (target.fault == "die") {
        ::raise(SIGKILL);
    }
    pauseFor(request);
    std::string text = answerTo(request);
    if (target.fault == "half") {
        text.resize(text.size() - text.size() / 4);
    }
    boost::asio::write(socket, boost::asio::buffer(text));
    if (target.fault == "half") {
        ::raise(SIGKILL);
    }
}

void swallow(tcp::socket &socket)
{
    std::array<char, SwallowBytes> buf{};
    boost::system::error_code ec;
    while (!ec) {
        socket.read_some(boost::asio::buffer(buf), ec);
    }
}

void serve(const Target &target, tcp::socket socket)
{
    if (target.fault == "mute") {
        swallow(socket);
        return;
    }
    boost::beast::flat_buffer buf;
    boost::system::error_code ec;
    while (!ec) {
        Request request;
        http::read(socket, buf, request, ec);
        if (!ec) {
            act(target, socket, request);
        }
    }
}

void serveQuietly(const Target &target, tcp::socket socket)
{
    try {
        serve(target, std::move(socket));
    } catch (const std::exception &) { // the other side is gone
    }
}

void run(const Target &target)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), target.port});
    std::printf("%d\n", acceptor.local_endpoint().port());
    std::fflush(stdout);
    while (target.fault == "deaf") {
        ::pause();
    }
    while (true) {
        tcp::socket socket(context);
        acceptor.accept(socket);
        std::thread([&target, socket = std::move(socket)]() mutable {
            serveQuietly(target, std::move(socket));
        }).detach();
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        return 2;
    }
    const Target target{::open(argv[1], O_WRONLY | O_CREAT | O_APPEND, FileMode),
                        argv[2],
                        argv[3],
                        static_cast<std::uint16_t>(std::atoi(argv[4]))};
    try {
        run(target);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "recordingtarget: %s\n", error.what());
    }
    return 1;
}
