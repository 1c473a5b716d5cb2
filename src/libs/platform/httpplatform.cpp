#include "httpplatform.h"

#include "httpclient_p.h"
#include "jsoncodec_p.h"

#include <fmt/format.h>

#include <utility>

namespace Platform
{

namespace
{

using Internal::HttpDelivery;
using Internal::HttpLane;
using Internal::HttpReply;
using Internal::HttpVerb;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Gone = 410;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned InternalServerError = 500;

bool isAnswered(const HttpReply &reply, unsigned status)
{
    return reply.delivery == HttpDelivery::Answered && reply.status == status;
}

// 429 is the one status by which a server says that it did not act (RFC 6585, section 4).
bool isProvenNotTaken(const HttpReply &reply)
{
    return reply.delivery == HttpDelivery::NotSent || isAnswered(reply, TooManyRequests);
}

bool isRefused(const HttpReply &reply)
{
    return reply.delivery == HttpDelivery::Answered && reply.status >= BadRequest
        && reply.status < InternalServerError;
}

// Names come from settings and documents; what isn't an unreserved character is escaped (RFC 3986, 2.3).
std::string escaped(std::string_view name)
{
    constexpr std::string_view Unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string text;
    for (const char it : name) {
        if (Unreserved.find(it) != std::string_view::npos) {
            text += it;
        } else {
            text += fmt::format("%{:02X}", static_cast<unsigned char>(it));
        }
    }
    return text;
}

AppendOutcome toAppendOutcome(const HttpReply &reply, std::size_t recordCount)
{
    if (isAnswered(reply, Ok)) {
        auto appended = Internal::decodeAppended(reply.body);
        if (appended && appended->offsets.size() == recordCount) {
            return std::move(*appended);
        }
        return AppendUnknown{};
    }
    if (isProvenNotTaken(reply)) {
        return AppendUnavailable{};
    }
    if (isRefused(reply)) {
        return AppendRejected{Internal::decodeReason(reply.body)};
    }
    return AppendUnknown{};
}

bool isContiguousFrom(Offset from, std::span<const LogEntry> entries)
{
    for (const LogEntry &it : entries) {
        if (it.offset != from++) {
            return false;
        }
    }
    return true;
}

ReadOutcome toReadOutcome(const HttpReply &reply, Offset from)
{
    if (isAnswered(reply, Ok)) {
        auto read = Internal::decodeEntries(reply.body);
        if (read && isContiguousFrom(from, read->entries)) {
            return std::move(*read);
        }
    }
    if (isAnswered(reply, Gone)) {
        const auto first = Internal::decodeFirst(reply.body);
        if (first && *first > from) {
            return TrimmedPast{*first};
        }
    }
    return ReadUnavailable{};
}

ActionOutcome toActionOutcome(const HttpReply &reply)
{
    if (isAnswered(reply, Ok)) {
        return ActionAccepted{};
    }
    if (isProvenNotTaken(reply)) {
        return ActionUnavailable{};
    }
    if (isRefused(reply)) {
        return ActionRejected{Internal::decodeReason(reply.body)};
    }
    return ActionUnknown{};
}

} // namespace

class HttpPlatform::Client
{
public:
    Client(boost::asio::io_context &context, Base::TimerService &timers, const HttpSettings &settings)
        : m_requestTimeout(settings.requestTimeout)
        , m_http(context, timers, settings)
    {
    }

    void get(std::string path, Internal::HttpCallback callback)
    {
        m_http.send({HttpVerb::Get, std::move(path), {}, m_requestTimeout, HttpLane::Pipelined},
                    std::move(callback));
    }

    // A long poll would hold up what is pipelined behind it.
    void poll(std::string path, Base::Duration wait, Internal::HttpCallback callback)
    {
        m_http.send({HttpVerb::Get, std::move(path), {}, m_requestTimeout + wait, HttpLane::Exclusive},
                    std::move(callback));
    }

    void post(std::string path, std::string body, Internal::HttpCallback callback)
    {
        m_http.send({HttpVerb::Post, std::move(path), std::move(body), m_requestTimeout, HttpLane::Pipelined},
                    std::move(callback));
    }

private:
    Base::Duration m_requestTimeout;
    Internal::HttpClient m_http;
};

HttpPlatform::HttpPlatform(boost::asio::io_context &context,
                           Base::TimerService &timers,
                           const HttpSettings &settings)
    : m_client(std::make_unique<Client>(context, timers, settings))
{
}

HttpPlatform::~HttpPlatform() = default;

void HttpPlatform::append(std::string_view stream,
                          std::span<const LogRecord> records,
                          AppendCallback callback)
{
    m_client->post(fmt::format("/streams/{}/records", escaped(stream)),
                   Internal::encodeAppend(records),
                   [count = records.size(), callback = std::move(callback)](const HttpReply &reply) {
                       callback(toAppendOutcome(reply, count));
                   });
}

void HttpPlatform::read(const ReadRequest &request, ReadCallback callback)
{
    std::string path = fmt::format("/streams/{}/records?from={}&max={}&wait_ms={}",
                                   escaped(request.stream),
                                   request.from,
                                   request.maxRecords,
                                   request.waitMilliseconds);
    auto onReply = [from = request.from, callback = std::move(callback)](const HttpReply &reply) {
        callback(toReadOutcome(reply, from));
    };
    if (request.waitMilliseconds == 0) {
        m_client->get(std::move(path), std::move(onReply));
    } else {
        const std::chrono::milliseconds wait(request.waitMilliseconds);
        m_client->poll(std::move(path), wait, std::move(onReply));
    }
}

void HttpPlatform::trim(std::string_view stream, Offset before, TrimCallback callback)
{
    m_client->post(fmt::format("/streams/{}/trim", escaped(stream)),
                   Internal::encodeTrim(before),
                   [callback = std::move(callback)](const HttpReply &reply) {
                       const auto first =
                           isAnswered(reply, Ok) ? Internal::decodeFirst(reply.body) : std::nullopt;
                       callback(first ? TrimOutcome(Trimmed{*first}) : TrimOutcome(TrimUnavailable{}));
                   });
}

void HttpPlatform::listInstances(ListCallback callback)
{
    m_client->get("/instances", [callback = std::move(callback)](const HttpReply &reply) {
        auto instances = isAnswered(reply, Ok) ? Internal::decodeInstances(reply.body) : std::nullopt;
        callback(instances ? ListOutcome(std::move(*instances)) : ListOutcome(ListUnavailable{}));
    });
}

void HttpPlatform::act(const InstanceAction &action, ActionCallback callback)
{
    m_client->post(
        fmt::format("/instances/{}/actions", escaped(action.instance)),
        Internal::encodeAction(action),
        [callback = std::move(callback)](const HttpReply &reply) { callback(toActionOutcome(reply)); });
}

} // namespace Platform
