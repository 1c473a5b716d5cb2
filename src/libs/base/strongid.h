#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace Base
{

/// A number that names one kind of thing only; `Tag` keeps kinds apart.
template<typename Tag, typename Number = std::uint64_t>
struct StrongId {
    Number value = 0;

    auto operator<=>(const StrongId &) const = default;
};

/// A name of one kind of thing only, as written in documents and records.
template<typename Tag>
struct StrongName {
    std::string value;

    auto operator<=>(const StrongName &) const = default;
    bool isEmpty() const
    {
        return value.empty();
    }
};

} // namespace Base

template<typename Tag, typename Number>
struct std::hash<Base::StrongId<Tag, Number>> {
    std::size_t operator()(const Base::StrongId<Tag, Number> &id) const noexcept
    {
        return std::hash<Number>{}(id.value);
    }
};

template<typename Tag>
struct std::hash<Base::StrongName<Tag>> {
    std::size_t operator()(const Base::StrongName<Tag> &name) const noexcept
    {
        return std::hash<std::string>{}(name.value);
    }
};
