#include <telemetry/requestmetrics.h>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

TEST_GROUP(RequestMetrics){};

TEST(RequestMetrics, LabelsAreEscaped)
{
    STRCMP_EQUAL("plain", Telemetry::escapedLabel("plain").c_str());
    STRCMP_EQUAL(R"(a\\b\"c\nd)", Telemetry::escapedLabel("a\\b\"c\nd").c_str());
    STRCMP_EQUAL(R"(\\n)", Telemetry::escapedLabel("\\n").c_str());
}

TEST(RequestMetrics, AFamilyComesBeforeItsSamples)
{
    Telemetry::MetricsText text;
    text.family("signs_total", "counter", "Signs made.").sample(3).sample(2.5, "kind=\"slate\"");
    text.family("wait", "summary", "Waits.").sample(7, {}, "_count");
    STRCMP_EQUAL("# HELP signs_total Signs made.\n# TYPE signs_total counter\nsigns_total 3\n"
                 "signs_total{kind=\"slate\"} 2.5\n# HELP wait Waits.\n# TYPE wait summary\nwait_count 7\n",
                 text.text().c_str());
}

TEST(RequestMetrics, OutcomesAreCountedApart)
{
    Telemetry::RequestMetrics metrics;
    metrics.add({"say \"hi\"", 200, std::nullopt, 10ms});
    metrics.add({"say \"hi\"", 200, std::nullopt, 30ms});
    metrics.add({"say \"hi\"", 503, Base::Verdict::NotRun, 20ms});
    const std::string text = metrics.text();
    const std::string service = R"(service="say \"hi\"")";
    STRCMP_CONTAINS(
        ("rhubarbcrank_requests_total{" + service + ",status=\"200\",verdict=\"answered\"} 2\n").c_str(),
        text.c_str());
    STRCMP_CONTAINS(
        ("rhubarbcrank_requests_total{" + service + ",status=\"503\",verdict=\"not-run\"} 1\n").c_str(),
        text.c_str());
    STRCMP_CONTAINS(("rhubarbcrank_request_seconds_count{" + service + "} 3\n").c_str(), text.c_str());
    STRCMP_CONTAINS(("rhubarbcrank_request_seconds_sum{" + service + "} 0.06\n").c_str(), text.c_str());
}
