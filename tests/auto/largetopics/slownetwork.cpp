#include "slownetwork.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace LargeTopics
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

constexpr Base::Duration Step = 10ms;
constexpr std::string_view PeerPath = "/configuration/";

struct Record {
    std::string key;
    std::string value;
};

std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string out(bytes, '\0');
    for (std::size_t n = 0; n < bytes; ++n) {
        out[bytes - 1 - n] = static_cast<char>(number >> (8 * n) & 0xffU);
    }
    return out;
}

std::string base64(std::string bytes)
{
    namespace iterators = boost::archive::iterators;
    using Text = iterators::base64_from_binary<iterators::transform_width<const char *, 6, 8>>;
    const std::size_t padding = (3 - bytes.size() % 3) % 3;
    bytes.append(padding, '\0');
    std::string out(Text(bytes.data()), Text(bytes.data() + bytes.size()));
    out.replace(out.size() - padding, padding, padding, '=');
    return out;
}

std::uint64_t numberIn(std::string_view target, std::string_view name)
{
    const auto at = target.find(std::string(name) + "=");
    return at == std::string_view::npos
        ? 0
        : std::stoull(std::string(target.substr(at + name.size() + 1, target.find('&', at) - at)));
}

std::string response(unsigned status, const std::string &body)
{
    return fmt::format("HTTP/1.1 {} -\r\nContent-Length: {}\r\n\r\n", status, body.size()) + body;
}

} // namespace

struct SlowNetwork::State {
    double bytesPerSecond = 0;
    double peerBytesPerSecond = std::numeric_limits<double>::infinity();
    std::vector<std::unique_ptr<Link>> links;
    std::vector<Record> records;
    std::string machines;
    std::function<std::optional<std::string>(std::uint64_t)> peerAnswer;
    std::uint64_t storeBytes = 0;
    std::uint64_t peerBytes = 0;
};

class SlowNetwork::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(SlowNetwork &network, tcp::socket socket)
        : m_network(network)
        , m_socket(std::move(socket))
    {
    }

    void readRequest()
    {
        m_request = {};
        beast::http::async_read(
            m_socket,
            m_buffer,
            m_request,
            [self = shared_from_this()](boost::system::error_code ec, std::size_t) { self->handle(ec); });
    }

    bool isSending() const
    {
        return m_isOpen && m_sent < m_out.size();
    }

    bool isOfStore() const
    {
        return m_isOfStore;
    }

    bool isOpen() const
    {
        return m_isOpen;
    }

    /// Bytes that the receiver's side has not taken over yet.
    bool hasUnsent() const
    {
        int n = 0;
        return m_isOpen && ioctl(const_cast<tcp::socket &>(m_socket).native_handle(), SIOCOUTQ, &n) == 0
            && n > 0;
    }

    std::size_t send(std::size_t most)
    {
        boost::system::error_code ec;
        const auto n = m_socket.write_some(
            asio::buffer(m_out.data() + m_sent, std::min(most, m_out.size() - m_sent)), ec);
        if (ec && ec != asio::error::would_block) {
            close();
            return 0;
        }
        m_sent += n;
        if (m_sent == m_out.size()) {
            m_out.clear();
            m_sent = 0;
            readRequest();
        }
        return n;
    }

    void close()
    {
        boost::system::error_code ec;
        m_isOpen = false;
        m_socket.close(ec);
    }

    // Answers a read that was waiting.
    void recordsAdded()
    {
        if (m_isWaiting) {
            answerTail();
        }
    }

private:
    void handle(boost::system::error_code ec)
    {
        if (ec) {
            close();
            return;
        }
        m_target = std::string(m_request.target());
        m_isOfStore = m_target.rfind(PeerPath, 0) != 0;
        watch();
        if (!m_isOfStore) {
            const auto newer = m_network.d->peerAnswer
                ? m_network.d->peerAnswer(std::stoull(m_target.substr(PeerPath.size())))
                : std::nullopt;
            m_out = newer ? response(200, *newer) : "HTTP/1.1 204 -\r\n\r\n";
            return;
        }
        if (m_target.rfind("/machines", 0) == 0) {
            m_out = response(200, m_network.d->machines);
            return;
        }
        if (m_target.rfind("/log-append", 0) == 0) {
            const std::size_t end = m_network.d->records.size();
            m_out = response(200, fmt::format(R"({{"Offset":{},"End":{}}})", end, end));
            return;
        }
        if (m_target.rfind("/log-newest", 0) == 0) {
            answerNewest();
            return;
        }
        if (numberIn(m_target, "From") < m_network.d->records.size()) {
            answerTail();
            return;
        }
        m_isWaiting = true;
        const auto number = ++m_waits;
        const auto wait = std::chrono::milliseconds(numberIn(m_target, "WaitMs"));
        m_network.timers.subscribeAfter(wait, [weak = weak_from_this(), number] {
            const auto self = weak.lock();
            if (self && self->m_isWaiting && self->m_waits == number) {
                self->answerTail();
            }
        });
    }

    // A client that gives up closes its connection. What it sends after the answer is the next request.
    void watch()
    {
        m_socket.async_wait(tcp::socket::wait_read,
                            [self = shared_from_this(), number = ++m_watches](boost::system::error_code ec) {
                                const bool isAnswered = !self->m_isWaiting && !self->isSending();
                                if (!ec && number == self->m_watches && !isAnswered) {
                                    self->close();
                                }
                            });
    }

    void answerNewest()
    {
        std::map<std::string, std::size_t> newest;
        const auto &records = m_network.d->records;
        for (std::size_t n = 0; n < records.size(); ++n) {
            newest[records[n].key] = n;
        }
        std::string items;
        for (const auto &[key, n] : newest) {
            items += fmt::format(R"({}{{"Key":"{}","Value":"{}","Offset":{}}})",
                                 items.empty() ? "" : ",",
                                 key,
                                 base64(records[n].value),
                                 n);
        }
        m_out =
            response(200, fmt::format(R"({{"items":[{}],"More":false,"End":{}}})", items, records.size()));
    }

    void answerTail()
    {
        m_isWaiting = false;
        const auto &records = m_network.d->records;
        const std::size_t limit = numberIn(m_target, "MaxSize") * 1024;
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t n = numberIn(m_target, "From"); n < records.size(); ++n) {
            const std::string record =
                std::string(1, static_cast<char>(records[n].key.size())) + records[n].key + records[n].value;
            if (body.size() > 16 && body.size() + record.size() > limit) {
                break;
            }
            body += bigEndian(record.size(), 4) + record;
        }
        m_out = response(200, body);
    }

    SlowNetwork &m_network;
    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    beast::http::request<beast::http::string_body> m_request;
    std::string m_target;
    std::string m_out;
    std::size_t m_sent = 0;
    std::uint64_t m_waits = 0;
    std::uint64_t m_watches = 0;
    bool m_isWaiting = false;
    bool m_isOfStore = true;
    bool m_isOpen = true;
};

