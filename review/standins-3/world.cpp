#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace World
{

namespace
{

using namespace std::chrono_literals;

constexpr Ms AnswerTime = 4ms;
constexpr std::size_t MaxBody = 8U << 20U;
constexpr std::int64_t MaxHold = 10'000; // HoldMaxMs
constexpr std::int64_t MemoryKb = 266'240; // MemoryMb 260
constexpr std::size_t MostEnds = 500;

std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string out(bytes, '\0');
    for (std::size_t n = 0; n < bytes; ++n) {
        out[bytes - 1 - n] = static_cast<char>(number >> (8 * n) & 0xffU);
    }
    return out;
}

std::string base64(const std::string &bytes)
{
    static const char *const Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += n + k > bytes.size() ? '=' : Digits[group >> (6 * (3 - k)) & 63U];
        }
    }
    return out;
}

std::string unescaped(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            out += static_cast<char>(std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16));
            n += 2;
        } else {
            out += text[n];
        }
    }
    return out;
}

std::uint64_t numberIn(const Call &call, const std::string &name, std::uint64_t fallback = 0)
{
    const auto it = call.query.find(name);
    return it != call.query.end() ? std::stoull(it->second) : fallback;
}

std::string textIn(const json::object &from, json::string_view name)
{
    const json::value *found = from.if_contains(name);
    return found && found->is_string() ? std::string(found->as_string()) : std::string();
}

std::int64_t numberIn(const json::object &from, json::string_view name, std::int64_t fallback = 0)
{
    const json::value *found = from.if_contains(name);
    return found && found->is_number() ? found->to_number<std::int64_t>() : fallback;
}

Call callFrom(const http::request<http::string_body> &message)
{
    Call call;
    call.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto mark = target.find('?');
    call.path = target.substr(0, mark);
    for (std::size_t at = mark; at < target.size();) {
        const std::size_t next = std::min(target.find('&', at + 1), target.size());
        const std::string pair = target.substr(at + 1, next - at - 1);
        const auto equals = pair.find('=');
        call.query[pair.substr(0, equals)] = equals == std::string::npos
            ? std::string()
            : unescaped(std::string_view(pair).substr(equals + 1));
        at = next;
    }
    for (const auto &it : message) {
        std::string name(it.name_string());
        std::transform(
            name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        call.fields[name] = std::string(it.value());
    }
    call.body = message.body();
    return call;
}

class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, const Handler &handler)
        : m_socket(std::move(socket))
        , m_handler(handler)
    {
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(MaxBody);
        http::async_read(
            m_socket, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code ec, std::size_t) {
                if (!ec) {
                    self->handle();
                }
            });
    }

private:
    void handle()
    {
        const auto message = m_parser->release();
        // Keeps the connection open until the caller gives it up, also where the handler drops the call.
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code) {});
        m_handler(callFrom(message), [self = shared_from_this()](unsigned status, std::string body) {
            self->write(status, std::move(body));
        });
    }

    void write(unsigned status, std::string body)
    {
        m_answer = {};
        m_answer.version(11);
        m_answer.result(status);
        m_answer.set(http::field::content_type, "application/json");
        m_answer.body() = std::move(body);
        m_answer.keep_alive(true);
        m_answer.prepare_payload();
        http::async_write(m_socket, m_answer, [self = shared_from_this()](beast::error_code ec, std::size_t) {
            if (!ec) {
                self->read();
            }
        });
    }

    tcp::socket m_socket;
    const Handler &m_handler;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_answer;
};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    using Done = std::function<void(unsigned status, std::string body)>;

    Exchange(Loop &loop, Done done)
        : m_loop(loop)
        , m_socket(loop.io)
        , m_done(std::move(done))
    {
    }

    void start(const tcp::endpoint &to, http::request<http::string_body> request, Ms limit)
    {
        m_request = std::move(request);
        m_loop.after(limit, [self = shared_from_this()] { self->finish(0, {}); });
        m_socket.async_connect(to, [self = shared_from_this()](beast::error_code ec) {
            if (ec) {
                self->finish(0, {});
                return;
            }
            http::async_write(self->m_socket, self->m_request, [self](beast::error_code error, std::size_t) {
                if (error) {
                    self->finish(0, {});
                } else {
                    self->read();
                }
            });
        });
    }

private:
    void read()
    {
        http::async_read(
            m_socket, m_buffer, m_answer, [self = shared_from_this()](beast::error_code ec, std::size_t) {
                if (ec) {
                    self->finish(0, {});
                } else {
                    self->finish(self->m_answer.result_int(), self->m_answer.body());
                }
            });
    }

    void finish(unsigned status, std::string body)
    {
        if (const auto done = std::exchange(m_done, nullptr)) {
            beast::error_code ec;
            m_socket.close(ec);
            done(status, std::move(body));
        }
    }

    Loop &m_loop;
    tcp::socket m_socket;
    Done m_done;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_answer;
};

tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoul(address.substr(colon + 1)))};
}

bool canListen(const std::string &ip, std::uint16_t port)
{
    asio::io_context io;
    tcp::acceptor acceptor(io);
    boost::system::error_code ec;
    acceptor.open(tcp::v4(), ec);
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    acceptor.bind({asio::ip::make_address(ip), port}, ec);
    return !ec;
}

