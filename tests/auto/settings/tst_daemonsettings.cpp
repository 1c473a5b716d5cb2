#include <settings/daemonsettings.h>

#include <fstream>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

TEST_GROUP(DaemonSettings)
{
    const Settings::Declarations<Settings::DaemonSettings> &settings = Settings::daemonDeclarations();
};

TEST(DaemonSettings, TheExampleGivesTheRequiredSettingsOnly)
{
    const auto loaded = settings.load(Ini::parseFile(RHUBARBCRANK_SHARE "/rhubarbcrankd.ini"));
    CHECK(loaded.values.has_value());
    CHECK(loaded.values->callers.headerLimit.value == 16384);
    CHECK(loaded.values->fleet.leaveBound == Settings::Milliseconds(2000));
    CHECK(loaded.values->telemetry.logLevel == Base::LogLevel::Info);
}

TEST(DaemonSettings, EveryDefaultIsInItsRange)
{
    const auto loaded = settings.load(Ini::parse(Settings::iniText(settings.descriptions()), "d.ini"));
    for (const Ini::Mistake &it : loaded.mistakes) {
        STRCMP_CONTAINS(": missing, ", Ini::toString(it).c_str());
    }
    CHECK_EQUAL(7U, loaded.mistakes.size());
}

TEST(DaemonSettings, ThePageIsTheOneThatIsCommitted)
{
    std::ifstream file(RHUBARBCRANK_SHARE "/../../docs/settings.md");
    std::stringstream page;
    page << file.rdbuf();
    STRCMP_EQUAL(Settings::markdownText(settings.descriptions(), "Settings of rhubarbcrankd").c_str(),
                 page.str().c_str());
}
