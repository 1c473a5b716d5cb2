#include <settings/daemonsettings.h>

#include <cstdio>

int main()
{
    const auto &settings = Settings::daemonDeclarations();
    const std::string page = Settings::markdownText(settings.descriptions(), "Settings of rhubarbcrankd");
    const std::size_t n = std::fwrite(page.data(), 1, page.size(), stdout);
    return n == page.size() ? 0 : 1;
}