/// A network of loopback addresses of which nothing is in use.
std::string freeNet()
{
    std::random_device random;
    for (int n = 0; n < 100; ++n) {
        std::string net =
            "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        bool isFree = true;
        for (int k = 1; k <= 12 && isFree; ++k) {
            for (const std::uint16_t port : {9464, 8624, 8622, 7060}) {
                isFree = isFree && canListen(net + std::to_string(k), port);
            }
        }
        if (isFree) {
            return net;
        }
    }
    throw std::runtime_error("no free addresses");
}

std::int64_t memoryOf(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::stoll(line.substr(6));
        }
    }
    return 0;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

} // namespace

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void Loop::after(Ms delay, std::function<void()> call)
{
    auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([timer, call = std::move(call)](boost::system::error_code ec) {
        if (!ec) {
            call();
        }
    });
}

void Loop::every(Ms period, std::function<void()> call)
{
    after(period, [this, period, call = std::move(call)] {
        call();
        every(period, call);
    });
}

void Loop::run(const std::function<bool()> &isOver)
{
    while (!isOver()) {
        io.run_one_for(5ms);
    }
}

Record::Record(const std::string &path)
    : m_out(path)
{
}

void Record::line(const std::string &text)
{
    m_out << now() << " " << text << std::endl;
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<Ms>(Clock::now() - m_start).count();
}

HttpServer::HttpServer(Loop &loop, const std::string &ip, Handler handler)
    : m_io(loop.io)
    , m_acceptor(loop.io, tcp::endpoint(asio::ip::make_address(ip), 0))
    , m_handler(std::move(handler))
{
    accept();
}

std::string HttpServer::address() const
{
    const auto endpoint = m_acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            socket.set_option(tcp::no_delay(true), ec);
            std::make_shared<Session>(std::move(socket), m_handler)->read();
        }
        accept();
    });
}

void sendCall(Loop &loop,
              const std::string &address,
              const std::string &method,
              const std::string &target,
              const std::string &host,
              const std::string &body,
              Ms limit,
              std::function<void(unsigned status, std::string body)> done)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, host);
    request.set("Deadline-Ms", std::to_string(limit.count()));
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    request.prepare_payload();
    std::make_shared<Exchange>(loop, std::move(done))->start(endpointOf(address), std::move(request), limit);
}

Store::Store(Loop &loop, Record &record, const Limits &limits)
    : m_loop(loop)
    , m_record(record)
    , m_limits(limits)
    , m_shares(limits.parts)
{
}

std::string Store::addDoor(const std::string &ip, std::size_t machine)
{
    auto &door = m_doors[machine];
    door =
        std::make_unique<HttpServer>(m_loop, ip, [this, machine](const Call &call, const Respond &respond) {
            handle(machine, call, respond);
        });
    return door->address();
}

void Store::setDown(const std::string &topic, std::uint32_t part, bool isDown)
{
    if (isDown) {
        m_down.insert({topic, part});
    } else {
        m_down.erase({topic, part});
    }
    m_record.line("store: partition " + std::to_string(part) + " of " + topic
                  + (isDown ? " is down, calls get no answer" : " is up again"));
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    Partition &to = m_partitions[{topic, 0}];
    to.newest[key] = to.records.size();
    to.records.push_back({key, value, std::string(1, static_cast<char>(key.size())) + key + value});
    if (value.empty()) {
        to.newest.erase(key);
    }
    wake(to);
}

std::optional<std::pair<std::uint32_t, std::size_t>> Store::writerOf(const std::string &key) const
{
    const auto it = m_writers.find(key);
    return it != m_writers.end() ? std::optional(it->second) : std::nullopt;
}

void Store::later(const Respond &respond, Reply reply)
{
    m_loop.after(AnswerTime, [respond, reply = std::move(reply)] { respond(reply.first, reply.second); });
}

void Store::handle(std::size_t machine, const Call &call, const Respond &respond)
{
    const auto topic = call.query.find("Topic");
    const auto part = static_cast<std::uint32_t>(numberIn(call, "part"));
    if (topic != call.query.end() && m_down.count({topic->second, part}) > 0) {
        m_record.line("store: a call of machine " + std::to_string(machine) + " to " + call.path + " for "
                      + topic->second + " " + std::to_string(part) + " gets no answer");
        return;
    }
    if (call.path == "/log-read") {
        read(call, respond);
    } else if (call.path == "/log-newest") {
        later(respond, newest(call));
    } else if (call.path == "/log-owners") {
        later(respond, owners());
    } else if (call.path == "/log-join") {
        later(respond, join(call));
    } else if (call.path == "/log-leave") {
        later(respond, leave(call));
    } else if (call.path == "/log-append") {
        later(respond, append(call, machine));
    } else {
        later(respond, {404, "{}"});
    }
}

