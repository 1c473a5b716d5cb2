#pragma once

#include "mistake.h"

#include <string>
#include <string_view>
#include <vector>

namespace Ini
{

struct Entry {
    std::string key;
    std::string value; ///< without surrounding blanks and inline comment
    int line = 0;

    bool operator==(const Entry &) const = default;
};

struct Section {
    std::string name;
    int line = 0;
    std::vector<Entry> entries; ///< as written; a repeated key is there twice

    bool operator==(const Section &) const = default;
};

struct File {
    std::string name;
    std::vector<Section> sections; ///< as written; a repeated section is there twice

    bool operator==(const File &) const = default;
};

/// What could be read, and every mistake of syntax.
struct Parsed {
    File file;
    std::vector<Mistake> mistakes;
};

/// Reads INI text; `name` stands for the file in mistakes.
Parsed parse(std::string_view text, std::string_view name);

/// Reads a file; one that can't be read is a mistake too.
Parsed parseFile(const std::string &path);

/// INI text that parse() reads back to the same sections, keys and values.
std::string print(const File &file);

} // namespace Ini
