#include "platformfixture.h"

#include <rhubarbcrank/promotecommand.h>
#include <rhubarbcrank/publishing.h>
#include <rhubarbcrank/statusclient.h>
#include <rhubarbcrank/statuscommand.h>

using Commands::ExitStatus;

TEST_GROUP(RollOut)
{
    Commands::PlatformFixture fixture;

    void list(const std::string &name, const std::string &zone, std::uint64_t offset)
    {
        Platform::ListedInstance entry;
        entry.name = name;
        entry.kind = Platform::InstanceKind::Entry;
        entry.zone = zone;
        entry.operatorsAddress = name + ":1";
        fixture.session.listed.push_back(entry);
        fixture.session.pages[entry.operatorsAddress] = {name, zone, "plaquewright", true, true, offset};
    }

    Commands::EntryStatus &page(const std::string &name)
    {
        return fixture.session.pages.at(name + ":1");
    }

    Commands::Report publishAndWait()
    {
        return Commands::publishEdit(
            fixture.session, *fixture.charts.charts, fixture.request(fixture.document), true);
    }
};

TEST(RollOut, WaitsUntilEveryLiveEntryInstanceHasTheEdit)
{
    list("e1", "zone-a", 0);
    list("e2", "zone-b", 0);
    int pauses = 0;
    fixture.session.onPause = [&] {
        page("e1").documentOffset = 1;
        page("e2").documentOffset = ++pauses >= 3 ? 1 : 0;
    };
    const Commands::Report report = publishAndWait();
    CHECK(report.status == ExitStatus::Done);
    STRCMP_CONTAINS("in force on 2 entry instances after 0.600 s\n", report.text.c_str());
}

TEST(RollOut, NamesThoseBehindAndWhy)
{
    list("e1", "zone-a", 1);
    list("e2", "zone-b", 0);
    list("e3", "zone-c", 0);
    page("e2").isPlatformReachable = false;
    fixture.session.pages.erase("e3:1");
    const Commands::Report report = publishAndWait();
    CHECK(report.status == ExitStatus::Refused);
    STRCMP_CONTAINS("not in force everywhere after 5.000 s:\n"
                    "  e2 in zone-b: has offset 0 in force, cut off from the platform's log\n"
                    "  e3 in zone-c: does not answer\n",
                    report.text.c_str());
    CHECK(report.details.at("entry_instances").as_array().size() == 3);
}

TEST(RollOut, LeavesOutWhoIsLeavingOrServesAnotherEnvironment)
{
    list("e1", "zone-a", 1);
    list("e2", "zone-a", 0);
    list("e3", "zone-a", 0);
    list("e4", "elsewhere", 0);
    fixture.session.listed[1].state = Platform::InstanceState::Leaving;
    page("e3").environment = "kapotaksha";
    const Commands::Report report = publishAndWait();
    CHECK(report.status == ExitStatus::Done);
    STRCMP_CONTAINS("in force on 1 entry instances", report.text.c_str());
}

TEST(RollOut, WithoutAnyEntryInstanceNothingIsInForce)
{
    const Commands::Report report = publishAndWait();
    CHECK(report.status == ExitStatus::Refused);
    STRCMP_CONTAINS("lists no live entry instance", report.text.c_str());
}

TEST(RollOut, PromoteCopiesTheAcceptedDocument)
{
    const auto &charts = *fixture.charts.charts;
    const Commands::PromoteRequest request{{"plaquewright"}, {"production"}, fixture.request({}, "anna")};
    CHECK(Commands::promote(fixture.session, charts, request, false).status == ExitStatus::Refused);
    fixture.publish(fixture.request(fixture.document));
    CHECK(Commands::promote(fixture.session, charts, request, false).status == ExitStatus::Done);
    auto expected = fixture.document;
    expected.environment.value = "production";
    const auto log = fixture.folded("production");
    CHECK(log.state().document == expected);
    STRCMP_EQUAL("from plaquewright at offset 1", log.latest()->comment.c_str());
}

TEST(RollOut, StatusSaysWhatIsAcceptedAndWhereItIsInForce)
{
    const auto status = [&] {
        return Commands::status(
            fixture.session, *fixture.charts.charts, {"plaquewright"}, Commands::Patience);
    };
    CHECK(status().status == ExitStatus::Refused);
    fixture.publish(fixture.request(fixture.document));
    list("e1", "zone-a", 1);
    CHECK(status().status == ExitStatus::Done);
    list("e2", "zone-b", 0);
    const Commands::Report report = status();
    CHECK(report.status == ExitStatus::Refused);
    STRCMP_EQUAL("plaquewright: document accepted at offset 1, by anna\n"
                 "  e1 in zone-a: in force, ready\n"
                 "  e2 in zone-b: has offset 0 in force, ready\n",
                 report.text.c_str());
    fixture.session.isOut = true;
    CHECK(status().status == ExitStatus::Unreachable);
}

TEST(RollOut, StatusPagesAreCheckedLikeAnyInput)
{
    const auto status = Commands::parseStatus(
        R"({"instance":"e1","zone":"a","environment":"t","is_ready":true,"document_offset":7})");
    const Commands::EntryStatus expected{"e1", "a", "t", true, false, 7};
    CHECK(status == expected);
    for (const char *it : {"", "[]", "{}", R"({"document_offset":"7"})", R"({"document_offset":-1})", "{"}) {
        CHECK(!Commands::parseStatus(it));
    }
}
