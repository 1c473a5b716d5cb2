#include <gateway/routingtable.h>

#include <CppUTest/TestHarness.h>

TEST_GROUP(RoutingTable)
{
    Gateway::RoutingTable table{{{{"shop"}, {"p"}, {{"/", true}}, {}, {}, 0},
                                 {{"proof"}, {"p"}, {{"/proof", false}, {"/proof/list", true}}, {}, {}, 0}},
                                {}};
};

TEST(RoutingTable, LongestPrefixWins)
{
    CHECK_EQUAL(0, table.find("GET", "/other")->service);
    CHECK_EQUAL(1, table.find("POST", "/proof/7")->service);
    CHECK(!table.find("POST", "/proof/7")->isIdempotent);
    CHECK(table.find("POST", "/proof/list?x=1")->isIdempotent);
}

TEST(RoutingTable, PrefixMatchesWholePathSegments)
{
    CHECK_EQUAL(0, table.find("GET", "/proofs")->service);
    CHECK_EQUAL(1, table.find("GET", "/proof?x")->service);
}

TEST(RoutingTable, StandardIdempotentMethodsAreIdempotentOnEveryRoute)
{
    CHECK(table.find("GET", "/proof")->isIdempotent);
    CHECK(table.find("PUT", "/proof")->isIdempotent);
    CHECK(!table.find("PATCH", "/proof")->isIdempotent);
}

TEST(RoutingTable, NoRouteMeansNoMatch)
{
    CHECK(!Gateway::RoutingTable().find("GET", "/"));
}
