#include "codec.h"

#include "decoder_p.h"
#include "encoder_p.h"
#include "generated/record.pb.h"

#include <xxhash.h>

#include <utility>

namespace Record
{

namespace
{

std::uint64_t checksumOf(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace

std::string encode(const Fleet::Record &record)
{
    Wire::Record message;
    Internal::write(record, message);
    Wire::Envelope envelope;
    message.SerializeToString(envelope.mutable_record());
    envelope.set_checksum(checksumOf(envelope.record()));
    return envelope.SerializeAsString();
}

Decoded decode(std::string_view bytes)
{
    Wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return Fleet::DamagedRecord{"no envelope"};
    }
    if (envelope.checksum() != checksumOf(envelope.record())) {
        return Fleet::DamagedRecord{"checksum does not match"};
    }
    Wire::Record message;
    if (!message.ParseFromString(envelope.record())) {
        return Fleet::DamagedRecord{"no record"};
    }
    Internal::Decoder decoder;
    Fleet::Record record = decoder.read(message);
    if (!decoder.isSound()) {
        return Fleet::DamagedRecord{decoder.reason()};
    }
    return record;
}

Decoded decode(std::span<const std::byte> bytes)
{
    return decode(std::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
}

Fleet::Entry decodeEntry(Fleet::Offset offset, std::string_view bytes)
{
    return {offset, decode(bytes)};
}

} // namespace Record
