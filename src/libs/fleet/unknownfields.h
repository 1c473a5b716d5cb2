#pragma once

#include <base/names.h>

#include <map>
#include <string>

namespace Fleet
{

/// What a newer version wrote and this one doesn't know, as encoded bytes. It is carried along, so that a
/// snapshot taken by an older member loses nothing of what the records said.
struct UnknownFields {
    std::string own; ///< of the record or state itself
    std::string document;
    std::map<Base::PoolName, std::string> pools;
    std::map<Base::InstanceName, std::string> instances;
    std::map<Base::ServiceName, std::string> services;

    bool operator==(const UnknownFields &) const = default;
};

} // namespace Fleet
