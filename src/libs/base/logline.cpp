#include "logline.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace Base
{

namespace
{

std::atomic<LogLevel> threshold{LogLevel::Info};
std::atomic<int> output{STDERR_FILENO};
std::atomic<std::uint64_t> dropped{0};

// Tokens of one event; a line takes one.
struct Allowance {
    double tokens = LogLine::LinesAtOnce;
    std::chrono::steady_clock::time_point filledAt = std::chrono::steady_clock::now();
    std::uint64_t leftOut = 0;
};

// Returns how many lines of the event were left out since the last one; nothing when this one is left out
// too.
std::optional<std::uint64_t> takeAllowance(std::string_view event)
{
    static std::mutex mutex;
    static std::map<std::string, Allowance, std::less<>> allowances;
    const std::lock_guard lock(mutex);
    auto it = allowances.find(event);
    if (it == allowances.end()) {
        it = allowances.emplace(event, Allowance{}).first;
    }
    Allowance &allowance = it->second;
    const auto now = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - allowance.filledAt).count();
    allowance.tokens = std::min(LogLine::LinesAtOnce, allowance.tokens + seconds * LogLine::LinesPerSecond);
    allowance.filledAt = now;
    if (allowance.tokens < 1) {
        ++allowance.leftOut;
        return std::nullopt;
    }
    allowance.tokens -= 1;
    return std::exchange(allowance.leftOut, 0);
}

std::string &origin()
{
    static std::string text;
    return text;
}

std::string_view toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
           });
}

std::string quoted(std::string_view value)
{
    std::string text = "\"";
    for (const char it : value) {
        const auto c = static_cast<unsigned char>(it);
        if (c == '"' || c == '\\') {
            text += '\\';
            text += it;
        } else if (c < ' ' || c == 0x7f) {
            text += fmt::format("\\x{:02x}", c);
        } else {
            text += it;
        }
    }
    text += '"';
    return text;
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now - seconds);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(seconds), micros.count());
}

} // namespace

LogLine::LogLine(LogLevel level, std::string_view event)
{
    if (level < threshold.load(std::memory_order_relaxed)) {
        return;
    }
    const auto leftOut = level == LogLevel::Error ? std::optional<std::uint64_t>(0) : takeAllowance(event);
    m_isWritten = leftOut.has_value();
    if (!m_isWritten) {
        return;
    }
    m_text = fmt::format("time={} level={}", timestamp(), toString(level));
    if (!origin().empty()) {
        append("origin", origin());
    }
    append("event", event);
    if (*leftOut > 0) {
        with("left_out", *leftOut);
    }
}

// One write() a line, so that lines of several threads don't mix.
LogLine::~LogLine()
{
    if (!m_isWritten) {
        return;
    }
    if (const auto n = dropped.exchange(0); n > 0) {
        with("dropped", n);
    }
    m_text += '\n';
    if (::write(output.load(std::memory_order_relaxed), m_text.data(), m_text.size()) < 0) {
        ++dropped;
    }
}

void LogLine::setOutput(LogOutput where)
{
    const int fd = where == LogOutput::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
    output.store(fd, std::memory_order_relaxed);
    if (where == LogOutput::StandardOutput) {
        const int flags = ::fcntl(fd, F_GETFL);
        if (flags >= 0) {
            ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
        }
    }
}

void LogLine::setThreshold(LogLevel level)
{
    threshold.store(level, std::memory_order_relaxed);
}

void LogLine::setOrigin(std::string_view text)
{
    origin() = text;
}

void LogLine::append(std::string_view key, std::string_view value)
{
    if (!m_isWritten) {
        return;
    }
    m_text += ' ';
    m_text += key;
    m_text += '=';
    m_text += needsQuotes(value) ? quoted(value) : std::string(value);
}

} // namespace Base
