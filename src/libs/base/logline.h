#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace Base
{

enum class LogLevel { Debug, Info, Warning, Error };

enum class LogOutput { StandardError, StandardOutput };

/// One event of the log: a line of key=value pairs, written when the object ends.
/// Values with blanks, quotes or control characters are quoted and escaped. Lines of one event beyond
/// LinesPerSecond are left out, except errors; the next one that is written says how many in left_out=.
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

    static constexpr double LinesPerSecond = 100; ///< of one event, on average
    static constexpr double LinesAtOnce = 200; ///< of one event

    /// Standard error at start. Standard output is set to never block: a line that doesn't fit is dropped,
    /// and the next one that is written says how many were in dropped=.
    static void setOutput(LogOutput output);

    /// A name put on every line of this process, such as the entry instance's.
    static void setOrigin(std::string_view origin);

private:
    void append(std::string_view key, std::string_view value);

    bool m_isWritten = false;
    std::string m_text;
};

} // namespace Base
