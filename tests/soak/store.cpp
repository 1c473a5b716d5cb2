#include "store.h"

#include <jobs/jsonfields.h>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Soak
{

namespace
{

namespace json = boost::json;

constexpr std::uint32_t PartitionCount = 24;
constexpr double WritesPerSecond = 1200;
constexpr double ReadsPerSecond = 6000;
constexpr double JoinCost = 0.1; // calls
constexpr Base::Duration AnswerTime = 4ms;
constexpr Base::Duration AppendTime = 1ms;
constexpr Base::Duration MaxAppendQueue = 2s;
constexpr std::size_t MaxPageRecords = 500;
constexpr std::size_t MaxPageBytes = 1U << 20U;
constexpr std::size_t DefaultReadKilobytes = 1024;
constexpr std::uint64_t RepeatableAppends = 5;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;

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
    namespace iterators = boost::archive::iterators;
    using Text = iterators::base64_from_binary<iterators::transform_width<const char *, 6, 8>>;
    std::string out(Text(bytes.data()), Text(bytes.data() + bytes.size()));
    out.append((3 - bytes.size() % 3) % 3, '=');
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

Http::Response jsonResponse(unsigned status, const json::value &body)
{
    return Http::Response{
        .status = status, .fields = {{"Content-Type", "application/json"}}, .body = json::serialize(body)};
}

std::uint64_t numberIn(const std::map<std::string, std::string, std::less<>> &query,
                       std::string_view name,
                       std::uint64_t fallback = 0)
{
    const auto it = query.find(name);
    return it != query.end() ? std::stoull(it->second) : fallback;
}

} // namespace

Store::Store(boost::asio::io_context &context, Base::TimerService &timers, std::uint32_t seed)
    : m_timers(timers)
    , m_random(seed)
    , m_shares(PartitionCount)
    , m_server(
          context,
          timers,
          {"127.0.0.1", 0},
          Http::ServerLimits{.bodyLimit = 4U << 20U},
          [this](const Http::Request &request, const Http::Responder &respond) { handle(request, respond); })
{
}

std::uint16_t Store::port() const
{
    return m_server.port();
}

void Store::setFaults(const StoreFaults &faults)
{
    m_faults = faults;
    if (m_faults.outage == StoreFaults::Outage::None) {
        m_unanswered.clear();
    }
}

std::uint64_t Store::writes() const
{
    return m_writes;
}

std::uint64_t Store::reads() const
{
    return m_reads;
}

std::uint64_t Store::rejected() const
{
    return m_rejected;
}

Store::Partition &Store::partition(const std::string &topic, std::uint32_t number)
{
    return m_partitions[{topic, number}];
}

Store::Partition &Store::partition(const Query &query)
{
    return partition(query.find("Topic")->second, static_cast<std::uint32_t>(numberIn(query, "part")));
}

void Store::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    Partition &to = partition(topic, 0);
    std::string raw = std::string(1, static_cast<char>(key.size())) + key + value.value_or("");
    if (value) {
        to.newest[key] = to.records.size();
    } else {
        to.newest.erase(key);
    }
    to.records.push_back({key, value.value_or(""), std::move(raw)});
    wakeWaiters(to);
}

bool Store::takeCall(double &budget, Base::Instant &filledAt, double perSecond, double cost)
{
    const Base::Instant now = m_timers.now();
    budget = std::min(perSecond, budget + std::chrono::duration<double>(now - filledAt).count() * perSecond);
    filledAt = now;
    if (budget < cost) {
        ++m_rejected;
        return false;
    }
    budget -= cost;
    return true;
}

void Store::answerAfter(Base::Duration delay, const Http::Responder &respond, Http::Response response)
{
    const auto time = std::chrono::duration_cast<Base::Duration>(delay * m_faults.slowness);
    m_timers.subscribeAfter(time, [respond, response = std::move(response)] { respond(response); });
}

