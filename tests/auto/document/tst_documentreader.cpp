#include "randomdocument.h"

#include <document/documentreader.h>
#include <document/sections.h>

#include <string>

#include <CppUTest/TestHarness.h>

namespace
{

constexpr std::string_view Sound = "[environment]\n"
                                   "name = trial\n"
                                   "zones = a, b\n"
                                   "[pool brass]\n"
                                   "[pool slate]\n"
                                   "spare = true\n"
                                   "[service proofs]\n"
                                   "pool = slate\n"
                                   "routes = /proofs\n"
                                   "routes = /sheets idempotent\n"
                                   "priority = urgent\n"
                                   "deadline_ms = 1000\n"
                                   "availability_per_mille = 500\n"
                                   "survives_zone_loss = true\n"
                                   "[instance w1]\n"
                                   "pool = slate\n"
                                   "zone = a\n"
                                   "rack = a1\n"
                                   "address = 127.0.0.1\n"
                                   "port = 9000\n"
                                   "slots = 8\n"
                                   "connections = 64\n"
                                   "[instance w2]\n"
                                   "pool = slate\n"
                                   "zone = b\n"
                                   "rack = b1\n"
                                   "address = 127.0.0.2\n"
                                   "port = 9000\n"
                                   "slots = 8\n"
                                   "connections = 64\n";

} // namespace

TEST_GROUP(DocumentReader)
{
    std::string text{Sound};

    void replace(std::string_view part, std::string_view by)
    {
        const auto at = text.find(part);
        CHECK(at != std::string::npos);
        text.replace(at, part.size(), by);
    }

    std::string mistakes() const
    {
        std::string all;
        for (const Ini::Mistake &it : Document::read(text, "d.ini").mistakes) {
            all += Ini::toString(it) + "\n";
        }
        return all;
    }

    void checkMistakes(const char *expected) const
    {
        STRCMP_EQUAL(expected, mistakes().c_str());
    }
};

TEST(DocumentReader, ReadsEveryPart)
{
    checkMistakes("");
    const auto document = *Document::read(text, "d.ini").document;
    CHECK(document.environment.value == "trial");
    CHECK(document.zones.size() == 2);
    CHECK(document.pools[1].isSpare && !document.pools[0].isSpare);
    const Document::Instance expected{{"w2"}, "127.0.0.2", 9000, {"b"}, {"b1"}, 8, 64, {"slate"}};
    CHECK(document.instances[1] == expected);
    const Document::Service &service = document.services.front();
    CHECK(service.routes == (std::vector<Document::Route>{{"/proofs", false}, {"/sheets", true}}));
    CHECK(service.priority == Document::Priority::Urgent && service.survivesZoneLoss);
    CHECK(document.maintenance.drainTimeout == Document::Milliseconds(60000));
}

TEST(DocumentReader, ReadsBackWhatItPrints)
{
    Document::Random random{1};
    const auto document = *Document::read(text, "d.ini").document;
    CHECK(Document::read(Document::print(document), "p.ini").document == document);
    for (int n = 0; n < 500; ++n) {
        const auto any = Document::randomDocument(random);
        const std::string printed = Document::print(any);
        const auto parsed = Ini::parse(printed, "p.ini");
        CHECK(parsed.mistakes.empty());
        STRCMP_EQUAL(printed.c_str(), Ini::print(parsed.file).c_str());
    }
}

TEST(DocumentReader, AnInstanceIsInExactlyOnePool)
{
    replace("pool = slate\nzone = a", "pool = slate\npool = brass\nzone = a");
    replace("pool = slate\nzone = b", "zone = b");
    text += "[instance w1]\npool = brass\n";
    checkMistakes(
        "d.ini:17: instance w1.pool: the key is there since line 16, once\n"
        "d.ini:24: instance w2.pool: missing, name of 1 to 40 letters, digits, dashes, dots and underscores\n"
        "d.ini:31: instance w1: declared twice, first in line 15, once\n");
}

TEST(DocumentReader, NamesMustBeKnown)
{
    replace("zone = b\n", "zone = c\n");
    replace("pool = slate\nzone = a", "pool = slat\nzone = a");
    replace("pool = slate\nroutes", "pool = gold\nroutes");
    text += "[maintenance]\nwave = tin\n";
    checkMistakes("d.ini:8: service proofs.pool: unknown pool 'gold', one of brass, slate\n"
                  "d.ini:8: service proofs.pool: pool 'gold' has no instances, at least one\n"
                  "d.ini:16: instance w1.pool: unknown pool 'slat', did you mean 'slate'?\n"
                  "d.ini:25: instance w2.zone: unknown zone 'c', one of a, b\n"
                  "d.ini:32: maintenance.wave: unknown pool 'tin', one of brass, slate\n");
}