Store::Reply Store::append(const Call &call, std::size_t machine)
{
    const auto part = static_cast<std::uint32_t>(numberIn(call, "part"));
    Partition &to = m_partitions[{call.query.at("Topic"), part}];
    const std::uint64_t end = to.records.size();
    std::vector<Stored> added;
    if (call.body.size() > m_limits.requestBytes) {
        return {413, "{}"};
    }
    for (std::string_view rest = call.body; rest.size() >= 4;) {
        std::size_t length = 0;
        for (std::size_t n = 0; n < 4; ++n) {
            length = length << 8U | static_cast<unsigned char>(rest[n]);
        }
        if (length > m_limits.recordBytes) {
            return {413, "{}"};
        }
        const std::string raw(rest.substr(4, length));
        rest.remove_prefix(std::min(rest.size(), 4 + length));
        const std::size_t keyLength = static_cast<unsigned char>(raw.at(0));
        added.push_back({raw.substr(1, keyLength), raw.substr(1 + keyLength), raw});
    }
    if (call.query.count("At") > 0 && numberIn(call, "At") != end) {
        return {412, json::serialize(json::object{{"End", end}})};
    }
    Producer *producer = nullptr;
    const std::uint64_t sequence = numberIn(call, "Sequence");
    if (const auto name = call.query.find("Producer"); name != call.query.end()) {
        producer = &to.producers[name->second];
        const std::uint64_t epoch = numberIn(call, "epoch");
        if (epoch < producer->epoch) {
            return {409, R"({"Reason":"fenced"})"};
        }
        if (epoch > producer->epoch) {
            *producer = {epoch, call.body.empty() ? sequence : sequence - 1, {}};
        }
        if (call.body.empty()) {
            return {200, json::serialize(json::object{{"Offset", end}, {"End", end}})};
        }
        if (const auto known = producer->answers.find(sequence); known != producer->answers.end()) {
            return {200, known->second};
        }
        if (sequence != producer->sequence + 1) {
            return {409,
                    json::serialize(json::object{{"Reason", "seq"}, {"Sequence", producer->sequence + 1}})};
        }
    }
    for (Stored &it : added) {
        m_writers[it.key] = {part, machine};
        if (it.value.empty()) {
            to.newest.erase(it.key);
        } else {
            to.newest[it.key] = to.records.size();
        }
        to.records.push_back(std::move(it));
    }
    wake(to);
    const std::string body = json::serialize(json::object{{"Offset", end}, {"End", to.records.size()}});
    if (producer) {
        producer->sequence = sequence;
        producer->answers[sequence] = body;
        if (producer->answers.size() > 5) {
            producer->answers.erase(producer->answers.begin());
        }
    }
    return {200, body};
}

std::string Store::tail(const Partition &from, std::uint64_t offset, std::size_t limit) const
{
    std::string body = bigEndian(from.records.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t n = offset; n < from.records.size() && body.size() < limit; ++n) {
        body += bigEndian(from.records[n].raw.size(), 4) + from.records[n].raw;
    }
    return body;
}

void Store::read(const Call &call, const Respond &respond)
{
    Partition &from =
        m_partitions[{call.query.at("Topic"), static_cast<std::uint32_t>(numberIn(call, "part"))}];
    const std::uint64_t offset = numberIn(call, "From");
    const std::size_t limit = numberIn(call, "MaxSize", 1024) * 1024;
    const Ms wait(numberIn(call, "WaitMs"));
    if (offset < from.records.size() || wait == 0ms) {
        later(respond, {200, tail(from, offset, limit)});
        return;
    }
    const std::uint64_t id = ++m_lastWaiter;
    from.waiters.push_back({id, offset, limit, respond});
    m_loop.after(wait, [this, id, &from] {
        const auto it = std::find_if(
            from.waiters.begin(), from.waiters.end(), [id](const Waiter &waiter) { return waiter.id == id; });
        if (it != from.waiters.end()) {
            it->respond(200, tail(from, it->from, it->limit));
            from.waiters.erase(it);
        }
    });
}

void Store::wake(Partition &from)
{
    for (const Waiter &it : std::exchange(from.waiters, {})) {
        later(it.respond, {200, tail(from, it.from, it.limit)});
    }
}

Store::Reply Store::newest(const Call &call)
{
    const Partition &from =
        m_partitions[{call.query.at("Topic"), static_cast<std::uint32_t>(numberIn(call, "part"))}];
    const auto after = call.query.find("DependsOn");
    json::array items;
    std::size_t bytes = 0;
    auto it = after != call.query.end() ? from.newest.upper_bound(after->second) : from.newest.begin();
    for (; it != from.newest.end() && items.size() < 500 && bytes < (1U << 20U); ++it) {
        const std::string value = base64(from.records[it->second].value);
        bytes += value.size();
        items.push_back(json::object{{"Key", it->first}, {"Value", value}, {"Offset", it->second}});
    }
    return {200,
            json::serialize(json::object{{"items", std::move(items)},
                                         {"More", it != from.newest.end()},
                                         {"End", from.records.size()}})};
}

