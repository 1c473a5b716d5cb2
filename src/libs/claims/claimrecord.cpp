#include "claimrecord.h"

#include "generated/claims.pb.h"

#include <xxhash.h>

#include <utility>

namespace Claims
{

namespace
{

constexpr std::size_t ChecksumBytes = 8;
constexpr std::uint32_t MaxHttpStatus = 999;

std::string checksumOf(std::string_view payload)
{
    std::uint64_t hash = XXH3_64bits(payload.data(), payload.size());
    std::string bytes;
    for (std::size_t n = 0; n < ChecksumBytes; ++n) {
        bytes += static_cast<char>(hash & 0xff);
        hash >>= 8;
    }
    return bytes;
}

struct EventWriter {
    Proto::Event &message;

    void operator()(const Claimed &kind) const
    {
        auto *claimed = message.mutable_claimed();
        claimed->set_key_high(kind.key.high);
        claimed->set_key_low(kind.key.low);
        claimed->set_fingerprint(kind.fingerprint);
    }

    void operator()(const Released &) const
    {
        message.mutable_released();
    }

    void operator()(const Completed &kind) const
    {
        auto *completed = message.mutable_completed();
        completed->set_status(kind.status);
        completed->set_has_answer(kind.answer.has_value());
        completed->set_answer(kind.answer.value_or(""));
    }

    void operator()(const Uncertain &) const
    {
        message.mutable_uncertain();
    }
};

std::optional<ClaimEvent> toEvent(const ClaimId &id, Proto::Event &message)
{
    switch (message.kind_case()) {
    case Proto::Event::kClaimed: {
        const auto &claimed = message.claimed();
        return ClaimEvent{id, Claimed{{claimed.key_high(), claimed.key_low()}, claimed.fingerprint()}};
    }
    case Proto::Event::kReleased:
        return ClaimEvent{id, Released{}};
    case Proto::Event::kCompleted: {
        auto &completed = *message.mutable_completed();
        if (completed.status() > MaxHttpStatus) {
            return std::nullopt;
        }
        Completed kind{static_cast<std::uint16_t>(completed.status()), std::nullopt};
        if (completed.has_answer()) {
            kind.answer = std::move(*completed.mutable_answer());
        }
        return ClaimEvent{id, std::move(kind)};
    }
    case Proto::Event::kUncertain:
        return ClaimEvent{id, Uncertain{}};
    case Proto::Event::KIND_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

std::uint64_t ownerOf(std::string_view member)
{
    return XXH3_64bits(member.data(), member.size());
}

bool opensClaim(const ClaimEvent &event)
{
    return std::holds_alternative<Claimed>(event.kind);
}

std::string encode(std::string_view member, std::span<const ClaimEvent> events)
{
    Proto::Batch batch;
    batch.set_member(std::string(member));
    for (const ClaimEvent &it : events) {
        Proto::Event *message = batch.add_events();
        message->set_sequence(it.claim.sequence);
        std::visit(EventWriter{*message}, it.kind);
    }
    const std::string payload = batch.SerializeAsString();
    return checksumOf(payload).append(payload);
}

std::optional<std::vector<ClaimEvent>> decode(std::string_view data)
{
    if (data.size() < ChecksumBytes) {
        return std::nullopt;
    }
    const std::string_view payload = data.substr(ChecksumBytes);
    Proto::Batch batch;
    if (checksumOf(payload) != data.substr(0, ChecksumBytes)
        || !batch.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return std::nullopt;
    }
    const std::uint64_t owner = ownerOf(batch.member());
    std::vector<ClaimEvent> events;
    for (Proto::Event &it : *batch.mutable_events()) {
        auto event = toEvent({owner, it.sequence()}, it);
        if (!event) {
            return std::nullopt;
        }
        events.push_back(std::move(*event));
    }
    return events;
}

} // namespace Claims
