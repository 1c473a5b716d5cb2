#include "logline.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>

namespace Base
{

namespace
{

std::atomic<LogLevel> threshold{LogLevel::Info};

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
    : m_isWritten(level >= threshold.load(std::memory_order_relaxed))
{
    if (!m_isWritten) {
        return;
    }
    m_text = fmt::format("time={} level={}", timestamp(), toString(level));
    if (!origin().empty()) {
        append("origin", origin());
    }
    append("event", event);
}

// One fwrite() a line, so that lines of several threads don't mix.
LogLine::~LogLine()
{
    if (m_isWritten) {
        m_text += '\n';
        std::fwrite(m_text.data(), 1, m_text.size(), stderr);
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
