#include "platformfixture.h"

#include <platform/standinthread.h>
#include <rhubarbcrank/httpsession.h>
#include <rhubarbcrank/publishing.h>

using Commands::ExitStatus;

TEST_GROUP(HttpSession)
{
    Commands::PlatformFixture fixture;
    PlatformStandin::StandinThread standin;
    Commands::HttpSession session{{"127.0.0.1", standin.port()}};

    Commands::Report publish(const Document::Document &document)
    {
        return Commands::publishEdit(session, *fixture.charts.charts, fixture.request(document), false);
    }
};

TEST(HttpSession, PublishesAndReadsBack)
{
    const Commands::Report report = publish(fixture.document);
    CHECK(report.status == ExitStatus::Done);
    STRCMP_CONTAINS("accepted at offset 1\n", report.text.c_str());
    STRCMP_CONTAINS("no difference", publish(fixture.document).text.c_str());
}

TEST(HttpSession, ALostAnswerIsResolvedByReadingBack)
{
    PlatformStandin::Faults faults;
    faults.loseEvery = 1;
    standin.setFaults(faults);
    CHECK(publish(fixture.document).status == ExitStatus::Done);
    const Commands::Report second = publish(fixture.withBufferWeight(2));
    STRCMP_EQUAL("accepted at offset 2\n~ weights.buffer: 5 -> 2\n", second.text.c_str());
}

TEST(HttpSession, AnEntryInstanceThatIsNotThereGivesNoStatus)
{
    const std::vector<std::string> addresses{"127.0.0.1:1", "nonsense"};
    const auto statuses = session.statuses(addresses);
    CHECK_EQUAL(2U, statuses.size());
    CHECK(!statuses[0] && !statuses[1]);
}
