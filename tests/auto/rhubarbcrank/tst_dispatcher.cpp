#include <rhubarbcrank/commandlist.h>
#include <rhubarbcrank/dispatcher.h>

#include <boost/json/parse.hpp>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using Commands::ExitStatus;

namespace
{

const std::string Plaquewright = RHUBARBCRANK_SHARE "/plaquewright.ini";
const std::string Kapotaksha = RHUBARBCRANK_SHARE "/kapotaksha.ini";

} // namespace

TEST_GROUP(Dispatcher)
{
    std::vector<Commands::Command> commands = Commands::allCommands();
    Commands::Outcome outcome;

    void execute(const std::vector<std::string> &arguments)
    {
        outcome = Commands::dispatch(commands, arguments);
    }

    void checkStatus(ExitStatus expected) const
    {
        CHECK_EQUAL(static_cast<int>(expected), static_cast<int>(outcome.status));
    }

    boost::json::object json() const
    {
        return boost::json::parse(outcome.output).as_object();
    }
};

TEST(Dispatcher, EveryCommandHasItsHelp)
{
    execute({"--help"});
    checkStatus(ExitStatus::Done);
    const std::string overview = outcome.output;
    for (const Commands::Command &it : commands) {
        STRCMP_CONTAINS(it.name.c_str(), overview.c_str());
        execute({it.name, "--help"});
        checkStatus(ExitStatus::Done);
        STRCMP_CONTAINS("--format=FORMAT", outcome.output.c_str());
    }
}

TEST(Dispatcher, WrongUsageIsBadInput)
{
    for (const std::vector<std::string> &it :
         std::vector<std::vector<std::string>>{{},
                                               {"chek", Plaquewright},
                                               {"check"},
                                               {"check", "a", "b"},
                                               {"check", "--format=xml", Plaquewright},
                                               {"check", "--what"}}) {
        execute(it);
        checkStatus(ExitStatus::BadInput);
        STRCMP_EQUAL("", outcome.output.c_str());
        CHECK(!outcome.errors.empty());
    }
    execute({"chek"});
    STRCMP_CONTAINS("did you mean 'check'?", outcome.errors.c_str());
}

TEST(Dispatcher, CheckAcceptsTheExamples)
{
    for (const std::string &it : {Plaquewright, Kapotaksha}) {
        execute({"check", it});
        checkStatus(ExitStatus::Done);
        STRCMP_CONTAINS("5 services, 5 pools, 50 instances, no mistakes\n", outcome.output.c_str());
    }
}

TEST(Dispatcher, CheckReportsMistakes)
{
    execute({"check", RHUBARBCRANK_SHARE "/rhubarbcrankd.ini"});
    checkStatus(ExitStatus::BadInput);
    STRCMP_CONTAINS("rhubarbcrankd.ini:3: instance: unknown section, ", outcome.errors.c_str());
    execute({"check", "--format=json", RHUBARBCRANK_SHARE "/rhubarbcrankd.ini"});
    checkStatus(ExitStatus::BadInput);
    CHECK(json().at("status").as_string() == "bad-input");
    CHECK(json().at("mistakes").as_array().at(3).at("line").as_int64() == 3);
}

TEST(Dispatcher, CheckOfAFileThatIsNotThereIsBadInput)
{
    execute({"check", RHUBARBCRANK_SHARE "/not-there.ini"});
    checkStatus(ExitStatus::BadInput);
}

TEST(Dispatcher, DiffShowsTheChanges)
{
    execute({"diff", Plaquewright, Plaquewright});
    checkStatus(ExitStatus::Done);
    STRCMP_EQUAL("no difference\n", outcome.output.c_str());
    execute({"diff", Plaquewright, Kapotaksha});
    checkStatus(ExitStatus::Done);
    STRCMP_CONTAINS("~ environment.name: plaquewright -> kapotaksha\n", outcome.output.c_str());
    STRCMP_CONTAINS("- pool preview\n", outcome.output.c_str());
    execute({"diff", Plaquewright, Kapotaksha, "--format", "json"});
    const auto changes = json().at("changes").as_array();
    CHECK(changes.front().at("section").as_string() == "pool catalogue");
    CHECK(changes.front().at("to").is_null());
}

TEST(Dispatcher, DiffReportsTheMistakesOfBothFiles)
{
    execute({"diff", RHUBARBCRANK_SHARE "/rhubarbcrankd.ini", RHUBARBCRANK_SHARE "/not-there.ini"});
    checkStatus(ExitStatus::BadInput);
    STRCMP_CONTAINS("rhubarbcrankd.ini:3: ", outcome.errors.c_str());
    STRCMP_CONTAINS("not-there.ini: ", outcome.errors.c_str());
}

TEST(Dispatcher, KeysWritesThePageThatIsCommitted)
{
    execute({"keys", "--markdown"});
    std::ifstream file(RHUBARBCRANK_SHARE "/../../docs/document.md");
    std::stringstream page;
    page << file.rdbuf();
    STRCMP_EQUAL(page.str().c_str(), outcome.output.c_str());
}
