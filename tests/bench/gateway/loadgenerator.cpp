#include "loadgenerator.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Bench
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::size_t ReadBytes = 16384;
constexpr std::size_t EventsAtOnce = 256;
constexpr int WaitMilliseconds = 100;
constexpr std::string_view HeaderEnd = "\r\n\r\n";
constexpr std::string_view LengthField = "Content-Length: ";
constexpr std::string_view StatusOk = "HTTP/1.1 200 ";

[[noreturn]] void fail(const char *what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

/// A file descriptor that ends with its owner.
class Descriptor
{
public:
    explicit Descriptor(int number)
        : m_number(number)
    {
        if (number < 0) {
            fail("descriptor");
        }
    }
    Descriptor(Descriptor &&other) noexcept
        : m_number(std::exchange(other.m_number, -1))
    {
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    Descriptor &operator=(Descriptor &&) = delete;
    ~Descriptor()
    {
        if (m_number >= 0) {
            ::close(m_number);
        }
    }

    int number() const
    {
        return m_number;
    }

private:
    int m_number;
};

Descriptor connectTo(const Address &address)
{
    Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    if (::inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr) != 1) {
        fail("address");
    }
    if (::connect(socket.number(), reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        fail("connect");
    }
    const int on = 1;
    ::setsockopt(socket.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

/// The bytes of the whole answer once its header is there; 0 before that.
std::size_t answerBytes(std::string_view text)
{
    const auto end = text.find(HeaderEnd);
    if (end == std::string_view::npos) {
        return 0;
    }
    std::size_t length = 0;
    const auto field = text.substr(0, end).find(LengthField);
    if (field != std::string_view::npos) {
        const char *start = text.data() + field + LengthField.size();
        std::from_chars(start, text.data() + end, length);
    }
    return end + HeaderEnd.size() + length;
}

struct Connection {
    Descriptor socket;
    std::string received;
    Clock::time_point sentAt;
};

double threadCpuSeconds()
{
    rusage usage{};
    ::getrusage(RUSAGE_THREAD, &usage);
    const auto seconds = [](const timeval &it) {
        return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double quantile(std::vector<float> &latencies, double share)
{
    if (latencies.empty()) {
        return 0;
    }
    const auto n = static_cast<std::ptrdiff_t>(share * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + n, latencies.end());
    return latencies[static_cast<std::size_t>(n)];
}

std::vector<Connection> openConnections(const LoadPlan &plan)
{
    std::vector<Connection> connections;
    for (std::size_t n = 0; n < plan.connections; ++n) {
        connections.push_back({connectTo(plan.addresses[n % plan.addresses.size()]), {}, {}});
    }
    return connections;
}

class Load
{
public:
    explicit Load(const LoadPlan &plan)
        : m_plan(plan)
        , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
        , m_connections(openConnections(plan))
        , m_request(fmt::format("GET {} HTTP/1.1\r\nHost: bench\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n",
                                plan.path))
    {
        for (std::size_t n = 0; n < m_connections.size(); ++n) {
            epoll_event event{};
            event.events = EPOLLIN;
            event.data.u64 = n;
            ::epoll_ctl(m_epoll.number(), EPOLL_CTL_ADD, m_connections[n].socket.number(), &event);
        }
        m_latencies.reserve(plan.requests);
    }

    LoadResult run()
    {
        const double cpuBefore = threadCpuSeconds();
        const auto start = Clock::now();
        const auto end = start + m_plan.timeLimit;
        for (auto &it : m_connections) {
            send(it);
        }
        while (m_underWay > 0 && Clock::now() < end) {
            takeEvents();
        }
        m_result.seconds = std::chrono::duration<double>(Clock::now() - start).count();
        m_result.loadCpuSeconds = threadCpuSeconds() - cpuBefore;
        m_result.failed += m_underWay;
        m_result.p50 = quantile(m_latencies, 0.5);
        m_result.p99 = quantile(m_latencies, 0.99);
        m_result.p999 = quantile(m_latencies, 0.999);
        return m_result;
    }

private:
    void takeEvents()
    {
        std::array<epoll_event, EventsAtOnce> events{};
        const int n =
            ::epoll_wait(m_epoll.number(), events.data(), static_cast<int>(events.size()), WaitMilliseconds);
        for (int k = 0; k < n; ++k) {
            receive(m_connections[events[static_cast<std::size_t>(k)].data.u64]);
        }
    }

    void send(Connection &connection)
    {
        if (m_sent == m_plan.requests) {
            return;
        }
        ++m_sent;
        ++m_underWay;
        connection.sentAt = Clock::now();
        const auto n = ::send(connection.socket.number(), m_request.data(), m_request.size(), MSG_NOSIGNAL);
        if (n != static_cast<ssize_t>(m_request.size())) {
            abandon(connection);
        }
    }

    void receive(Connection &connection)
    {
        std::array<char, ReadBytes> buf{};
        const auto n = ::recv(connection.socket.number(), buf.data(), buf.size(), MSG_DONTWAIT);
        if (n <= 0) {
            if (n == 0 || errno != EAGAIN) {
                abandon(connection);
            }
            return;
        }
        connection.received.append(buf.data(), static_cast<std::size_t>(n));
        const std::size_t whole = answerBytes(connection.received);
        if (whole == 0 || connection.received.size() < whole) {
            return;
        }
        take(connection);
        send(connection);
    }

    void take(Connection &connection)
    {
        const std::chrono::duration<float, std::micro> took = Clock::now() - connection.sentAt;
        m_latencies.push_back(took.count());
        --m_underWay;
        ++(connection.received.starts_with(StatusOk) ? m_result.answered : m_result.failed);
        connection.received.clear();
    }

    // What the connection had under way is counted as failed; the others go on.
    void abandon(Connection &connection)
    {
        ::epoll_ctl(m_epoll.number(), EPOLL_CTL_DEL, connection.socket.number(), nullptr);
        if (connection.sentAt != Clock::time_point{} && m_underWay > 0) {
            --m_underWay;
            ++m_result.failed;
        }
    }

    const LoadPlan &m_plan;
    Descriptor m_epoll;
    std::vector<Connection> m_connections;
    std::string m_request;
    std::vector<float> m_latencies; // microseconds
    std::uint64_t m_sent = 0;
    std::uint64_t m_underWay = 0;
    LoadResult m_result;
};

} // namespace

double LoadResult::perSecond() const
{
    return seconds > 0 ? static_cast<double>(answered) / seconds : 0;
}

LoadResult runLoad(const LoadPlan &plan)
{
    return Load(plan).run();
}

void holdConnections(const LoadPlan &plan, std::chrono::seconds time)
{
    const auto connections = openConnections(plan);
    std::this_thread::sleep_for(time);
}

} // namespace Bench
