#pragma once

#include "record.h"

#include <string>
#include <variant>

namespace Fleet
{

/// A record whose bytes are corrupt or can't be decoded. Every reader skips it.
struct DamagedRecord {
    std::string reason;

    bool operator==(const DamagedRecord &) const = default;
};

/// The content of a log stream at one offset.
struct Entry {
    Offset offset;
    std::variant<Record, DamagedRecord> content;

    bool operator==(const Entry &) const = default;
    const Record *record() const
    {
        return std::get_if<Record>(&content);
    }
};

} // namespace Fleet