Store::Reply Store::join(const Call &call)
{
    expireMembers();
    const json::value parsed = json::parse(call.body);
    const json::object &from = parsed.as_object();
    const std::string name = textIn(from, "Member");
    const auto generation = static_cast<std::uint64_t>(numberIn(from, "Generation"));
    m_topic = std::string(from.at("Topics").at(0).as_string());
    const bool isNew = m_members.count(name) == 0;
    m_members[name] = {Clock::now(), Ms(numberIn(from, "TtlMs", 1000))};
    if (isNew) {
        m_record.line("store: member " + name + " joins");
        deal();
    }
    json::array parts;
    for (std::size_t n = 0; n < m_shares.size(); ++n) {
        Share &share = m_shares[n];
        if (share.holder == name && share.target != name && generation >= share.targetSince) {
            share.holder.clear();
        }
        if (share.target == name && (share.holder.empty() || share.holder == name)) {
            share.holder = name;
            parts.push_back(json::array{m_topic, n, 0});
        }
    }
    return {200, json::serialize(json::object{{"Generation", m_generation}, {"parts", std::move(parts)}})};
}

Store::Reply Store::leave(const Call &call)
{
    const json::value parsed = json::parse(call.body);
    const std::string name = textIn(parsed.as_object(), "Member");
    if (m_members.count(name) > 0) {
        m_record.line("store: member " + name + " leaves");
        removeMember(name);
        deal();
    }
    return {200, "{}"};
}

Store::Reply Store::owners()
{
    expireMembers();
    json::array rows;
    for (std::size_t n = 0; n < m_shares.size(); ++n) {
        if (!m_shares[n].holder.empty()) {
            rows.push_back(json::array{m_topic, n, m_shares[n].holder, 0});
        }
    }
    return {200, json::serialize(json::object{{"owners", std::move(rows)}})};
}

void Store::removeMember(const std::string &name)
{
    m_members.erase(name);
    for (Share &it : m_shares) {
        if (it.holder == name) {
            it.holder.clear();
        }
    }
}

void Store::expireMembers()
{
    std::vector<std::string> expired;
    for (const auto &[name, member] : m_members) {
        if (Clock::now() - member.seenAt > member.lifetime) {
            expired.push_back(name);
        }
    }
    for (const std::string &it : expired) {
        m_record.line("store: the membership of " + it + " runs out");
        removeMember(it);
    }
    if (!expired.empty()) {
        deal();
    }
}

