#include <processes/cluster.h>
#include <processes/proofcaller.h>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

namespace
{

ClusterShape sharingSlots()
{
    ClusterShape shape;
    shape.settings = "[fleet]\nshare_slots = true\n";
    return shape;
}

} // namespace

TEST_GROUP(SharedSlots)
{
    Cluster cluster;

    void expectServed(std::size_t daemon, const std::string &marker)
    {
        CHECK(tell(cluster.callersPort(daemon), "POST", "/proofs", "", marker).isAnswered());
    }
};

TEST(SharedSlots, AFreshDaemonServesInPlaceOfAKilledOne)
{
    CHECK(cluster.start(sharingSlots()));
    cluster.daemon(0).kill();
    cluster.startDaemon(0);
    CHECK(eventually([&] { return cluster.isReady(0); }));
    expectServed(0, "fresh");
}

TEST(SharedSlots, WithTheLogOutSinceTheStartDaemonsServe)
{
    CHECK(cluster.start(sharingSlots()));
    CHECK(cluster.setFaults(R"({"out":true})"));
    expectServed(0, "one");
    expectServed(1, "other");
}
