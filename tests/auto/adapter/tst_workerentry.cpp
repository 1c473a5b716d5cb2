#include <platform/codec.h>

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <string_view>

namespace
{

std::string entryWith(std::string_view address, std::string_view cores, std::string_view more)
{
    return R"({"Service":"s","Address":")" + std::string(address)
        + R"(","Zone":"z","State":"ready","Labels":["a","r1"],"Capacity":{"Cpu":)" + std::string(cores)
        + R"(,"MemMb":64,"Gpu":0})" + std::string(more) + "}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

void checkRejected(const std::string &entry)
{
    CHECK_TEXT(!Platform::decodeWorker("w", entry), entry.substr(0, 200).c_str());
}

} // namespace

TEST_GROUP(WorkerEntry){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(WorkerEntry, AnEntryIsRead)
{
    const auto worker =
        Platform::decodeWorker("w", entryWith("10.1.0.9:8102", "8000", R"(,"RemainingMs":900,"born":77)"));
    CHECK(worker.has_value());
    CHECK(worker->capacity == (Jobs::Resources{8000, 64, 0}));
    CHECK(worker->drainTimeLeft == Jobs::Milliseconds(900));
    LONGS_EQUAL(77, worker->startTime);
}

// Guards against processes that end, or stop following the list of workers, because of one entry of another
// writer.
TEST(WorkerEntry, DeeplyNestedEntriesAreRejected)
{
    for (const std::size_t depth : {100, 20'000, 1'000'000}) {
        checkRejected(entryWith("10.1.0.9:8102", "8000", R"(,"x":)" + nested(depth)));
        checkRejected(nested(depth));
        checkRejected(std::string(depth, '['));
    }
}

TEST(WorkerEntry, NumbersOutOfRangeAreRejected)
{
    const std::string digits(400, '9');
    for (const std::string &it : {digits, "-" + digits, std::string("1e999"), std::string("1e300")}) {
        checkRejected(entryWith("10.1.0.9:8102", it, {}));
        checkRejected(entryWith("10.1.0.9:8102", "8000", R"(,"RemainingMs":)" + it));
        checkRejected(entryWith("10.1.0.9:8102", "8000", R"(,"born":)" + it));
    }
    // Sums and deadlines with these would exceed their type.
    for (const char *it : {"9223372036854775807", "-9223372036854775808", "18446744073709551615", "-1"}) {
        checkRejected(entryWith("10.1.0.9:8102", it, {}));
        checkRejected(entryWith("10.1.0.9:8102", "8000", R"(,"RemainingMs":)" + std::string(it)));
        checkRejected(entryWith("10.1.0.9:8102", "8000", R"(,"born":)" + std::string(it)));
    }
}

TEST(WorkerEntry, AddressesThatCannotBeCalledAreRejected)
{
    for (const char *it : {"10.1.0.9:70000",
                           "10.1.0.9:65536",
                           "10.1.0.9:99999999999999999999",
                           "10.1.0.9:0",
                           "10.1.0.9:-1",
                           "10.1.0.9:",
                           "10.1.0.9",
                           ":8102",
                           "",
                           "host:8102",
                           "10.1.0.9:8102 "}) {
        checkRejected(entryWith(it, "8000", {}));
    }
}

TEST(WorkerEntry, ForeignBytesAreRejected)
{
    std::string bytes;
    for (int n = 0; n < 256; ++n) {
        bytes += static_cast<char>(n);
    }
    checkRejected(bytes);
    checkRejected(std::string(10, '\0'));
    checkRejected({});
}
