#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Ini
{

/// What is wrong at one place of a file, and what would be right there.
struct Mistake {
    std::string file;
    int line = 0; ///< the first line is 1; 0 when it is about no single line
    std::string section;
    std::string key; ///< empty when it is about the section
    std::string what;
    std::string allowed; ///< may be empty

    auto operator<=>(const Mistake &) const = default;
};

/// "file:line: section.key: what is wrong, what is allowed", without the parts that are not known.
std::string toString(const Mistake &mistake);

/// Orders by line; mistakes of the same line keep their order.
void sortByLine(std::vector<Mistake> &mistakes);

} // namespace Ini
