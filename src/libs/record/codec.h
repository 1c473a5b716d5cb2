#pragma once

#include <fleet/entry.h>

#include <cstddef>
#include <span>
#include <string>
#include <variant>

namespace Record
{

using Decoded = std::variant<Fleet::Record, Fleet::DamagedRecord>;

/// The bytes that the log holds for a record: a protobuf message (record.proto) in an envelope with its
/// checksum.
std::string encode(const Fleet::Record &record);

/// Reads what encode() wrote. Damaged when the checksum doesn't match, or when the record holds what this
/// version can't apply; all readers of one version find the same records damaged.
Decoded decode(std::span<const std::byte> bytes);

/// As above, from bytes in a string.
Decoded decode(std::string_view bytes);

/// The entry at `offset` of a stream whose log holds `bytes` there.
Fleet::Entry decodeEntry(Fleet::Offset offset, std::string_view bytes);

} // namespace Record
