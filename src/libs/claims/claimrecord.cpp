#include "claimrecord.h"

#include "generated/claims.pb.h"

#include <xxhash.h>

#include <utility>

namespace Claims
{

namespace
{

constexpr std::size_t ChecksumBytes = 8;
constexpr std::uint32_t HighestStatus = 999;

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
    Proto::Record &record;

    void operator()(const Claimed &event) const
    {
        auto *claimed = record.mutable_claimed();
        claimed->set_owner(event.owner);
        claimed->set_key_high(event.key.high);
        claimed->set_key_low(event.key.low);
        claimed->set_fingerprint(event.fingerprint);
    }

    void operator()(const Released &) const
    {
        record.mutable_released();
    }

    void operator()(const Completed &event) const
    {
        auto *completed = record.mutable_completed();
        completed->set_status(event.status);
        completed->set_has_answer(event.answer.has_value());
        completed->set_answer(event.answer.value_or(""));
    }

    void operator()(const Uncertain &) const
    {
        record.mutable_uncertain();
    }
};

std::optional<ClaimRecord> toRecord(Proto::Record &&record)
{
    const ClaimId id{record.claim().owner(), record.claim().sequence()};
    switch (record.event_case()) {
    case Proto::Record::kClaimed: {
        auto &claimed = *record.mutable_claimed();
        return ClaimRecord{id,
                           Claimed{std::move(*claimed.mutable_owner()),
                                   {claimed.key_high(), claimed.key_low()},
                                   claimed.fingerprint()}};
    }
    case Proto::Record::kReleased:
        return ClaimRecord{id, Released{}};
    case Proto::Record::kCompleted: {
        auto &completed = *record.mutable_completed();
        if (completed.status() > HighestStatus) {
            return std::nullopt;
        }
        Completed event{static_cast<std::uint16_t>(completed.status()), std::nullopt};
        if (completed.has_answer()) {
            event.answer = std::move(*completed.mutable_answer());
        }
        return ClaimRecord{id, std::move(event)};
    }
    case Proto::Record::kUncertain:
        return ClaimRecord{id, Uncertain{}};
    case Proto::Record::EVENT_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

std::uint64_t ownerOf(std::string_view member)
{
    return XXH3_64bits(member.data(), member.size());
}

// A claim has one record that begins it and at most one that ends it: two ids are enough.
EncodedRecord encode(const ClaimRecord &record)
{
    Proto::Record message;
    message.mutable_claim()->set_owner(record.claim.owner);
    message.mutable_claim()->set_sequence(record.claim.sequence);
    std::visit(EventWriter{message}, record.event);
    const std::string payload = message.SerializeAsString();
    std::string id = std::holds_alternative<Claimed>(record.event) ? "claim-" : "end-";
    id.append(std::to_string(record.claim.owner)).append("-").append(std::to_string(record.claim.sequence));
    return {std::move(id), checksumOf(payload).append(payload)};
}

std::optional<ClaimRecord> decode(std::string_view data)
{
    if (data.size() < ChecksumBytes) {
        return std::nullopt;
    }
    const std::string_view payload = data.substr(ChecksumBytes);
    Proto::Record message;
    if (checksumOf(payload) != data.substr(0, ChecksumBytes)
        || !message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return std::nullopt;
    }
    return toRecord(std::move(message));
}

} // namespace Claims