TEST(DocumentReader, ThereIsExactlyOneSparePool)
{
    replace("spare = true\n", "spare = false\n");
    checkMistakes("d.ini: no pool is spare, exactly one spare pool\n");
    text += "[pool tin]\nspare = true\n[pool zinc]\nspare = true\n";
    checkMistakes("d.ini:34: pool zinc.spare: pool 'tin' is spare already, exactly one spare pool\n");
}

TEST(DocumentReader, BadValuesAreReportedTogether)
{
    replace("slots = 8\n", "slots = 0\n");
    replace("127.0.0.1\n", "127.0.0.256\n");
    replace("deadline_ms = 1000", "deadline_ms = 0");
    replace("priority = urgent", "priority = high");
    replace("routes = /proofs", "routes = proofs");
    replace("[environment]", "nonsense\n[environment]");
    text += "[pools x]\n[pool a b]\n";
    checkMistakes(
        "d.ini:1: neither a section, a key with a value, nor a comment, key = value\n"
        "d.ini:10: service proofs.routes: 'proofs, /sheets idempotent' is no value of its kind, list of path "
        "prefixes such as /path, or /path idempotent\n"
        "d.ini:12: service proofs.priority: 'high' is no value of its kind, one of interactive, urgent, "
        "batch\n"
        "d.ini:13: service proofs.deadline_ms: '0' is out of range, 1 to 86400000\n"
        "d.ini:20: instance w1.address: '127.0.0.256' is out of range, an IP number\n"
        "d.ini:22: instance w1.slots: '0' is out of range, 1 to 1000000\n"
        "d.ini:32: pools x: unknown section, one of [environment], [pool NAME], [service NAME], "
        "[maintenance], "
        "[weights], [instance NAME]\n"
        "d.ini:33: pool a b: the name is not allowed, name of 1 to 40 letters, digits, dashes, dots and "
        "underscores\n");
}

TEST(DocumentReader, AddressesRacksAndRoutesBelongToOne)
{
    replace("127.0.0.2", "127.0.0.1");
    replace("rack = b1", "rack = a1");
    text += "[service copies]\npool = slate\nroutes = /proofs\npriority = batch\ndeadline_ms = 60001\n"
            "availability_per_mille = 0\n";
    checkMistakes(
        "d.ini:9: service proofs.routes: prefix /proofs is a route of service 'copies', a prefix belongs to "
        "one service\n"
        "d.ini:13: service proofs.availability_per_mille: pool 'slate' keeps 0 without its largest rack, not "
        "500, at most 0\n"
        "d.ini:26: instance w2.rack: rack 'a1' is in zone 'a' for instance 'w1', a rack is in one zone\n"
        "d.ini:27: instance w2.address: 127.0.0.1:9000 is the address of instance 'w1', an address and "
        "port of its own\n"
        "d.ini:35: service copies.deadline_ms: 60001 ms is longer than a drain may take, at most "
        "maintenance.drain_timeout_ms, 60000 ms\n");
}

TEST(DocumentReader, ABudgetMustBeKeptWithoutTheLargestRackAndZone)
{
    replace("availability_per_mille = 500", "availability_per_mille = 501\nzone_availability_per_mille = 1");
    checkMistakes(
        "d.ini:13: service proofs.availability_per_mille: pool 'slate' keeps 500 without its largest rack, "
        "not 501, at most 500\n"
        "d.ini:13: service proofs.availability_per_mille: pool 'slate' keeps 500 without its largest zone, "
        "not 501, at most 500\n"
        "d.ini:14: service proofs.zone_availability_per_mille: pool 'slate' keeps 0 in zone 'a' without its "
        "largest rack there, not 1, at most 0\n"
        "d.ini:14: service proofs.zone_availability_per_mille: pool 'slate' keeps 0 in zone 'b' without its "
        "largest rack there, not 1, at most 0\n");
}

TEST(DocumentReader, ABudgetIsNotJudgedWhileCapacityIsUnknown)
{
    replace("slots = 8\n", "slots = eight\n");
    replace("availability_per_mille = 500", "availability_per_mille = 501");
    checkMistakes("d.ini:21: instance w1.slots: 'eight' is no value of its kind, number\n");
}

TEST(DocumentReader, AnEmptyTextLacksItsEnvironment)
{
    text.clear();
    checkMistakes(
        "d.ini: environment.name: missing, name of 1 to 40 letters, digits, dashes, dots and underscores\n"
        "d.ini: environment.zones: missing, list of name of 1 to 40 letters, digits, dashes, dots and "
        "underscores\n"
        "d.ini: no pool is spare, exactly one spare pool\n");
}
