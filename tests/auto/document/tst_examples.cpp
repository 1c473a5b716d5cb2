#include <document/documentreader.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

TEST_GROUP(Examples){Document::Document load(const std::string &file){
    const auto loaded = Document::readFile(RHUBARBCRANK_SHARE "/" + file);
for (const Ini::Mistake &it : loaded.mistakes) {
    FAIL(Ini::toString(it).c_str());
}
const std::string printed = Document::print(*loaded.document);
CHECK(Document::read(printed, "printed").document == loaded.document);
return *loaded.document;
}

/// Three zones, five services, five pools of ten, eight slots, 64 connections, at most four to a rack.
void checkSizes(const Document::Document &document, std::string_view spare)
{
    CHECK_EQUAL(3U, document.zones.size());
    CHECK_EQUAL(5U, document.services.size());
    CHECK_EQUAL(50U, document.instances.size());
    std::map<Base::PoolName, int> pools;
    std::map<Base::RackName, int> racks;
    std::set<std::string> addresses;
    for (const Document::Instance &it : document.instances) {
        CHECK(it.slots == 8 && it.connections == 64);
        CHECK(it.address.starts_with("127."));
        CHECK(addresses.insert(it.address).second);
        ++pools[it.pool];
        CHECK(++racks[it.rack] <= 4);
    }
    CHECK_EQUAL(5U, pools.size());
    CHECK(std::all_of(pools.begin(), pools.end(), [](const auto &it) { return it.second == 10; }));
    for (const Document::Pool &it : document.pools) {
        CHECK_EQUAL(it.name.value == spare, it.isSpare);
    }
}
}
;

TEST(Examples, PlaquewrightHasItsSizesOfToday)
{
    const auto document = load("plaquewright.ini");
    checkSizes(document, "storefront");
    CHECK(document.weights.buffer > document.weights.moves);
}

TEST(Examples, KapotakshaHasItsSizesOfToday)
{
    const auto document = load("kapotaksha.ini");
    checkSizes(document, "billing-notices");
    CHECK(document.weights.moves > document.weights.buffer);
}
