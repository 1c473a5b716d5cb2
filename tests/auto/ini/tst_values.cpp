#include <ini/values.h>

#include <CppUTest/TestHarness.h>

TEST_GROUP(Values){};

TEST(Values, IntegersAreWholeAndNotNegative)
{
    CHECK(Ini::toInteger("18446744073709551615") == 18446744073709551615ULL);
    for (const char *it : {"", "-1", "+1", "1.5", "1 ", "0x10", "18446744073709551616"}) {
        CHECK(!Ini::toInteger(it));
    }
}

TEST(Values, NumbersAreFiniteAndNotNegative)
{
    CHECK(Ini::toNumber("0.25") == 0.25);
    for (const char *it : {"", "-0.5", "inf", "nan", "1e999", "1,5"}) {
        CHECK(!Ini::toNumber(it));
    }
}

TEST(Values, ListsHaveNoEmptyItem)
{
    CHECK(Ini::toList("a, b ,c") == (std::vector<std::string>{"a", "b", "c"}));
    CHECK(Ini::toList("") == std::vector<std::string>{});
    CHECK(!Ini::toList("a,,b"));
    CHECK(!Ini::toList("a,"));
}

TEST(Values, EndpointsAreReadBack)
{
    for (const char *it : {"127.0.0.1:80", "[::1]:65535"}) {
        const auto endpoint = Ini::toEndpoint(it);
        CHECK(endpoint.has_value());
        STRCMP_EQUAL(it, Ini::toString(*endpoint).c_str());
    }
    for (const char *it :
         {"", "127.0.0.1", "::1:80", "host:80", "127.0.0.1:65536", "[127.0.0.1]:1", "127.0.0.256:1"}) {
        CHECK(!Ini::toEndpoint(it));
    }
}

TEST(Values, TheNearestCandidateIsNotFarOff)
{
    const std::vector<std::string> candidates = {"header_limit_bytes", "body_limit_bytes", "name"};
    CHECK(Ini::nearest("heder_limit_byte", candidates) == "header_limit_bytes");
    CHECK(Ini::nearest("nam", candidates) == "name");
    CHECK(!Ini::nearest("weather", candidates));
}
