#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Http
{

struct Field {
    std::string name;
    std::string value;
};

/// A whole request of HTTP/1.1; Content-Length is added when it is sent.
struct Request {
    std::string method = "GET";
    std::string target{};
    std::vector<Field> fields{};
    std::string body{};

    /// The value of the first field of that name, without regard to case; empty when there is none.
    std::string_view field(std::string_view name) const;
    /// The number of fields of that name.
    std::size_t fieldCount(std::string_view name) const;
};

/// A whole response of HTTP/1.1; Content-Length is added when it is sent.
struct Response {
    unsigned status = 200;
    std::vector<Field> fields{};
    std::string body{};

    std::string_view field(std::string_view name) const;
};

} // namespace Http
