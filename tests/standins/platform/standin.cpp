#include "standin.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace PlatformStandin
{

namespace
{

namespace Json = boost::json;

constexpr std::size_t DefaultReadCount = 1000;

std::optional<Json::object> parseObject(std::string_view body)
{
    Json::error_code ec;
    auto value = Json::parse({body.data(), body.size()}, ec);
    return !ec && value.is_object() ? std::optional(value.get_object()) : std::nullopt;
}

std::string textAt(const Json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value && value->is_string() ? std::string(value->get_string().c_str()) : std::string();
}

std::uint64_t numberAt(const Json::object &object, std::string_view key)
{
    Json::error_code ec;
    const auto *value = object.if_contains({key.data(), key.size()});
    return value ? value->to_number<std::uint64_t>(ec) : 0;
}

std::uint64_t queryNumber(std::string_view query, std::string_view key, std::uint64_t fallback)
{
    const std::string wanted = fmt::format("{}=", key);
    while (!query.empty()) {
        const auto cut = query.find('&');
        const std::string_view part = query.substr(0, cut);
        query = cut == std::string_view::npos ? std::string_view() : query.substr(cut + 1);
        if (part.substr(0, wanted.size()) == wanted) {
            const std::string_view text = part.substr(wanted.size());
            std::from_chars(text.data(), text.data() + text.size(), fallback);
            return fallback;
        }
    }
    return fallback;
}

bool consume(std::string_view &path, std::string_view prefix)
{
    if (path.substr(0, prefix.size()) != prefix) {
        return false;
    }
    path.remove_prefix(prefix.size());
    return true;
}

std::optional<std::vector<Record>> parseRecords(std::string_view body)
{
    const auto object = parseObject(body);
    const auto *value = object ? object->if_contains("records") : nullptr;
    if (!value || !value->is_array()) {
        return std::nullopt;
    }
    std::vector<Record> records;
    for (const auto &it : value->get_array()) {
        if (!it.is_object()) {
            return std::nullopt;
        }
        records.push_back({textAt(it.get_object(), "id"), textAt(it.get_object(), "data")});
    }
    return records;
}

Reply refusal(unsigned status, std::string_view reason)
{
    return {status, fmt::format(R"({{"reason":"{}"}})", reason), Delivery::Once};
}

} // namespace

Standin::Standin(boost::asio::io_context &context, const Settings &settings)
    : m_context(context)
    , m_rebootTime(settings.rebootTime)
    , m_log(settings.retention)
    , m_server(context, settings.port, [this](Request request, ReplyCallback reply) {
        handle(std::move(request), std::move(reply));
    })
{
}

std::uint16_t Standin::port() const
{
    return m_server.port();
}

void Standin::setFaults(const Faults &faults)
{
    m_faults = faults;
}

const Counters &Standin::counters() const
{
    return m_counters;
}

void Standin::setInstances(std::string json, std::chrono::milliseconds lag)
{
    after(lag, [this, json = std::move(json)] {
        if (!m_faults.hasStaleList) {
            m_instances = json;
        }
    });
}

void Standin::silenceOpenConnections()
{
    m_server.silenceOpenConnections();
}

void Standin::handle(Request request, ReplyCallback reply)
{
    if (request.target.starts_with("/control/")) {
        handleControl(request, reply);
        return;
    }
    if (m_faults.isSilent) {
        m_unanswered.push_back(std::move(reply)); // keeps its connection open
        return;
    }
    if (m_faults.isOut) {
        reply(refusal(503, "out"));
        return;
    }
    if (m_faults.slowMs > 0) {
        after(std::chrono::milliseconds(m_faults.slowMs),
              [this, request = std::move(request), reply = std::move(reply)] { dispatch(request, reply); });
        return;
    }
    dispatch(request, reply);
}

void Standin::handleControl(const Request &request, const ReplyCallback &reply)
{
    if (request.target == "/control/counters") {
        reply({200, countersJson()});
    } else if (request.target == "/control/actions") {
        reply({200, fmt::format(R"({{"actions":[{}]}})", fmt::join(m_actions, ","))});
    } else if (request.target == "/control/instances" && request.isPost) {
        controlInstances(request, reply);
    } else if (request.target == "/control/silence" && request.isPost) {
        reply({200, "{}"});
        silenceOpenConnections();
    } else if (request.target == "/control/faults" && request.isPost) {
        const auto faults = parseFaults(request.body);
        setFaults(faults.value_or(m_faults));
        reply(faults ? Reply{200, "{}"} : refusal(400, "no such fault"));
    } else {
        reply(refusal(404, "no such control"));
    }
}

void Standin::dispatch(const Request &request, const ReplyCallback &reply)
{
    std::string_view path = request.target;
    if (path == "/instances") {
        list(reply);
    } else if (consume(path, "/instances/") && path.ends_with("/actions") && request.isPost) {
        act(std::string(path.substr(0, path.find('/'))), request, reply);
    } else if (consume(path, "/streams/")) {
        dispatchStream(request, path, reply);
    } else {
        reply(refusal(404, "no such resource"));
    }
}

void Standin::dispatchStream(const Request &request, std::string_view path, const ReplyCallback &reply)
{
    const auto cut = path.find('/');
    const std::string stream(path.substr(0, cut));
    path.remove_prefix(std::min(cut, path.size()));
    if (path == "/records" && request.isPost) {
        append(stream, request, reply);
    } else if (consume(path, "/records?")) {
        read(stream, path, reply);
    } else if (path == "/trim" && request.isPost) {
        trim(stream, request, reply);
    } else {
        reply(refusal(404, "no such resource"));
    }
}

void Standin::append(const std::string &stream, const Request &request, const ReplyCallback &reply)
{
    auto records = parseRecords(request.body);
    if (!records) {
        reply(refusal(400, "no records"));
        return;
    }
    if (isOverLimit()) {
        ++m_counters.limited;
        reply(refusal(429, "too many appends"));
        return;
    }
    ++m_counters.appends;
    m_counters.records += records->size();
    m_counters.bytes += request.body.size();
    const auto apply = [this, stream, records = std::move(*records)] {
        auto offsets = m_log.append(stream, records, m_faults.duplicatesAppends);
        wakeWaiters(stream);
        return offsets;
    };
    if (losesNextAnswer()) {
        reply({0, {}, Delivery::Dropped});
        after(std::chrono::milliseconds(m_faults.lateMs), apply);
        return;
    }
    answer({200, fmt::format(R"({{"offsets":[{}]}})", fmt::join(apply(), ","))}, reply);
}

void Standin::read(const std::string &stream, std::string_view query, const ReplyCallback &reply)
{
    ++m_counters.reads;
    const Stream &source = m_log.stream(stream);
    const std::uint64_t from = queryNumber(query, "from", 1);
    const std::size_t count = queryNumber(query, "max", DefaultReadCount);
    const std::uint64_t wait = queryNumber(query, "wait_ms", 0);
    if (from < source.first() || (m_faults.isTrimmedPast && from < source.end())) {
        const std::uint64_t first = m_faults.isTrimmedPast ? source.end() : source.first();
        reply({410, fmt::format(R"({{"first":{}}})", first)});
        return;
    }
    if (from < source.end() || wait == 0) {
        answerRead(stream, from, count, reply);
        return;
    }
    Waiter &waiter = m_waiters.emplace_back(
        Waiter{stream, from, count, reply, std::make_unique<boost::asio::steady_timer>(m_context)});
    waiter.timer->expires_after(std::chrono::milliseconds(wait));
    waiter.timer->async_wait([this, it = std::prev(m_waiters.end())](boost::system::error_code ec) {
        if (!ec) {
            const Waiter expired = std::move(*it);
            m_waiters.erase(it);
            answerRead(expired.stream, expired.from, expired.count, expired.reply);
        }
    });
}

void Standin::answerRead(const std::string &stream,
                         std::uint64_t from,
                         std::size_t count,
                         const ReplyCallback &reply)
{
    const Stream &source = m_log.stream(stream);
    Reply found{200,
                fmt::format(R"({{"first":{},"end":{},"records":[{}]}})",
                            source.first(),
                            source.end(),
                            fmt::join(source.read(from, count), ","))};
    m_counters.readBytes += found.body.size();
    answer(std::move(found), reply);
}

// A waiter whose timer has expired already, but not been handled, is left to its timer.
void Standin::wakeWaiters(const std::string &stream)
{
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        if (it->stream != stream || it->timer->cancel() == 0) {
            ++it;
            continue;
        }
        const Waiter waiter = std::move(*it);
        it = m_waiters.erase(it);
        answerRead(waiter.stream, waiter.from, waiter.count, waiter.reply);
    }
}

