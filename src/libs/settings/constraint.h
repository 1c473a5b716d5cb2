#pragma once

#include "valueformat.h"

#include <ini/values.h>

#include <concepts>
#include <string>
#include <string_view>
#include <utility>

namespace Settings
{

/// A range includes both ends.
template<SettingValue T>
struct Range {
    T least;
    T most;

    bool accepts(const T &value) const
    {
        return least <= value && value <= most;
    }

    std::string allowed() const
    {
        return ValueFormat<T>::print(least) + " to " + ValueFormat<T>::print(most);
    }
};

template<SettingValue T>
Range<T> range(T least, T most)
{
    return {std::move(least), std::move(most)};
}

/// For a text or a list that must not be empty.
struct NotEmpty {
    template<typename T>
    bool accepts(const T &value) const
    {
        return !value.empty();
    }

    std::string allowed() const
    {
        return "not empty";
    }
};

/// For a text that has to be an IP number.
struct IpNumber {
    bool accepts(std::string_view value) const
    {
        return Ini::isIpAddress(value);
    }

    std::string allowed() const
    {
        return "an IP number";
    }
};

/// For a value whose kind says all.
struct AnyValue {
    template<typename T>
    bool accepts(const T &) const
    {
        return true;
    }

    std::string allowed() const
    {
        return {};
    }
};

template<typename C, typename T>
concept ConstraintOf = requires(const C &constraint, const T &value)
{
    {
        constraint.accepts(value)
        } -> std::same_as<bool>;
    {
        constraint.allowed()
        } -> std::same_as<std::string>;
};

} // namespace Settings
