#pragma once

#include "encoder_p.h"

#include <google/protobuf/repeated_ptr_field.h>

#include <set>
#include <string>
#include <vector>

namespace Record::Internal
{

using StringList = google::protobuf::RepeatedPtrField<std::string>;

template<typename Names>
void writeNames(const Names &names, StringList &list)
{
    list.Reserve(static_cast<int>(names.size()));
    for (const auto &it : names) {
        *list.Add() = it.value;
    }
}

template<typename Items, typename Messages>
void writeItems(const Items &items, Messages &messages)
{
    messages.Reserve(static_cast<int>(items.size()));
    for (const auto &it : items) {
        write(it, *messages.Add());
    }
}

template<typename Items, typename Messages>
void writeValues(const Items &items, Messages &messages)
{
    messages.Reserve(static_cast<int>(items.size()));
    for (const auto &it : items) {
        write(it.second, *messages.Add());
    }
}

template<typename Name>
std::vector<Name> readNames(const StringList &list)
{
    std::vector<Name> names;
    names.reserve(static_cast<std::size_t>(list.size()));
    for (const std::string &it : list) {
        names.push_back(Name{it});
    }
    return names;
}

template<typename Name>
std::set<Name> readNameSet(const StringList &list)
{
    std::set<Name> names;
    for (const std::string &it : list) {
        names.insert(names.end(), Name{it});
    }
    return names;
}

} // namespace Record::Internal
