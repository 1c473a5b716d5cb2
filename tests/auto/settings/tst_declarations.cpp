#include <settings/declarations.h>

#include <string>

#include <CppUTest/TestHarness.h>

namespace
{

enum class Colour { Slate, Brass };

struct Shop {
    std::string name;
    Colour colour = Colour::Brass;
    std::vector<std::string> towns;
    bool isOpen = false;
};

struct Limits {
    Settings::Milliseconds wait{};
    Settings::Bytes size;
    std::uint32_t count = 0;
    Settings::IpAddress ip;
    std::optional<Ini::Endpoint> peer;
};

struct Values {
    Shop shop;
    Limits limits;
};

} // namespace

template<>
struct Settings::Spellings<Colour> {
    static constexpr auto all()
    {
        return std::array<std::pair<Colour, std::string_view>, 2>{
            {{Colour::Slate, "slate"}, {Colour::Brass, "brass"}}};
    }
};

TEST_GROUP(Declarations)
{
    Settings::Declarations<Values> settings;

    void setup() override
    {
        using Settings::AnyValue;
        settings.section(&Values::shop, "shop", "The shop.")
            .add(&Shop::name, "name", Settings::Required, Settings::NotEmpty{}, "Its name.")
            .add(&Shop::colour, "colour", Colour::Slate, AnyValue{}, "Its colour.")
            .add(&Shop::towns, "towns", {"here", "there"}, AnyValue{}, "Its towns.")
            .add(&Shop::isOpen, "open", true, AnyValue{}, "Whether it is open.");
        settings.section(&Values::limits, "limits", "The limits.")
            .add(&Limits::wait,
                 "wait_ms",
                 Settings::Milliseconds(50),
                 Settings::range(Settings::Milliseconds(1), Settings::Milliseconds(99)),
                 "Longest wait.")
            .add(&Limits::size, "size_bytes", Settings::Bytes{7}, AnyValue{}, "Size.")
            .add(&Limits::count, "count", 3, Settings::range<std::uint32_t>(2, 4), "Count.")
            .add(&Limits::ip, "ip", {"127.0.0.1"}, AnyValue{}, "Number.")
            .add(&Limits::peer, "peer", std::nullopt, AnyValue{}, "Peer.");
    }

    Settings::Loaded<Values> load(std::string_view text) const
    {
        return settings.load(Ini::parse(text, "s.ini"));
    }

    std::string mistakes(std::string_view text) const
    {
        std::string all;
        for (const Ini::Mistake &it : load(text).mistakes) {
            all += Ini::toString(it) + "\n";
        }
        return all;
    }
};

TEST(Declarations, WhatIsNotGivenHasItsDefault)
{
    const auto loaded = load("[shop]\nname = quarry\n");
    CHECK(loaded.values.has_value());
    CHECK(loaded.values->shop.name == "quarry");
    CHECK(loaded.values->shop.colour == Colour::Slate);
    CHECK(loaded.values->shop.towns.size() == 2);
    CHECK(loaded.values->limits.wait == Settings::Milliseconds(50));
    CHECK(!loaded.values->limits.peer);
}

TEST(Declarations, EveryKindOfValueIsRead)
{
    const auto loaded =
        load("[shop]\nname = q\ncolour = brass\ntowns = x\nopen = false\n"
             "[limits]\nwait_ms = 99\nsize_bytes = 0\ncount = 2\nip = ::1\npeer = 127.0.0.1:9\n");
    CHECK(loaded.values.has_value());
    CHECK(loaded.values->shop.colour == Colour::Brass);
    CHECK(loaded.values->shop.towns == std::vector<std::string>{"x"});
    CHECK(!loaded.values->shop.isOpen);
    CHECK(loaded.values->limits.wait == Settings::Milliseconds(99));
    CHECK(loaded.values->limits.size.value == 0);
    CHECK_EQUAL(2U, loaded.values->limits.count);
    CHECK(loaded.values->limits.ip.text == "::1");
    CHECK((loaded.values->limits.peer == Ini::Endpoint{"127.0.0.1", 9}));
}

TEST(Declarations, AllMistakesAreReportedAtOnce)
{
    STRCMP_EQUAL("s.ini:1: shop.name: missing, text\n"
                 "s.ini:2: shop.color: unknown key, did you mean 'colour'?\n"
                 "s.ini:3: shop.colour: 'gold' is no value of its kind, one of slate, brass\n"
                 "s.ini:4: shop.open: 'yes' is no value of its kind, true or false\n"
                 "s.ini:5: shop.open: the key is there since line 4, once\n"
                 "s.ini:6: limit: unknown section, did you mean 'limits'?\n"
                 "s.ini:8: limits.wait_ms: '100' is out of range, 1 to 99\n"
                 "s.ini:9: limits.ip: 'localhost' is no value of its kind, IP number\n"
                 "s.ini:10: limits.peer: 'x:1' is no value of its kind, IP:port or empty\n"
                 "s.ini:11: shop: the section is there since line 1, once\n",
                 mistakes("[shop]\ncolor = slate\ncolour = gold\nopen = yes\nopen = true\n[limit]\n"
                          "[limits]\nwait_ms = 100\nip = localhost\npeer = x:1\n[shop]\n")
                     .c_str());
}

TEST(Declarations, ASyntaxErrorLeavesNoValues)
{
    CHECK(!load("[shop]\nname = q\nnonsense\n").values);
}

TEST(Declarations, ThePrintedFileIsReadBackToTheDefaults)
{
    const std::string text = Settings::iniText(settings.descriptions());
    STRCMP_CONTAINS("; Longest wait.\n; milliseconds, 1 to 99; default: 50\nwait_ms = 50\n", text.c_str());
    STRCMP_EQUAL("s.ini:5: shop.name: missing, not empty\n", mistakes(text).c_str());
}

TEST(Declarations, HelpAndMarkdownNameEverySetting)
{
    const std::string help = Settings::helpText(settings.descriptions());
    const std::string page = Settings::markdownText(settings.descriptions(), "Settings");
    for (const Settings::SectionDescription &section : settings.descriptions()) {
        for (const Settings::KeyDescription &it : section.keys) {
            STRCMP_CONTAINS(("  " + it.key + "\n      " + it.explanation).c_str(), help.c_str());
            STRCMP_CONTAINS(("| `" + it.key + "` | " + it.kind).c_str(), page.c_str());
        }
    }
}
