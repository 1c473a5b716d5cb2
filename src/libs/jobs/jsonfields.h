#pragma once

#include <boost/json.hpp>

#include <string>

namespace Jobs
{

// Accessors for optional fields of an object. Like at(), they throw if the field has another type.

template<typename Number>
Number numberOr(const boost::json::object &from, boost::json::string_view name, Number fallback)
{
    const boost::json::value *found = from.if_contains(name);
    return found ? found->to_number<Number>() : fallback;
}

inline bool flagOrFalse(const boost::json::object &from, boost::json::string_view name)
{
    const boost::json::value *found = from.if_contains(name);
    return found && found->as_bool();
}

inline std::string textOrEmpty(const boost::json::object &from, boost::json::string_view name)
{
    const boost::json::value *found = from.if_contains(name);
    return found ? std::string(found->as_string()) : std::string();
}

} // namespace Jobs