void Standin::trim(const std::string &stream, const Request &request, const ReplyCallback &reply)
{
    const auto object = parseObject(request.body);
    if (!object) {
        reply(refusal(400, "no offset"));
        return;
    }
    Stream &target = m_log.stream(stream);
    target.trim(numberAt(*object, "before"));
    answerEffect({200, fmt::format(R"({{"first":{}}})", target.first())}, reply);
}

void Standin::list(const ReplyCallback &reply)
{
    ++m_counters.lists;
    reply({200, fmt::format(R"({{"instances":{}}})", listedInstances())});
}

void Standin::act(const std::string &instance, const Request &request, const ReplyCallback &reply)
{
    const auto object = parseObject(request.body);
    const std::string id = object ? textAt(*object, "id") : std::string();
    if (id.empty()) {
        reply(refusal(400, "no action id"));
        return;
    }
    ++m_counters.actions;
    if (std::find(m_actionIds.begin(), m_actionIds.end(), id) == m_actionIds.end()) {
        m_actionIds.push_back(id);
        m_actions.push_back(Json::serialize(
            Json::object{{"id", id}, {"kind", textAt(*object, "kind")}, {"instance", instance}}));
        if (textAt(*object, "kind") == "reboot") {
            reboot(instance);
        }
    }
    answerEffect({200, "{}"}, reply);
}

