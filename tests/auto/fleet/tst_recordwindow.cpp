#include <fleet/recordwindow.h>

#include <CppUTest/TestHarness.h>

#include <string>

using Fleet::RecordWindow;

TEST_GROUP(RecordWindow){};

TEST(RecordWindow, HoldsNoMoreThanItsCapacity)
{
    RecordWindow window;
    for (std::size_t n = 1; n <= RecordWindow::Capacity + 10; ++n) {
        window.remember({n}, std::to_string(n));
    }
    LONGS_EQUAL(RecordWindow::Capacity, window.marks().size());
    CHECK(!window.contains("10"));
    CHECK(window.contains("11"));
}

TEST(RecordWindow, RemovingTheNewestRestoresTheOldest)
{
    RecordWindow window;
    for (std::size_t n = 1; n <= RecordWindow::Capacity; ++n) {
        window.remember({n}, std::to_string(n));
    }
    const RecordWindow before = window;
    const auto evicted = window.remember({RecordWindow::Capacity + 1}, "newest");
    CHECK(evicted.has_value());
    window.removeNewest(evicted);
    CHECK(window == before);
    CHECK(window.contains("1"));
    CHECK(!window.contains("newest"));
}

TEST(RecordWindow, IsEqualWhenRebuiltFromItsMarks)
{
    RecordWindow window;
    window.remember({3}, "a");
    window.remember({7}, "b");
    const RecordWindow copy = RecordWindow::fromMarks(window.marks());
    CHECK(copy == window);
    CHECK(copy.contains("a"));
}
