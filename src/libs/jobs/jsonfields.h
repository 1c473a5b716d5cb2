#pragma once

#include <boost/json.hpp>

#include <string>

namespace Jobs
{

// Fields of an object that may be left out; one of another type throws, as from at().

template<typename Number>
Number numberOr(const boost::json::object &from, boost::json::string_view name, Number fallback)
{
    const boost::json::value *found = from.if_contains(name);
    return found ? found->to_number<Number>() : fallback;
}

inline bool flag(const boost::json::object &from, boost::json::string_view name)
{
    const boost::json::value *found = from.if_contains(name);
    return found && found->as_bool();
}

inline std::string textOr(const boost::json::object &from, boost::json::string_view name)
{
    const boost::json::value *found = from.if_contains(name);
    return found ? std::string(found->as_string()) : std::string();
}

} // namespace Jobs
