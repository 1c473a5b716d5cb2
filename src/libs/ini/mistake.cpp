#include "mistake.h"

#include <algorithm>

#include <fmt/format.h>

namespace Ini
{

namespace
{

std::string place(const Mistake &mistake)
{
    if (mistake.key.empty()) {
        return mistake.section;
    }
    return mistake.section.empty() ? mistake.key : fmt::format("{}.{}", mistake.section, mistake.key);
}

} // namespace

std::string toString(const Mistake &mistake)
{
    std::string text = mistake.file;
    if (mistake.line > 0) {
        text += fmt::format(":{}", mistake.line);
    }
    if (const std::string it = place(mistake); !it.empty()) {
        text += fmt::format(": {}", it);
    }
    text += fmt::format(": {}", mistake.what);
    if (!mistake.allowed.empty()) {
        text += fmt::format(", {}", mistake.allowed);
    }
    return text;
}

void sortByLine(std::vector<Mistake> &mistakes)
{
    std::stable_sort(
        mistakes.begin(), mistakes.end(), [](const Mistake &a, const Mistake &b) { return a.line < b.line; });
}

} // namespace Ini
