#pragma once

#include <base/names.h>

#include <map>
#include <string>

namespace Fleet
{

/// Encoded fields that a newer version wrote and this version doesn't know. They are preserved, so that a
/// snapshot taken by an older member loses no data of the records.
struct UnknownFields {
    std::string own; ///< of the record or state itself
    std::string document;
    std::map<Base::PoolName, std::string> pools;
    std::map<Base::InstanceName, std::string> instances;
    std::map<Base::ServiceName, std::string> services;

    bool operator==(const UnknownFields &) const = default;
};

} // namespace Fleet
