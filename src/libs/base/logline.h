#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace Base
{

enum class LogLevel { Debug, Info, Warning, Error };

/// One event of the log: a line of key=value pairs, written to standard error when the object ends.
/// Values with blanks, quotes or control characters are quoted and escaped.
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;
    ~LogLine();

    template<typename Value>
    LogLine &with(std::string_view key, const Value &value)
    {
        append(key, fmt::format("{}", value));
        return *this;
    }

    /// Lines below this level are not written; Info at start.
    static void setThreshold(LogLevel level);

    /// A name put on every line of this process, such as the entry instance's.
    static void setOrigin(std::string_view origin);

private:
    void append(std::string_view key, std::string_view value);

    bool m_isWritten;
    std::string m_text;
};

} // namespace Base
