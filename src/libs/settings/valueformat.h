#pragma once

#include <base/strongid.h>
#include <ini/values.h>

#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Settings
{

using Milliseconds = std::chrono::milliseconds;

struct Bytes {
    std::uint64_t value = 0;

    auto operator<=>(const Bytes &) const = default;
};

struct IpAddress {
    std::string text;

    auto operator<=>(const IpAddress &) const = default;
};

/// How a setting's type is read, written and called. Specialized for every type that a setting can have;
/// parse() returns nothing for text of another kind.
template<typename T>
struct ValueFormat;

template<typename T>
concept SettingValue = std::equality_comparable<T> && requires(std::string_view text, const T &value)
{
    {
        ValueFormat<T>::parse(text)
        } -> std::same_as<std::optional<T>>;
    {
        ValueFormat<T>::print(value)
        } -> std::same_as<std::string>;
    {
        ValueFormat<T>::kind()
        } -> std::same_as<std::string>;
};

/// The enumerators of an enumeration with their spellings: specialize with a static `all()` that returns an
/// array of pairs of them.
template<typename Enumeration>
struct Spellings;

template<>
struct ValueFormat<Milliseconds> {
    static std::optional<Milliseconds> parse(std::string_view text);
    static std::string print(Milliseconds value);
    static std::string kind();
};

template<>
struct ValueFormat<Bytes> {
    static std::optional<Bytes> parse(std::string_view text);
    static std::string print(Bytes value);
    static std::string kind();
};

template<>
struct ValueFormat<std::uint32_t> {
    static std::optional<std::uint32_t> parse(std::string_view text);
    static std::string print(std::uint32_t value);
    static std::string kind();
};

template<>
struct ValueFormat<std::string> {
    static std::optional<std::string> parse(std::string_view text);
    static std::string print(const std::string &value);
    static std::string kind();
};

template<>
struct ValueFormat<std::uint16_t> {
    static std::optional<std::uint16_t> parse(std::string_view text);
    static std::string print(std::uint16_t value);
    static std::string kind();
};

template<>
struct ValueFormat<std::uint64_t> {
    static std::optional<std::uint64_t> parse(std::string_view text);
    static std::string print(std::uint64_t value);
    static std::string kind();
};

template<>
struct ValueFormat<double> {
    static std::optional<double> parse(std::string_view text);
    static std::string print(double value);
    static std::string kind();
};

template<>
struct ValueFormat<bool> {
    static std::optional<bool> parse(std::string_view text);
    static std::string print(bool value);
    static std::string kind();
};

template<>
struct ValueFormat<IpAddress> {
    static std::optional<IpAddress> parse(std::string_view text);
    static std::string print(const IpAddress &value);
    static std::string kind();
};

template<>
struct ValueFormat<Ini::Endpoint> {
    static std::optional<Ini::Endpoint> parse(std::string_view text);
    static std::string print(const Ini::Endpoint &value);
    static std::string kind();
};

/// A name is short enough for a section's header and has nothing in it that INI text or a path would take
/// for something else.
bool isName(std::string_view text);
std::string nameKind();

template<typename Tag>
struct ValueFormat<Base::StrongName<Tag>> {
    static std::optional<Base::StrongName<Tag>> parse(std::string_view text)
    {
        return isName(text) ? std::optional(Base::StrongName<Tag>{std::string(text)}) : std::nullopt;
    }

    static std::string print(const Base::StrongName<Tag> &value)
    {
        return value.value;
    }

    static std::string kind()
    {
        return nameKind();
    }
};

/// The items in lines of moderate length, separated by commas.
std::vector<std::string> wrapped(std::span<const std::string> items);

template<SettingValue T>
struct ValueFormat<std::vector<T>> {
    static std::optional<std::vector<T>> parse(std::string_view text)
    {
        const auto items = Ini::toList(text);
        if (!items) {
            return std::nullopt;
        }
        std::vector<T> values;
        for (const std::string &it : *items) {
            const auto value = ValueFormat<T>::parse(it);
            if (!value) {
                return std::nullopt;
            }
            values.push_back(*value);
        }
        return values;
    }

    static std::string print(const std::vector<T> &values)
    {
        std::string text;
        for (const T &it : values) {
            text += text.empty() ? "" : ", ";
            text += ValueFormat<T>::print(it);
        }
        return text;
    }

    /// One text for each time that the key is to be written.
    static std::vector<std::string> lines(const std::vector<T> &values)
    {
        std::vector<std::string> items;
        items.reserve(values.size());
        for (const T &it : values) {
            items.push_back(ValueFormat<T>::print(it));
        }
        return wrapped(items);
    }

    static std::string kind()
    {
        return "list of " + ValueFormat<T>::kind();
    }
};

template<typename T>
concept ListValue = SettingValue<T> && requires(const T &value)
{
    ValueFormat<T>::lines(value);
};

/// Empty text is no value.
template<SettingValue T>
struct ValueFormat<std::optional<T>> {
    static std::optional<std::optional<T>> parse(std::string_view text)
    {
        if (text.empty()) {
            return std::optional<T>();
        }
        const auto value = ValueFormat<T>::parse(text);
        return value ? std::optional<std::optional<T>>(value) : std::nullopt;
    }

    static std::string print(const std::optional<T> &value)
    {
        return value ? ValueFormat<T>::print(*value) : std::string();
    }

    static std::string kind()
    {
        return ValueFormat<T>::kind() + " or empty";
    }
};

template<typename Enumeration>
requires std::is_enum_v<Enumeration>
struct ValueFormat<Enumeration> {
    static std::optional<Enumeration> parse(std::string_view text)
    {
        for (const auto &[value, spelling] : Spellings<Enumeration>::all()) {
            if (spelling == text) {
                return value;
            }
        }
        return std::nullopt;
    }

    static std::string print(Enumeration value)
    {
        for (const auto &[it, spelling] : Spellings<Enumeration>::all()) {
            if (it == value) {
                return std::string(spelling);
            }
        }
        return {};
    }

    static std::string kind()
    {
        std::string text;
        for (const auto &[value, spelling] : Spellings<Enumeration>::all()) {
            text += text.empty() ? "one of " : ", ";
            text += spelling;
        }
        return text;
    }
};

} // namespace Settings