class SlowNetwork::Link
{
public:
    Link(SlowNetwork &network, double rate)
        : bytesPerSecond(rate)
        , m_network(network)
        , m_acceptor(network.context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    std::vector<std::shared_ptr<Session>> sending() const
    {
        std::vector<std::shared_ptr<Session>> out;
        std::copy_if(sessions.begin(), sessions.end(), std::back_inserter(out), [](const auto &it) {
            return it->isSending();
        });
        return out;
    }

    const double bytesPerSecond;
    std::vector<std::shared_ptr<Session>> sessions;

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (ec) {
                return;
            }
            socket.non_blocking(true);
            sessions.erase(std::remove_if(sessions.begin(),
                                          sessions.end(),
                                          [](const auto &it) { return !it->isOpen(); }),
                           sessions.end());
            sessions.push_back(std::make_shared<Session>(m_network, std::move(socket)));
            sessions.back()->readRequest();
            accept();
        });
    }

    SlowNetwork &m_network;
    tcp::acceptor m_acceptor;
};

SlowNetwork::SlowNetwork(double bytesPerSecond)
    : timers(Base::Instant{1h})
    , d(std::make_unique<State>())
{
    d->bytesPerSecond = bytesPerSecond;
}

SlowNetwork::~SlowNetwork()
{
    for (const auto &link : d->links) {
        for (const auto &it : link->sessions) {
            it->close();
        }
    }
}

Ini::Endpoint SlowNetwork::addLink(double bytesPerSecond)
{
    d->links.push_back(std::make_unique<Link>(*this, bytesPerSecond));
    return {"127.0.0.1", d->links.back()->port()};
}

void SlowNetwork::write(const std::string &key, const std::string &value)
{
    d->records.push_back({key, value});
    for (const auto &link : d->links) {
        for (const auto &it : link->sessions) {
            it->recordsAdded();
        }
    }
}

void SlowNetwork::setPeerAnswer(std::function<std::optional<std::string>(std::uint64_t)> answer)
{
    d->peerAnswer = std::move(answer);
}

void SlowNetwork::setMachines(std::string list)
{
    d->machines = std::move(list);
}

void SlowNetwork::setPeerRate(double bytesPerSecond)
{
    d->peerBytesPerSecond = bytesPerSecond;
}

void SlowNetwork::resetTransfers()
{
    for (const auto &link : d->links) {
        for (const auto &it : link->sending()) {
            it->close();
        }
    }
}

// Sends what each answer may have in one step, and lets the receivers take all of it before time goes on.
void SlowNetwork::step()
{
    const double seconds = std::chrono::duration<double>(Step).count();
    double storeDemand = 0;
    double peerDemand = 0;
    for (const auto &link : d->links) {
        const auto sending = link->sending();
        for (const auto &it : sending) {
            (it->isOfStore() ? storeDemand : peerDemand) += link->bytesPerSecond / double(sending.size());
        }
    }
    const double storeShare = std::min(1.0, d->bytesPerSecond / std::max(storeDemand, 1.0));
    const double peerShare = std::min(1.0, d->peerBytesPerSecond / std::max(peerDemand, 1.0));
    std::vector<std::shared_ptr<Session>> senders;
    for (const auto &link : d->links) {
        const auto sending = link->sending();
        for (const auto &it : sending) {
            const double share = link->bytesPerSecond * seconds / double(sending.size())
                * (it->isOfStore() ? storeShare : peerShare);
            const std::size_t n = it->send(static_cast<std::size_t>(share) + 1);
            (it->isOfStore() ? d->storeBytes : d->peerBytes) += n;
        }
        senders.insert(senders.end(), sending.begin(), sending.end());
    }
    const auto isUnsettled = [&senders] {
        return std::any_of(senders.begin(), senders.end(), [](const auto &it) { return it->hasUnsent(); });
    };
    do {
        context.restart();
    } while (context.poll() > 0 || isUnsettled());
}

bool SlowNetwork::runUntil(const std::function<bool()> &done, Base::Duration time)
{
    const Base::Instant end = timers.now() + time;
    while (!done() && timers.now() < end) {
        timers.advanceTo(timers.now() + Step);
        step();
    }
    return done();
}

void SlowNetwork::runFor(Base::Duration time)
{
    runUntil([] { return false; }, time);
}

std::uint64_t SlowNetwork::storeBytes() const
{
    return d->storeBytes;
}

std::uint64_t SlowNetwork::peerBytes() const
{
    return d->peerBytes;
}

} // namespace LargeTopics
