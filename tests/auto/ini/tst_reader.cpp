#include <ini/reader.h>

#include <string>

#include <CppUTest/TestHarness.h>

TEST_GROUP(Reader)
{
    Ini::Parsed parsed;

    void parse(std::string_view text)
    {
        parsed = Ini::parse(text, "f.ini");
    }

    std::string mistakes() const
    {
        std::string text;
        for (const Ini::Mistake &it : parsed.mistakes) {
            text += Ini::toString(it) + "\n";
        }
        return text;
    }
};

TEST(Reader, KeepsTheLineOfEverySectionAndKey)
{
    parse("\xef\xbb\xbf; comment\n\n[pool slate]\nzone = a\n  spare=true ; inline\r\n[empty]\n");
    STRCMP_EQUAL("", mistakes().c_str());
    const Ini::File expected{"f.ini",
                             {{"pool slate", 3, {{"zone", "a", 4}, {"spare", "true", 5}}}, {"empty", 6, {}}}};
    CHECK(parsed.file == expected);
}

TEST(Reader, KeepsRepeatedSectionsAndKeys)
{
    parse("[a]\nk = 1\nk = 2\n[b]\n[a]\nk = 3");
    STRCMP_EQUAL("", mistakes().c_str());
    const Ini::File expected{
        "f.ini", {{"a", 1, {{"k", "1", 2}, {"k", "2", 3}}}, {"b", 4, {}}, {"a", 5, {{"k", "3", 6}}}}};
    CHECK(parsed.file == expected);
}

TEST(Reader, ReportsEverySyntaxError)
{
    parse("early = 1\n[a]\nnonsense\n= 3\n[b\nlost = 1\n[c] junk\n[d]\nk = \x02\nk = 4\n");
    STRCMP_EQUAL("f.ini:1: a key before the first section, [section]\n"
                 "f.ini:3: a: neither a section, a key with a value, nor a comment, key = value\n"
                 "f.ini:4: a: a value without a key, key = value\n"
                 "f.ini:5: the section's header is not whole, [section]\n"
                 "f.ini:7: the section's header is not whole, [section]\n"
                 "f.ini:9: d: the line has a control character, printable characters\n",
                 mistakes().c_str());
    CHECK(parsed.file.sections.back() == (Ini::Section{"d", 8, {{"k", "4", 10}}}));
}

TEST(Reader, NeverCutsALongLine)
{
    std::size_t longest = 0;
    for (std::size_t n = 1; n < 400; ++n) {
        const std::string value(n, 'x');
        parse("[a]\nk = " + value + "\nnext = 1\n");
        const auto &entries = parsed.file.sections.front().entries;
        if (parsed.mistakes.empty()) {
            STRCMP_EQUAL(value.c_str(), entries.front().value.c_str());
            longest = n;
        } else {
            CHECK_EQUAL(2, parsed.mistakes.front().line);
            STRCMP_EQUAL("the line is too long", parsed.mistakes.front().what.c_str());
        }
        CHECK(entries.back() == (Ini::Entry{"next", "1", 3}));
    }
    CHECK(longest > 100 && longest < 399);
}

TEST(Reader, NeverCutsALongSectionName)
{
    for (std::size_t n = 1; n < 190; ++n) {
        const std::string name(n, 's');
        parse("[" + name + "]\nk = 1\n");
        CHECK_EQUAL(parsed.mistakes.empty() ? 1U : 0U, parsed.file.sections.size());
        if (parsed.mistakes.empty()) {
            STRCMP_EQUAL(name.c_str(), parsed.file.sections.front().name.c_str());
        }
    }
}

TEST(Reader, ReadsBackWhatItPrints)
{
    parse("[a]\nk = 1, 2\nk =\n[b c]\n");
    const Ini::Parsed again = Ini::parse(Ini::print(parsed.file), "f.ini");
    STRCMP_EQUAL("[a]\nk = 1, 2\nk =\n\n[b c]\n", Ini::print(parsed.file).c_str());
    STRCMP_EQUAL(Ini::print(parsed.file).c_str(), Ini::print(again.file).c_str());
}

TEST(Reader, AFileThatIsNotThereIsAMistake)
{
    parsed = Ini::parseFile(RHUBARBCRANK_SHARE "/not-there.ini");
    CHECK_EQUAL(1U, parsed.mistakes.size());
}
