#include <document/sections.h>
#include <settings/daemonsettings.h>

#include <cstdio>
#include <string>
#include <string_view>

namespace
{

std::string page(std::string_view subject)
{
    if (subject == "document") {
        return Settings::markdownText(Document::sectionDescriptions(), "Sections of a document");
    }
    return Settings::markdownText(Settings::daemonDeclarations().descriptions(), "Settings of rhubarbcrankd");
}

} // namespace

int main(int argc, char **argv)
{
    const std::string text = page(argc > 1 ? argv[1] : "settings");
    const std::size_t n = std::fwrite(text.data(), 1, text.size(), stdout);
    return n == text.size() ? 0 : 1;
}
