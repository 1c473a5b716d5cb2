#include "reader.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <optional>
#include <sstream>

#include <fmt/format.h>
#include <ini.h>

namespace Ini
{

namespace
{

constexpr std::string_view Blanks = " \t\r\v\f";
constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view CommentPrefixes = ";#";

// Follows each section header, so that the library reports the section even when it has no keys. No line
// of the text can be taken for it: lines with control characters are refused.
constexpr std::string_view SectionMarkerKey = "\x01";
constexpr std::string_view SectionMarkerLine = "\x01=\n";

// What the library needs beside the text of a line: line feed and terminating zero, and one in reserve.
constexpr std::size_t LineOverhead = 3;

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

bool isComment(std::string_view line)
{
    return line.empty() || CommentPrefixes.find(line.front()) != std::string_view::npos;
}

bool hasControlCharacter(std::string_view line)
{
    return std::any_of(
        line.begin(), line.end(), [](unsigned char c) { return (c < ' ' && c != '\t') || c == 0x7f; });
}

/// The name in a header line, if it is a whole one.
std::optional<std::string_view> sectionName(std::string_view line)
{
    const auto end = line.find(']');
    if (end == std::string_view::npos || !isComment(trimmed(line.substr(end + 1)))) {
        return std::nullopt;
    }
    return line.substr(1, end - 1);
}

/// Feeds the library line by line and so knows which line each of its calls back belongs to.
class Reader
{
public:
    Reader(std::string_view text, std::string_view name)
        : m_rest(text)
    {
        m_parsed.file.name = name;
        if (m_rest.starts_with(ByteOrderMark)) {
            m_rest.remove_prefix(ByteOrderMark.size());
        }
    }

    Parsed read()
    {
        ini_parse_stream(&Reader::nextLine, this, &Reader::receive, this);
        return std::move(m_parsed);
    }

private:
    static char *nextLine(char *buf, int size, void *self)
    {
        return static_cast<Reader *>(self)->next(buf, static_cast<std::size_t>(size));
    }

    static int receive(void *self, const char *section, const char *key, const char *value)
    {
        static_cast<Reader *>(self)->accept(section, key, value);
        return 1;
    }

    char *next(char *buf, std::size_t size)
    {
        closeLine();
        if (m_header) {
            return write(buf, SectionMarkerLine);
        }
        if (m_rest.empty()) {
            return nullptr;
        }
        ++m_line;
        return feed(buf, size, takeLine());
    }

    // The library reports the first line without a key and value only; a line that it was given and made
    // nothing of is such a line.
    void closeLine()
    {
        if (m_isKeyExpected) {
            report("neither a section, a key with a value, nor a comment", "key = value");
        }
        m_isKeyExpected = false;
    }

    // Leading blanks are taken off: the library would take an indented line for a continued value.
    std::string_view takeLine()
    {
        const auto end = m_rest.find('\n');
        const auto line = m_rest.substr(0, end);
        m_rest.remove_prefix(end == std::string_view::npos ? m_rest.size() : end + 1);
        return trimmed(line);
    }

    char *feed(char *buf, std::size_t size, std::string_view line)
    {
        if (isComment(line)) {
            return write(buf, "\n");
        }
        if (line.size() + LineOverhead > size) {
            return skip(
                buf, line, "the line is too long", fmt::format("at most {} bytes", size - LineOverhead));
        }
        if (hasControlCharacter(line)) {
            return skip(buf, line, "the line has a control character", "printable characters");
        }
        if (line.front() != '[') {
            m_isKeyExpected = true;
            return write(buf, line);
        }
        m_header = sectionName(line);
        if (!m_header) {
            return skip(buf, line, "the section's header is not whole", "[section]");
        }
        return write(buf, line);
    }

    // Keys below a header that could not be read belong to no section, and would be misjudged in another.
    char *skip(char *buf, std::string_view line, std::string_view what, std::string_view allowed)
    {
        if (line.front() == '[') {
            m_isInUnreadSection = true;
            m_parsed.file.sections.emplace_back();
        }
        report(what, allowed);
        if (line.front() == '[') {
            m_parsed.file.sections.pop_back();
        }
        return write(buf, "\n");
    }

    static char *write(char *buf, std::string_view line)
    {
        std::copy(line.begin(), line.end(), buf);
        buf[line.size()] = '\0';
        return buf;
    }

    void accept(std::string_view section, std::string_view key, std::string_view value)
    {
        if (key == SectionMarkerKey) {
            openSection(section);
            return;
        }
        m_isKeyExpected = false;
        if (m_isInUnreadSection) {
            return;
        }
        if (m_parsed.file.sections.empty()) {
            report("a key before the first section", "[section]");
            return;
        }
        if (key.empty()) {
            report("a value without a key", "key = value");
            return;
        }
        m_parsed.file.sections.back().entries.push_back({std::string(key), std::string(value), m_line});
    }

    // The library cuts a long section name; the name in the text tells.
    void openSection(std::string_view section)
    {
        const std::string_view written = *m_header;
        m_header.reset();
        m_isInUnreadSection = section != written;
        if (m_isInUnreadSection) {
            m_parsed.mistakes.push_back({m_parsed.file.name,
                                         m_line,
                                         std::string(written),
                                         {},
                                         "the section's name is too long",
                                         fmt::format("at most {} bytes", section.size())});
            return;
        }
        m_parsed.file.sections.push_back({std::string(trimmed(section)), m_line, {}});
    }

    void report(std::string_view what, std::string_view allowed)
    {
        const auto &sections = m_parsed.file.sections;
        const std::string section = sections.empty() ? std::string() : sections.back().name;
        m_parsed.mistakes.push_back(
            {m_parsed.file.name, m_line, section, {}, std::string(what), std::string(allowed)});
    }

    Parsed m_parsed;
    std::string_view m_rest;
    std::optional<std::string_view> m_header; ///< fed, its marker is next
    int m_line = 0;
    bool m_isKeyExpected = false;
    bool m_isInUnreadSection = false;
};

} // namespace

Parsed parse(std::string_view text, std::string_view name)
{
    return Reader(text, name).read();
}

Parsed parseFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (file) {
        text << file.rdbuf();
    }
    if (!file || file.bad()) {
        Parsed parsed;
        parsed.file.name = path;
        parsed.mistakes.push_back(
            {path, 0, {}, {}, fmt::format("can't be read: {}", std::strerror(errno)), "a readable file"});
        return parsed;
    }
    return parse(text.str(), path);
}

std::string print(const File &file)
{
    std::string text;
    for (const Section &section : file.sections) {
        text += fmt::format("{}[{}]\n", text.empty() ? "" : "\n", section.name);
        for (const Entry &it : section.entries) {
            text +=
                it.value.empty() ? fmt::format("{} =\n", it.key) : fmt::format("{} = {}\n", it.key, it.value);
        }
    }
    return text;
}

} // namespace Ini