// Evenly; members keep what they have as far as that allows.
void Store::deal()
{
    ++m_generation;
    if (m_members.empty()) {
        return;
    }
    const std::size_t most = (m_shares.size() + m_members.size() - 1) / m_members.size();
    std::map<std::string, std::size_t> counts;
    for (const auto &[name, member] : m_members) {
        counts[name] = 0;
    }
    std::vector<Share *> unassigned;
    for (Share &it : m_shares) {
        const auto target = counts.find(it.target);
        if (target != counts.end() && target->second < most) {
            ++target->second;
        } else {
            unassigned.push_back(&it);
        }
    }
    for (Share *it : unassigned) {
        const auto least = std::min_element(
            counts.begin(), counts.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        it->target = least->first;
        it->targetSince = m_generation;
        ++least->second;
    }
}

Worker::Worker(Loop &loop,
               Record &record,
               Runs &runs,
               const std::string &ip,
               std::string id,
               std::string machine,
               std::string service,
               std::string rack,
               Size capacity)
    : m_loop(loop)
    , m_record(record)
    , m_runs(runs)
    , m_id(std::move(id))
    , m_machine(std::move(machine))
    , m_service(std::move(service))
    , m_rack(std::move(rack))
    , m_capacity(capacity)
{
    m_server = std::make_unique<HttpServer>(
        m_loop, ip, [this](const Call &call, const Respond &respond) { handle(call, respond); });
    m_loop.every(10ms, [this] { tick(); });
}

std::string Worker::entry()
{
    return json::serialize(json::object{
        {"Service", m_service},
        {"Address", m_server->address()},
        {"Zone", "zone-a"},
        {"Version", "v1"},
        {"Slots", 8},
        {"State", "ready"},
        {"ColdRemainingMs", 0},
        {"Capacity", json::object{{"Cpu", m_capacity.cpu}, {"MemMb", m_capacity.mem}, {"Gpu", 0}}},
        {"Labels", json::array{"a", m_rack}},
        {"ClockMs", clock()},
        {"Machine", m_machine},
        {"born", m_born},
        {"Sequence", ++m_sequence}});
}

json::object Worker::machineRow() const
{
    return json::object{
        {"Machine", m_machine},
        {"Pool", m_service},
        {"State", "up"},
        {"Zone", "zone-a"},
        {"Labels", json::array{"a", m_rack}},
        {"Capacity", json::object{{"Cpu", m_capacity.cpu}, {"MemMb", m_capacity.mem}, {"Gpu", 0}}},
        {"Id", m_id}};
}

const std::string &Worker::id() const
{
    return m_id;
}

const std::string &Worker::service() const
{
    return m_service;
}

void Worker::setUnhealthy(bool isUnhealthy)
{
    m_isUnhealthy = isUnhealthy;
    m_record.line("worker " + m_id + (isUnhealthy ? " answers starts with 503" : " takes starts again"));
}

std::uint64_t Worker::refusedStarts() const
{
    return m_refused;
}

std::size_t Worker::running() const
{
    return m_running.size();
}

std::int64_t Worker::clock() const
{
    return 1000 + std::chrono::duration_cast<Ms>(Clock::now() - m_bornAt).count();
}

std::string Worker::plain()
{
    return json::serialize(json::object{{"ClockMs", clock()}, {"born", m_born}});
}

std::string Worker::conflict(std::string_view reason)
{
    return json::serialize(json::object{{"ClockMs", clock()}, {"born", m_born}, {"Reason", reason}});
}

void Worker::crash(std::optional<Ms> time)
{
    m_record.line("worker " + m_id + " crashes with " + std::to_string(m_running.size()) + " runs");
    m_isUp = false;
    m_polls.clear();
    for (const auto &[task, run] : std::exchange(m_running, {})) {
        run.started->endedAt = m_record.now();
        run.started->how = "crashed";
    }
    if (time) {
        m_loop.after(*time, [this] { restart(); });
    }
}

void Worker::restart()
{
    m_record.line("worker " + m_id + " starts again");
    m_isUp = true;
    m_born = unixMs();
    m_bornAt = Clock::now();
    m_token = 0;
    m_leaseEnd = 0;
    m_lastEnd = 0;
    m_sequence = 0;
    m_used = {};
    m_ended.clear();
    m_highest.clear();
}

bool Worker::isUp() const
{
    return m_isUp;
}

void Worker::handle(const Call &call, const Respond &respond)
{
    if (!m_isUp) {
        return;
    }
    const auto expected = call.fields.find("expected-instance");
    if (expected != call.fields.end() && expected->second != m_id) {
        respond(421, plain());
        return;
    }
    const json::value parsed = json::parse(call.body.empty() ? "{}" : call.body);
    const json::object &order = parsed.as_object();
    const auto token = static_cast<std::uint64_t>(numberIn(order, "FencingToken"));
    if (call.path == "/run-start" && m_isUnhealthy) {
        ++m_refused;
        respond(503, plain());
        return;
    }
    if (token < m_token) {
        respond(409, conflict("fence"));
        return;
    }
    m_token = token;
    if (call.path == "/run-start") {
        start(order, respond);
    } else if (call.path == "/run-stop") {
        stop(order, respond);
    } else if (call.path == "/hold") {
        hold(order, respond);
    } else if (call.path == "/pace") {
        respond(200, plain());
    } else {
        respond(404, plain());
    }
}

void Worker::renew(const json::object &order)
{
    if (const std::int64_t until = numberIn(order, "DeadlineMs"); until > 0) {
        m_leaseEnd = std::max(m_leaseEnd, std::min(until, clock() + MaxHold));
    }
}

void Worker::start(const json::object &order, const Respond &respond)
{
    const std::string task = textIn(order, "Task");
    const auto attempt = static_cast<std::uint32_t>(numberIn(order, "Attempt"));
    renew(order);
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.started->attempt == attempt) {
        respond(200, plain());
        return;
    }
    const auto highest = m_highest.find(task);
    if (running != m_running.end() || (highest != m_highest.end() && attempt <= highest->second)) {
        respond(409, conflict("old"));
        return;
    }
    if (numberIn(order, "DeadlineMs") <= clock()) {
        respond(409, conflict("late"));
        return;
    }
    const Size size = m_runs.sizeOf(task);
    if (m_used.cpu + size.cpu > m_capacity.cpu || m_used.mem + size.mem > m_capacity.mem) {
        respond(409, conflict("room"));
        return;
    }
    m_used.cpu += size.cpu;
    m_used.mem += size.mem;
    auto started =
        std::make_shared<Started>(Started{m_id, task, attempt, m_record.now(), -1, std::string(), false});
    m_runs.all.push_back(started);
    m_running[task] = {started, Clock::now() + m_runs.timeOf(task), size};
    m_record.line("worker " + m_id + " (" + m_service + ") starts " + task + " attempt "
                  + std::to_string(attempt));
    respond(200, plain());
}

void Worker::stop(const json::object &order, const Respond &respond)
{
    const std::string task = textIn(order, "Task");
    const auto attempt = static_cast<std::uint32_t>(numberIn(order, "Attempt"));
    std::uint32_t &highest = m_highest[task];
    highest = std::max(highest, attempt);
    const auto it = m_running.find(task);
    if (it != m_running.end() && it->second.started->attempt <= attempt) {
        end(task, "stopped");
    }
    respond(200, plain());
}

void Worker::end(const std::string &task, const std::string &how)
{
    const auto it = m_running.find(task);
    const auto started = it->second.started;
    m_used.cpu -= it->second.size.cpu;
    m_used.mem -= it->second.size.mem;
    m_running.erase(it);
    started->endedAt = m_record.now();
    started->how = how;
    std::uint32_t &highest = m_highest[task];
    highest = std::max(highest, started->attempt);
    m_ended.push_back({++m_lastEnd, started});
    m_record.line("worker " + m_id + " ends " + task + " attempt " + std::to_string(started->attempt) + " "
                  + how);
    for (const auto &poll : std::exchange(m_polls, {})) {
        poll.second(200, list());
    }
}

