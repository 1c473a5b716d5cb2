#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Settings
{

/// One setting as operators read of it.
struct KeyDescription {
    std::string key;
    std::string kind; ///< "milliseconds", "bytes", "address:port", ...
    std::string allowed; ///< range or choices; may be empty
    std::optional<std::string> defaultValue; ///< nothing: the setting must be given
    std::string explanation;
    bool isList = false; ///< goes on when the key is repeated
};

struct SectionDescription {
    std::string section;
    std::string explanation;
    std::vector<KeyDescription> keys;
};

/// The settings for a terminal: one paragraph each, grouped by section.
std::string helpText(std::span<const SectionDescription> sections);

/// An INI file with every default, the explanations as comments; settings without a default stay empty.
std::string iniText(std::span<const SectionDescription> sections);

/// A Markdown page with one table for each section.
std::string markdownText(std::span<const SectionDescription> sections, std::string_view title);

} // namespace Settings