void Store::handle(const Http::Request &request, const Http::Responder &respond)
{
    switch (m_faults.outage) {
    case StoreFaults::Outage::None:
        break;
    case StoreFaults::Outage::Silent:
        m_unanswered.push_back(respond);
        return;
    case StoreFaults::Outage::Busy:
        respond(Http::Response{.status = 503});
        return;
    case StoreFaults::Outage::Reset:
        return;
    }
    const auto mark = request.target.find('?');
    const std::string path = request.target.substr(0, mark);
    Query query;
    for (std::size_t at = mark; at < request.target.size();) {
        const std::size_t next = std::min(request.target.find('&', at + 1), request.target.size());
        const std::string_view pair = std::string_view(request.target).substr(at + 1, next - at - 1);
        const auto equals = pair.find('=');
        query[std::string(pair.substr(0, equals))] =
            equals == std::string_view::npos ? std::string() : unescaped(pair.substr(equals + 1));
        at = next;
    }
    if (request.method == "GET") {
        ++m_reads;
        if (!takeCall(m_readBudget, m_readsFilledAt, ReadsPerSecond, 1)) {
            respond(Http::Response{.status = 429});
            return;
        }
        if (path == "/log-read") {
            read(query, respond);
        } else if (path == "/log-newest") {
            answerAfter(AnswerTime, respond, newest(query));
        } else {
            answerAfter(AnswerTime, respond, ownerRows());
        }
        return;
    }
    ++m_writes;
    const bool isAppend = path == "/log-append";
    if (!takeCall(m_writeBudget, m_writesFilledAt, WritesPerSecond, isAppend ? 1 : JoinCost)) {
        respond(Http::Response{.status = 429});
        return;
    }
    const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < m_faults.lostShare;
    const Http::Responder answer = isLost ? Http::Responder([](const Http::Response &) {}) : respond;
    if (isLost) {
        m_unanswered.push_back(respond);
    }
    if (isAppend) {
        if (isLost && std::uniform_real_distribution<>(0, 1)(m_random) < m_faults.lateShare) {
            const auto delay = std::uniform_int_distribution<std::int64_t>(1000, 6000)(m_random);
            m_timers.subscribeAfter(std::chrono::milliseconds(delay),
                                    [this, query, body = request.body] { appendNow(query, body); });
            return;
        }
        append(query, request.body, answer);
    } else {
        answerAfter(AnswerTime, answer, path == "/log-join" ? join(request.body) : leave(request.body));
    }
}

// Appends to a partition are carried out one at a time.
void Store::append(const Query &query, const std::string &body, const Http::Responder &respond)
{
    Partition &to = partition(query);
    const Base::Instant now = m_timers.now();
    if (to.busyUntil - now > MaxAppendQueue) {
        respond(Http::Response{.status = 503});
        return;
    }
    const auto time = std::chrono::duration_cast<Base::Duration>(AppendTime * m_faults.slowness);
    to.busyUntil = std::max(to.busyUntil, now) + time;
    m_timers.subscribeAt(to.busyUntil, [this, query, body, respond] {
        answerAfter(AnswerTime, respond, appendNow(query, body));
    });
}

Http::Response Store::appendNow(const Query &query, const std::string &body)
{
    Partition &to = partition(query);
    const std::uint64_t end = to.records.size();
    if (query.count("At") > 0 && numberIn(query, "At") != end) {
        return jsonResponse(412, json::object{{"End", end}});
    }
    Producer *producer = nullptr;
    const std::uint64_t sequence = numberIn(query, "Sequence");
    if (const auto name = query.find("Producer"); name != query.end()) {
        producer = &to.producers[name->second];
        const std::uint64_t epoch = numberIn(query, "epoch");
        if (epoch < producer->epoch) {
            return jsonResponse(409, json::object{{"Reason", "fenced"}});
        }
        if (epoch > producer->epoch) {
            *producer = {epoch, body.empty() ? sequence : sequence - 1, {}};
        }
        if (body.empty()) {
            return jsonResponse(200, json::object{{"Offset", end}, {"End", end}});
        }
        if (const auto known = producer->answers.find(sequence); known != producer->answers.end()) {
            return Http::Response{.body = known->second};
        }
        if (sequence != producer->sequence + 1) {
            return jsonResponse(409, json::object{{"Reason", "seq"}, {"Sequence", producer->sequence + 1}});
        }
    }
    for (std::string_view rest = body; rest.size() >= LengthBytes;) {
        std::size_t length = 0;
        for (std::size_t n = 0; n < LengthBytes; ++n) {
            length = length << 8U | static_cast<unsigned char>(rest[n]);
        }
        const std::string raw(rest.substr(LengthBytes, length));
        rest.remove_prefix(std::min(rest.size(), LengthBytes + length));
        const std::size_t keyLength = static_cast<unsigned char>(raw.at(0));
        std::string key = raw.substr(1, keyLength);
        std::string value = raw.substr(1 + keyLength);
        if (value.empty()) {
            to.newest.erase(key);
        } else {
            to.newest[key] = to.records.size();
        }
        to.records.push_back({std::move(key), std::move(value), raw});
    }
    wakeWaiters(to);
    Http::Response answer = jsonResponse(200, json::object{{"Offset", end}, {"End", to.records.size()}});
    if (producer) {
        producer->sequence = sequence;
        producer->answers[sequence] = answer.body;
        producer->answers.erase(sequence - RepeatableAppends);
    }
    return answer;
}

Http::Response Store::tail(const Partition &from, std::uint64_t offset, std::size_t limit) const
{
    std::string body = bigEndian(from.records.size(), OffsetBytes) + bigEndian(0, OffsetBytes);
    for (std::uint64_t n = offset; n < from.records.size() && body.size() < limit; ++n) {
        const std::string &raw = from.records[n].raw;
        body += bigEndian(raw.size(), LengthBytes) + raw;
    }
    return Http::Response{.body = std::move(body)};
}

