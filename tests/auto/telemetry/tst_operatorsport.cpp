#include "collector.h"

#include <runtime/eventloopthread.h>
#include <telemetry/telemetrythread.h>

#include <boost/system/system_error.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

TEST_GROUP(OperatorsPort)
{
    static constexpr std::size_t Capacity = 4;

    Telemetry::EventSink sink{Capacity};
    Runtime::EventLoopThread eventLoop{"telemetry"};
    Telemetry::TelemetryThread telemetry{eventLoop, {}};

    void setup() override
    {
        telemetry.addSink(sink);
        telemetry.addMetrics([] { return std::string("signs_total 7\n"); });
        telemetry.addPage("/readyz", [] { return Telemetry::Page{503, "text/plain", "not ready\n"}; });
        telemetry.start();
        eventLoop.start();
    }

    void teardown() override
    {
        eventLoop.stop();
    }
};

TEST(OperatorsPort, ServesPagesWithTheirStatus)
{
    const Answer answer = ask(telemetry.port(), "GET", "/readyz?verbose=1");
    LONGS_EQUAL(503, answer.status);
    STRCMP_EQUAL("text/plain", answer.contentType.c_str());
    STRCMP_EQUAL("not ready\n", answer.body.c_str());
}

TEST(OperatorsPort, RefusesWhatIsNotThere)
{
    LONGS_EQUAL(404, ask(telemetry.port(), "GET", "/rhubarb").status);
    LONGS_EQUAL(405, ask(telemetry.port(), "POST", "/readyz").status);
}

TEST(OperatorsPort, MetricsHoldWhatWasReportedJustBefore)
{
    sink.report(Telemetry::RequestDone{"preview", 200, std::nullopt, 5ms});
    const Answer answer = ask(telemetry.port(), "GET", "/metrics");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("text/plain; version=0.0.4", answer.contentType.c_str());
    STRCMP_CONTAINS(R"(rhubarbcrank_requests_total{service="preview",status="200",verdict="answered"} 1)",
                    answer.body.c_str());
    STRCMP_CONTAINS("rhubarbcrank_telemetry_dropped_total 0\n", answer.body.c_str());
    STRCMP_CONTAINS("signs_total 7\n", answer.body.c_str());
}

TEST(OperatorsPort, AnAddressInUseIsAnError)
{
    Runtime::EventLoopThread other("other");
    Telemetry::TelemetryLimits limits;
    limits.port = telemetry.port();
    CHECK_THROWS(boost::system::system_error, Telemetry::TelemetryThread(other, limits));
}

TEST_GROUP(EventSink){};

TEST(EventSink, DropsAndCountsWhatFindsItFull)
{
    constexpr std::uint64_t Reported = 10;
    constexpr std::size_t Capacity = 4;
    Telemetry::EventSink sink(Capacity);
    for (std::uint64_t n = 0; n < Reported; ++n) {
        sink.report(Telemetry::RequestDone{"preview", 200, std::nullopt, 1ms});
    }
    std::uint64_t taken = 0;
    sink.drain([&](Telemetry::Event &&) { ++taken; });
    LONGS_EQUAL(Capacity, taken);
    LONGS_EQUAL(Reported - Capacity, sink.dropped());
}