void Worker::tick()
{
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto &[task, run] : m_running) {
        if (clock() > m_leaseEnd) {
            ends.emplace_back(task, "lapsed");
        } else if (Clock::now() >= run.endsAt) {
            ends.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : ends) {
        end(task, how);
    }
}

std::string Worker::list()
{
    json::array running;
    for (const auto &[task, run] : m_running) {
        running.push_back(json::array{task, run.started->attempt, "", 100, run.size.cpu});
    }
    json::array ended;
    for (const Ended &it : m_ended) {
        if (ended.size() == MostEnds) {
            break;
        }
        ended.push_back(json::array{it.number, it.started->task, it.started->attempt, it.started->how, ""});
    }
    return json::serialize(json::object{{"ClockMs", clock()},
                                        {"born", m_born},
                                        {"Running", std::move(running)},
                                        {"Finished", std::move(ended)}});
}

void Worker::hold(const json::object &order, const Respond &respond)
{
    renew(order);
    const auto cursor = static_cast<std::uint64_t>(numberIn(order, "AckCursor"));
    while (!m_ended.empty() && m_ended.front().number <= cursor) {
        m_ended.front().started->isNoted = true;
        m_ended.pop_front();
    }
    const Ms wait(std::min<std::int64_t>(2000, numberIn(order, "WaitMs")));
    if (wait == 0ms || !m_ended.empty()) {
        respond(200, list());
        return;
    }
    const std::uint64_t id = ++m_lastPoll;
    m_polls[id] = respond;
    m_loop.after(wait, [this, id] {
        const auto it = m_polls.find(id);
        if (it != m_polls.end()) {
            const Respond answer = it->second;
            m_polls.erase(it);
            answer(200, list());
        }
    });
}

Members::Members(Loop &loop, Record &record, Store &store, const std::string &net, std::size_t count)
    : m_loop(loop)
    , m_record(record)
{
    m_folder = (std::filesystem::temp_directory_path() / ("review-" + std::to_string(getpid()))).string();
    std::filesystem::create_directories(m_folder);
    m_program = "target/bin/rhubarbcrank-jobs";
    if (const char *other = std::getenv("PROGRAM")) {
        m_program = other;
    }
    m_port = 8624;
    for (std::size_t n = 0; n < count; ++n) {
        Member member;
        member.ip = net + std::to_string(n + 1);
        member.zone = std::string("zone-") + "abc"[n % 3];
        member.name = "frontend-" + member.zone + "-" + std::to_string(n + 1);
        member.settings = m_folder + "/" + member.name + ".ini";
        member.store = store.addDoor(net + "100", n);
        m_members.push_back(member);
    }
}

Members::~Members()
{
    m_isEnding = true;
    for (const Member &it : m_members) {
        if (it.pid > 0) {
            kill(it.pid, SIGKILL);
            waitpid(it.pid, nullptr, 0);
        }
    }
    if (!std::getenv("KEEP")) {
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }
}

std::string Members::settingsOf(const Member &member, const std::string &machines) const
{
    std::ifstream file("platform/settings.ini.template");
    std::stringstream text;
    text << file.rdbuf();
    std::string filled = text.str();
    const std::map<std::string, std::string> fields{{"NodeName", member.name},
                                                    {"Zone", member.zone},
                                                    {"Limits.CpuShare", "0.25"},
                                                    {"Limits.CpuCores", "1"},
                                                    {"Limits.LinkMbps", "1000.0"},
                                                    {"Limits.MemoryMb", "260"},
                                                    {"Limits.MaxFds", "4100"},
                                                    {"ListenAddrs.FrontendAddr", member.ip + ":8624"},
                                                    {"ListenAddrs.ReadinessAddr", member.ip + ":8622"},
                                                    {"Ip", member.ip},
                                                    {"InternalPortRange.0", "7060"},
                                                    {"platform.Address", member.store},
                                                    {"platform.parts", "24"},
                                                    {"platform.TtlMinMs", "1000"},
                                                    {"Advice", ""},
                                                    {"CloudApi.Address", machines},
                                                    {"Bounds.LeaseMs", "3000"},
                                                    {"Bounds.MigrateS", "1.5"},
                                                    {"Bounds.MaintenanceS", "2"},
                                                    {"Bounds.HoldMaxMs", "10000"},
                                                    {"Bounds.GraceS", "6"}};
    for (const auto &[name, value] : fields) {
        std::string placeholder = "{{";
        placeholder.append(name).append("}}");
        filled = replaced(filled, placeholder, value);
    }
    return filled;
}

void Members::startAll(const std::string &machines)
{
    for (std::size_t n = 0; n < m_members.size(); ++n) {
        std::ofstream(m_members[n].settings) << settingsOf(m_members[n], machines);
        start(n);
    }
    m_loop.every(20ms, [this] { watch(); });
    m_loop.every(1000ms, [this] {
        for (std::size_t n = 0; n < m_members.size(); ++n) {
            sendCall(m_loop,
                     m_members[n].ip + ":8622",
                     "GET",
                     "/readyz",
                     "balancer",
                     {},
                     900ms,
                     [this, n](unsigned status, const std::string &) {
                         Member &member = m_members[n];
                         member.misses = status == 200 ? 0 : member.misses + 1;
                         const bool isReady = member.misses < 2;
                         if (isReady != member.isReady) {
                             m_record.line("balancer: " + member.name
                                           + (isReady ? " is in rotation" : " is out of rotation"));
                         }
                         member.isReady = isReady;
                     });
        }
    });
}