void Standin::reboot(const std::string &instance)
{
    m_rebooting.insert(instance);
    after(m_rebootTime, [this, instance] { m_rebooting.erase(instance); });
}

// A rebooting instance is listed as gone, whatever else was set for it.
std::string Standin::listedInstances() const
{
    Json::array listed;
    const Json::value all = Json::parse(m_instances);
    for (const auto &it : all.as_array()) {
        const auto *name = it.is_object() ? it.as_object().if_contains("name") : nullptr;
        if (!name || !name->is_string() || !m_rebooting.contains(std::string(name->as_string()))) {
            listed.push_back(it);
        }
    }
    for (const auto &it : m_rebooting) {
        listed.push_back(Json::object{{"name", it}, {"kind", "target"}, {"state", "gone"}});
    }
    return Json::serialize(listed);
}

void Standin::controlInstances(const Request &request, const ReplyCallback &reply)
{
    const auto object = parseObject(request.body);
    const auto *instances = object ? object->if_contains("instances") : nullptr;
    if (!instances || !instances->is_array()) {
        reply(refusal(400, "no instances"));
        return;
    }
    setInstances(Json::serialize(*instances), std::chrono::milliseconds(numberAt(*object, "lag_ms")));
    reply({200, "{}"});
}

void Standin::answer(Reply answer, const ReplyCallback &reply)
{
    answer.delivery = m_faults.repeatsAnswers ? Delivery::Twice : Delivery::Once;
    reply(std::move(answer));
}

void Standin::answerEffect(Reply effect, const ReplyCallback &reply)
{
    if (losesNextAnswer()) {
        reply({0, {}, Delivery::Dropped});
    } else {
        answer(std::move(effect), reply);
    }
}

bool Standin::losesNextAnswer()
{
    const bool isLost = m_faults.loseEvery > 0 && ++m_effects % m_faults.loseEvery == 0;
    m_counters.lost += isLost ? 1 : 0;
    return isLost;
}

bool Standin::isOverLimit()
{
    const auto now = Clock::now();
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_appendsThisSecond = 0;
    }
    return m_faults.maxAppendsPerSecond > 0 && m_appendsThisSecond++ >= m_faults.maxAppendsPerSecond;
}

void Standin::after(std::chrono::milliseconds delay, std::function<void()> callback)
{
    if (delay.count() == 0) {
        callback();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, callback = std::move(callback)](boost::system::error_code ec) {
        if (!ec) {
            callback();
        }
    });
}

std::string Standin::countersJson() const
{
    return Json::serialize(Json::object{{"appends", m_counters.appends},
                                        {"records", m_counters.records},
                                        {"bytes", m_counters.bytes},
                                        {"reads", m_counters.reads},
                                        {"read_bytes", m_counters.readBytes},
                                        {"lists", m_counters.lists},
                                        {"actions", m_counters.actions},
                                        {"limited", m_counters.limited},
                                        {"lost", m_counters.lost}});
}

} // namespace PlatformStandin
