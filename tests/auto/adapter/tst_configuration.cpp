#include <platform/codec.h>

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <string>

namespace
{

std::string configWith(const std::string &workspaces)
{
    return R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Service":"s","Public":true}],)"
           R"("Services":[{"Name":"s"}],"Tenants":[)"
        + workspaces + "]}";
}

} // namespace

TEST_GROUP(Configuration){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(Configuration, KeysNameTheirWorkspace)
{
    const auto config = Platform::decodeConfig(
        configWith(R"({"Name":"a","ApiKeys":["k1","k2"],"Weight":12.5,"Cap":{"Cpu":8000,"MemMb":9,"Gpu":0}},)"
                   R"({"Name":"b","ApiKeys":["k3"]})"));
    CHECK(config.has_value());
    CHECK_EQUAL(2, config->workspaces.all().size());
    const auto *workspace = config->workspaces.find("k2");
    CHECK(workspace && workspace->name == "a");
    CHECK(workspace->quota == (Jobs::Resources{8000, 9, 0}));
    DOUBLES_EQUAL(12.5, workspace->weight, 0);
    CHECK(config->workspaces.find("k3")->name == "b");
    CHECK(!config->workspaces.find("k4"));
    CHECK(!config->workspaces.find(""));
    CHECK(config->routes[0].isPublic);
}

// Regression test: a fleet without workspaces refused all its callers for want of a key.
TEST(Configuration, WithoutWorkspacesAllRoutesArePublic)
{
    const std::string routes =
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/"}],"Services":[])";
    const auto without = Platform::decodeConfig(routes + "}");
    CHECK(without && without->workspaces.all().empty());
    CHECK(without->routes.at(0).isPublic);
    const auto with = Platform::decodeConfig(routes + R"(,"Tenants":[]})");
    CHECK(with && !with->routes.at(0).isPublic);
}

// A rejected configuration leaves the one before it in force.
TEST(Configuration, ContradictoryWorkspacesAreRejected)
{
    for (const char *it : {R"({"Name":"a","ApiKeys":["k"]},{"Name":"b","ApiKeys":["k"]})",
                           R"({"Name":"a","ApiKeys":["k"]},{"Name":"a","ApiKeys":["l"]})",
                           R"({"Name":"a","Weight":-1})",
                           R"({"Name":"a","Weight":"much"})",
                           R"({"Name":"a","Cap":{"Cpu":-5}})",
                           R"({"Name":"a","Cap":[1,2]})",
                           R"({"Name":"a","ApiKeys":[""]})",
                           R"({"Name":"a","ApiKeys":[7]})",
                           R"({"ApiKeys":["k"]})",
                           "7"}) {
        CHECK_TEXT(!Platform::decodeConfig(configWith(it)), it);
    }
}

TEST(Configuration, AKeyListedTwiceInAWorkspaceIsValid)
{
    CHECK(Platform::decodeConfig(configWith(R"({"Name":"a","ApiKeys":["k","k"]})")).has_value());
}