void Members::start(std::size_t n)
{
    Member &member = m_members[n];
    const std::string log = m_folder + "/" + member.name + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        for (int fd = 3; fd < 1024; ++fd) {
            close(fd);
        }
        const std::string variable = "RHUBARBCRANK_SETTINGS=" + member.settings;
        std::vector<char *> environment{const_cast<char *>(variable.c_str()), nullptr};
        std::vector<char *> arguments{m_program.data(), nullptr};
        execve(m_program.c_str(), arguments.data(), environment.data());
        _exit(127);
    }
    member.pid = pid;
    m_record.line("platform: starts " + member.name + ", process " + std::to_string(pid));
}

// As the platform does: ends what is over its memory, and starts again what has ended.
void Members::watch()
{
    for (std::size_t n = 0; n < m_members.size(); ++n) {
        Member &member = m_members[n];
        if (member.pid <= 0 || m_isEnding) {
            continue;
        }
        const std::int64_t memory = memoryOf(member.pid);
        member.mostMemory = std::max(member.mostMemory, memory);
        if (memory > MemoryKb) {
            m_record.line("platform: " + member.name + " uses " + std::to_string(memory / 1024)
                          + " MB of 260 MB and is killed");
            kill(member.pid, SIGKILL);
        }
        int status = 0;
        if (waitpid(member.pid, &status, WNOHANG) == member.pid) {
            ++member.ownEnds;
            m_record.line("platform: " + member.name + " has ended, "
                          + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                 : "status " + std::to_string(WEXITSTATUS(status)))
                          + ", for the " + std::to_string(member.ownEnds) + ". time");
            member.pid = 0;
            m_loop.after(500ms, [this, n] { start(n); });
        }
    }
}

std::string Members::frontend(std::size_t n) const
{
    return m_members.at(n).ip + ":" + std::to_string(m_port);
}

std::size_t Members::next()
{
    for (std::size_t tries = 0; tries < m_members.size(); ++tries) {
        m_next = (m_next + 1) % m_members.size();
        if (m_members[m_next].isReady) {
            break;
        }
    }
    return m_next;
}

bool Members::allReady() const
{
    return std::all_of(m_members.begin(), m_members.end(), [](const Member &it) { return it.isReady; });
}

std::size_t Members::size() const
{
    return m_members.size();
}

const Members::Member &Members::at(std::size_t n) const
{
    return m_members.at(n);
}

Deployment::Deployment(const std::string &recordPath)
    : record(recordPath)
    , net(freeNet())
    , store(loop, record, {})
    , members(loop, record, store, net, 7)
    , m_lastId(static_cast<std::uint64_t>(unixMs()) << 12U)
{
    const char *trouble = std::getenv("TROUBLE");
    hasTrouble = !trouble || std::string(trouble) != "0";
    const auto stepOf = [this](const std::string &task) -> const json::object & {
        static std::map<std::string, json::value> bodies;
        const std::string id = task.substr(0, 16);
        if (bodies.count(id) == 0) {
            bodies[id] = json::parse(jobs.at(id)->body);
        }
        const auto first = task.find('.', 17);
        const auto second = task.find('.', first + 1);
        const auto step = std::stoul(task.substr(first + 1, second - first - 1));
        return bodies[id].at("Phases").at(step).as_object();
    };
    runs.sizeOf = [stepOf](const std::string &task) {
        const json::object &step = stepOf(task);
        return Size{numberIn(step, "Cpu"), numberIn(step, "MemMb")};
    };
    runs.timeOf = [stepOf](const std::string &task) {
        const json::object &step = stepOf(task);
        return step.contains("LongRunning") ? Ms(3'600'000) : Ms(numberIn(step, "EstimateMs"));
    };
}

std::string Deployment::newId()
{
    static const char *const Digits = "0123456789abcdef";
    std::uint64_t number = ++m_lastId * 0x9e3779b97f4a7c15ULL;
    std::string id;
    for (int n = 0; n < 16; ++n, number >>= 4U) {
        id += Digits[number & 15U];
    }
    return id;
}

