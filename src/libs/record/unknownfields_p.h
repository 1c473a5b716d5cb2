#pragma once

#include "generated/record.pb.h"

#include <fleet/unknownfields.h>

#include <google/protobuf/unknown_field_set.h>

#include <string>

namespace Record::Internal
{

/// The fields of `message` that this version doesn't know, encoded.
template<typename Message>
std::string unknownFieldsOf(const Message &message)
{
    std::string bytes;
    message.GetReflection()->GetUnknownFields(message).SerializeToString(&bytes);
    return bytes;
}

/// Gives `message` such fields back.
template<typename Message>
void restoreUnknownFields(Message &message, const std::string &bytes)
{
    if (!bytes.empty()) {
        message.MergeFromString(bytes);
    }
}

/// Gives each named item of a list its fields back.
template<typename Messages, typename Fields>
void restoreItems(Messages &messages, const Fields &fields)
{
    if (fields.empty()) {
        return;
    }
    for (auto &it : messages) {
        const auto found = fields.find({it.name()});
        if (found != fields.end()) {
            restoreUnknownFields(it, found->second);
        }
    }
}

} // namespace Record::Internal
