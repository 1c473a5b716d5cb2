#include "jsoncodec_p.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <array>
#include <utility>

namespace Platform::Internal
{

namespace
{

namespace Json = boost::json;
namespace Base64 = boost::beast::detail::base64;

constexpr std::size_t MaxReasonBytes = 200;

std::string toBase64(std::string_view data)
{
    std::string text(Base64::encoded_size(data.size()), '\0');
    text.resize(Base64::encode(text.data(), data.data(), data.size()));
    return text;
}

// The decoder stops at the first character that is none of base64's: only padding may be left over.
std::optional<std::string> fromBase64(std::string_view text)
{
    std::string data(Base64::decoded_size(text.size()), '\0');
    const auto [written, consumed] = Base64::decode(data.data(), text.data(), text.size());
    const std::string_view rest = text.substr(consumed);
    if (text.size() % 4 != 0 || rest.size() > 2 || rest.find_first_not_of('=') != std::string_view::npos) {
        return std::nullopt;
    }
    data.resize(written);
    return data;
}

std::optional<Json::object> parseObject(std::string_view body)
{
    Json::error_code ec;
    Json::value value = Json::parse({body.data(), body.size()}, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::optional<std::uint64_t> toNumber(const Json::value &value)
{
    Json::error_code ec;
    const auto number = value.to_number<std::uint64_t>(ec);
    return ec ? std::nullopt : std::optional(number);
}

std::optional<std::uint64_t> numberAt(const Json::object &object, std::string_view key)
{
    const Json::value *value = object.if_contains({key.data(), key.size()});
    return value && value->is_number() ? toNumber(*value) : std::nullopt;
}

std::optional<std::string> textAt(const Json::object &object, std::string_view key)
{
    const Json::value *value = object.if_contains({key.data(), key.size()});
    if (!value || !value->is_string()) {
        return std::nullopt;
    }
    return std::string(value->get_string().data(), value->get_string().size());
}

const Json::array *arrayAt(const Json::object &object, std::string_view key)
{
    const Json::value *value = object.if_contains({key.data(), key.size()});
    return value ? value->if_array() : nullptr;
}

std::optional<LogEntry> toEntry(const Json::value &value)
{
    const Json::object *object = value.if_object();
    if (!object) {
        return std::nullopt;
    }
    const auto offset = numberAt(*object, "offset");
    auto id = textAt(*object, "id");
    const auto text = textAt(*object, "data");
    auto data = text ? fromBase64(*text) : std::nullopt;
    if (!offset || !id || !data) {
        return std::nullopt;
    }
    return LogEntry{*offset, std::move(*id), std::move(*data)};
}

std::optional<InstanceKind> toKind(std::string_view text)
{
    if (text == "entry") {
        return InstanceKind::Entry;
    }
    return text == "target" ? std::optional(InstanceKind::Target) : std::nullopt;
}

std::optional<InstanceState> toState(std::string_view text)
{
    if (text == "live") {
        return InstanceState::Live;
    }
    if (text == "leaving") {
        return InstanceState::Leaving;
    }
    return text == "gone" ? std::optional(InstanceState::Gone) : std::nullopt;
}

std::optional<ListedInstance> toInstance(const Json::value &value)
{
    const Json::object *object = value.if_object();
    if (!object) {
        return std::nullopt;
    }
    auto name = textAt(*object, "name");
    const auto kind = toKind(textAt(*object, "kind").value_or(""));
    const auto state = toState(textAt(*object, "state").value_or(""));
    if (!name || !kind || !state) {
        return std::nullopt;
    }
    ListedInstance instance;
    instance.name = std::move(*name);
    instance.kind = *kind;
    instance.state = *state;
    instance.zone = textAt(*object, "zone").value_or("");
    instance.rack = textAt(*object, "rack").value_or("");
    instance.callersAddress = textAt(*object, "callers").value_or("");
    instance.operatorsAddress = textAt(*object, "operators").value_or("");
    instance.peersAddress = textAt(*object, "peers").value_or("");
    return instance;
}

} // namespace

std::string toString(ActionKind kind)
{
    constexpr std::array<const char *, 5> Names = {"drain", "reboot", "checkpoint", "throttle", "stop"};
    return Names.at(static_cast<std::size_t>(kind));
}

std::string encodeAppend(std::span<const LogRecord> records)
{
    Json::array array;
    array.reserve(records.size());
    for (const LogRecord &it : records) {
        array.push_back({{"id", it.id}, {"data", toBase64(it.data)}});
    }
    return Json::serialize(Json::object{{"records", std::move(array)}});
}

std::string encodeTrim(Offset before)
{
    return Json::serialize(Json::object{{"before", before}});
}

std::string encodeAction(const InstanceAction &action)
{
    return Json::serialize(Json::object{{"id", action.actionId}, {"kind", toString(action.kind)}});
}

std::optional<Appended> decodeAppended(std::string_view body)
{
    const auto object = parseObject(body);
    const Json::array *array = object ? arrayAt(*object, "offsets") : nullptr;
    if (!array) {
        return std::nullopt;
    }
    Appended appended;
    for (const Json::value &it : *array) {
        const auto offset = toNumber(it);
        if (!offset) {
            return std::nullopt;
        }
        appended.offsets.push_back(*offset);
    }
    return appended;
}

std::optional<ReadEntries> decodeEntries(std::string_view body)
{
    const auto object = parseObject(body);
    const Json::array *array = object ? arrayAt(*object, "records") : nullptr;
    const auto first = object ? numberAt(*object, "first") : std::nullopt;
    const auto end = object ? numberAt(*object, "end") : std::nullopt;
    if (!array || !first || !end) {
        return std::nullopt;
    }
    ReadEntries read{{}, *first, *end};
    read.entries.reserve(array->size());
    for (const Json::value &it : *array) {
        auto entry = toEntry(it);
        if (!entry) {
            return std::nullopt;
        }
        read.entries.push_back(std::move(*entry));
    }
    return read;
}

std::optional<Offset> decodeFirst(std::string_view body)
{
    const auto object = parseObject(body);
    return object ? numberAt(*object, "first") : std::nullopt;
}

std::optional<std::vector<ListedInstance>> decodeInstances(std::string_view body)
{
    const auto object = parseObject(body);
    const Json::array *array = object ? arrayAt(*object, "instances") : nullptr;
    if (!array) {
        return std::nullopt;
    }
    std::vector<ListedInstance> instances;
    for (const Json::value &it : *array) {
        auto instance = toInstance(it);
        if (!instance) {
            return std::nullopt;
        }
        instances.push_back(std::move(*instance));
    }
    return instances;
}

std::string decodeReason(std::string_view body)
{
    const auto object = parseObject(body);
    const auto reason = object ? textAt(*object, "reason") : std::nullopt;
    return reason.value_or(std::string(body)).substr(0, MaxReasonBytes);
}

} // namespace Platform::Internal