void Deployment::writeConfig(std::uint64_t version, const std::map<std::string, std::string> &serviceOfQueue)
{
    json::array routes;
    for (const auto &[queue, service] : serviceOfQueue) {
        routes.push_back(json::object{{"Name", "r-" + queue},
                                      {"Host", "jobs.example"},
                                      {"PathPrefix", "/" + queue + "/"},
                                      {"Kind", "non_idempotent"},
                                      {"TimeoutMs", 3000},
                                      {"TargetLatencyMs", 600},
                                      {"Priority", 0},
                                      {"Service", service},
                                      {"MaxAttempts", 4},
                                      {"SlackFactor", 1.6}});
    }
    json::array services;
    for (const char *const it : {"alpha", "beta"}) {
        services.push_back(json::object{
            {"Name", it}, {"MaxConnections", 64}, {"EnforcesCapacity", true}, {"Standby", false}});
    }
    store.put("keyed.op",
              "config",
              json::serialize(json::object{{"Version", version},
                                           {"Routes", std::move(routes)},
                                           {"Services", std::move(services)},
                                           {"Limits",
                                            json::object{{"MaxHeaderBytes", 16384},
                                                         {"MaxBodyBytes", 262144},
                                                         {"HeaderTimeoutMs", 3000},
                                                         {"IdleTimeoutMs", 15000}}}}));
    record.line("operator: writes version " + std::to_string(version) + ", acknowledged");
}

bool Deployment::begin()
{
    for (const auto &[service, count] : workersOf) {
        for (int n = 0; n < count; ++n) {
            const std::string name = service + "-" + std::to_string(n);
            workers.push_back(std::make_unique<Worker>(loop,
                                                       record,
                                                       runs,
                                                       net + "101",
                                                       "i-" + newId().substr(0, 8) + std::to_string(n),
                                                       "m-" + name,
                                                       service,
                                                       "r1-" + std::to_string(n / 4),
                                                       Size{32000, 65536}));
        }
    }
    machines = std::make_unique<
        HttpServer>(loop, net + "102", [this](const Call &call, const Respond &respond) {
        if (call.method != "GET") {
            respond(409, R"({"Reason":"busy"})");
            return;
        }
        json::array rows;
        for (const auto &it : workers) {
            rows.push_back(it->machineRow());
        }
        respond(200, json::serialize(json::object{{"Machines", std::move(rows)}, {"NextToken", nullptr}}));
    });
    const auto beat = [this] {
        for (const auto &it : workers) {
            if (it->isUp()) {
                store.put("keyed.servers", it->id(), it->entry());
            }
        }
    };
    beat();
    loop.every(1500ms, beat);
    writeConfig(7, {{"first", "alpha"}, {"other", "beta"}, {"third", "alpha"}});
    members.startAll(machines->address());
    const bool isServing = runUntil([this] { return members.allReady(); }, 15s);
    record.line(isServing ? "all daemons are in rotation" : "not all daemons are in rotation");
    runFor(4000ms);
    return isServing;
}

void Deployment::runFor(Ms time)
{
    runUntil([] { return false; }, time);
}

bool Deployment::runUntil(const std::function<bool()> &isOver, Ms limit)
{
    const auto until = Clock::now() + limit;
    loop.run([&] { return Clock::now() >= until || isOver(); });
    return isOver();
}

std::size_t Deployment::runsOf(const std::string &job) const
{
    return static_cast<std::size_t>(std::count_if(
        runs.all.begin(), runs.all.end(), [&](const auto &it) { return it->task.rfind(job, 0) == 0; }));
}

std::shared_ptr<Deployment::Job>
Deployment::submit(const std::string &queue, const json::object &body, int retries)
{
    auto job = std::make_shared<Job>();
    job->id = newId();
    job->queue = queue;
    job->body = json::serialize(body);
    job->sentAt = record.now();
    jobs[job->id] = job;
    send(job, retries);
    return job;
}

void Deployment::send(const std::shared_ptr<Job> &job, int retriesLeft)
{
    ++job->attempts;
    const std::size_t daemon = members.next();
    record.line("client: POST /" + job->queue + "/" + job->id + ", attempt " + std::to_string(job->attempts)
                + ", to " + members.at(daemon).name + ": "
                + (job->body.size() < 300 ? job->body : std::to_string(job->body.size()) + " bytes"));
    sendCall(loop,
             members.frontend(daemon),
             "POST",
             "/" + job->queue + "/" + job->id,
             "jobs.example",
             job->body,
             deadline,
             [this, job, retriesLeft](unsigned status, const std::string &) {
                 record.line("client: /" + job->queue + "/" + job->id + " -> "
                             + (status == 0 ? std::string("no answer") : std::to_string(status)));
                 const bool isRefused = status == 429 || status == 503 || status == 404 || status == 400;
                 job->isRejected = job->isRejected && isRefused;
                 job->answer = status;
                 job->answeredAt = record.now();
                 const bool mayRetry = status == 0 || status == 502 || status == 504 || status == 503;
                 if (mayRetry && retriesLeft > 0) {
                     loop.after(status == 503 ? 1000ms : 100ms,
                                [this, job, retriesLeft] { send(job, retriesLeft - 1); });
                 }
             });
}

void Deployment::get(const std::string &target,
                     std::function<void(unsigned, json::value)> done,
                     std::size_t member)
{
    sendCall(loop,
             members.frontend(member),
             "GET",
             target,
             "jobs.example",
             {},
             deadline,
             [this, target, done = std::move(done)](unsigned status, const std::string &body) {
                 record.line("client: GET " + target + " -> " + std::to_string(status) + " " + body);
                 boost::system::error_code ec;
                 json::value parsed = json::parse(body.empty() ? "{}" : body, ec);
                 done(status, std::move(parsed));
             });
}

} // namespace World