void Store::read(const Query &query, const Http::Responder &respond)
{
    Partition &from = partition(query);
    const std::uint64_t offset = numberIn(query, "From");
    const std::size_t limit = numberIn(query, "MaxSize", DefaultReadKilobytes) * 1024;
    const auto wait = std::chrono::milliseconds(numberIn(query, "WaitMs"));
    if (offset < from.records.size() || wait == 0ms) {
        answerAfter(AnswerTime, respond, tail(from, offset, limit));
        return;
    }
    const std::uint64_t id = ++m_lastWaiter;
    from.waiters.push_back({id, offset, limit, respond});
    m_timers.subscribeAfter(wait, [this, id, &from] {
        const auto it = std::find_if(
            from.waiters.begin(), from.waiters.end(), [id](const Waiter &waiter) { return waiter.id == id; });
        if (it != from.waiters.end()) {
            it->respond(tail(from, it->from, it->limit));
            from.waiters.erase(it);
        }
    });
}

void Store::wakeWaiters(Partition &from)
{
    for (Waiter &it : std::exchange(from.waiters, {})) {
        answerAfter(AnswerTime, it.respond, tail(from, it.from, it.limit));
    }
}

Http::Response Store::newest(const Query &query)
{
    const Partition &from = partition(query);
    const auto after = query.find("DependsOn");
    json::array items;
    std::size_t bytes = 0;
    auto it = after != query.end() ? from.newest.upper_bound(after->second) : from.newest.begin();
    for (; it != from.newest.end() && items.size() < MaxPageRecords && bytes < MaxPageBytes; ++it) {
        const std::string value = base64(from.records[it->second].value);
        bytes += value.size();
        items.push_back(json::object{{"Key", it->first}, {"Value", value}, {"Offset", it->second}});
    }
    return jsonResponse(200,
                        json::object{{"items", std::move(items)},
                                     {"More", it != from.newest.end()},
                                     {"End", from.records.size()}});
}

// A partition that changes its holder is free once the earlier one has joined with the new generation, has
// left or has expired.
Http::Response Store::join(const std::string &body)
{
    expireMembers();
    const json::value parsed = json::parse(body);
    const json::object &call = parsed.as_object();
    const std::string name = Jobs::textOrEmpty(call, "Member");
    const auto generation = Jobs::numberOr<std::uint64_t>(call, "Generation", 0);
    m_groupTopic = std::string(call.at("Topics").at(0).as_string());
    const bool isNew = m_members.count(name) == 0;
    m_members[name] = {m_timers.now(),
                       std::chrono::milliseconds(Jobs::numberOr<std::int64_t>(call, "TtlMs", 1000))};
    if (isNew) {
        dealPartitions();
    }
    json::array parts;
    for (std::size_t n = 0; n < m_shares.size(); ++n) {
        Share &share = m_shares[n];
        if (share.holder == name && share.target != name && generation >= share.targetSince) {
            share.holder.clear();
        }
        if (share.target == name && (share.holder.empty() || share.holder == name)) {
            share.holder = name;
            parts.push_back(json::array{m_groupTopic, n, 0});
        }
    }
    return jsonResponse(200, json::object{{"Generation", m_generation}, {"parts", std::move(parts)}});
}

Http::Response Store::leave(const std::string &body)
{
    const json::value parsed = json::parse(body);
    const std::string name = Jobs::textOrEmpty(parsed.as_object(), "Member");
    if (m_members.count(name) > 0) {
        removeMember(name);
        dealPartitions();
    }
    return Http::Response{.body = "{}"};
}

Http::Response Store::ownerRows()
{
    expireMembers();
    json::array rows;
    for (std::size_t n = 0; n < m_shares.size(); ++n) {
        if (!m_shares[n].holder.empty()) {
            rows.push_back(json::array{m_groupTopic, n, m_shares[n].holder, 0});
        }
    }
    return jsonResponse(200, json::object{{"owners", std::move(rows)}});
}

std::vector<std::string> Store::owners() const
{
    std::vector<std::string> names;
    for (const Share &it : m_shares) {
        if (!it.holder.empty() && std::find(names.begin(), names.end(), it.holder) == names.end()) {
            names.push_back(it.holder);
        }
    }
    return names;
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
        if (m_timers.now() - member.seenAt > member.lifetime) {
            expired.push_back(name);
        }
    }
    for (const std::string &it : expired) {
        removeMember(it);
    }
    if (!expired.empty()) {
        dealPartitions();
    }
}

// Members keep what they have as far as the shares stay even.
void Store::dealPartitions()
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
    std::vector<Share *> free;
    for (Share &it : m_shares) {
        const auto target = counts.find(it.target);
        if (target != counts.end() && target->second < most) {
            ++target->second;
        } else {
            free.push_back(&it);
        }
    }
    for (Share *it : free) {
        const auto least = std::min_element(
            counts.begin(), counts.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        it->target = least->first;
        it->targetSince = m_generation;
        ++least->second;
    }
}

} // namespace Soak
