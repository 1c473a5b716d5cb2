#include "requestmetrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <fmt/format.h>

#include <array>
#include <compare>
#include <map>

namespace accumulators = boost::accumulators;

namespace Telemetry
{

namespace
{

constexpr std::array<double, 4> Quantiles{0.5, 0.9, 0.99, 0.999};

using Latencies =
    accumulators::accumulator_set<double,
                                  accumulators::stats<accumulators::tag::count,
                                                      accumulators::tag::sum,
                                                      accumulators::tag::extended_p_square_quantile>>;

struct Outcome {
    std::string service;
    unsigned status = 0;
    std::string verdict;

    auto operator<=>(const Outcome &) const = default;
};

double seconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

class RequestMetrics::Private
{
public:
    Latencies &latenciesOf(const std::string &service)
    {
        return latencies
            .try_emplace(service, accumulators::tag::extended_p_square_quantile::probabilities = Quantiles)
            .first->second;
    }

    std::map<Outcome, std::uint64_t> outcomes;
    std::map<std::string, Latencies> latencies;
};

RequestMetrics::RequestMetrics()
    : d(std::make_unique<Private>())
{
}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::add(const RequestDone &done)
{
    const std::string verdict = done.verdict ? std::string(Base::toString(*done.verdict)) : "answered";
    ++d->outcomes[{done.service, done.status, verdict}];
    d->latenciesOf(done.service)(seconds(done.latency));
}

std::string RequestMetrics::text() const
{
    MetricsText text;
    text.family("rhubarbcrank_requests_total", "counter", "Requests ended, by service, status and verdict.");
    for (const auto &[outcome, n] : d->outcomes) {
        text.sample(static_cast<double>(n),
                    fmt::format("service=\"{}\",status=\"{}\",verdict=\"{}\"",
                                escapedLabel(outcome.service),
                                outcome.status,
                                outcome.verdict));
    }
    text.family("rhubarbcrank_request_seconds", "summary", "Latency of requests, by service.");
    for (const auto &[service, set] : d->latencies) {
        const std::string label = fmt::format("service=\"{}\"", escapedLabel(service));
        for (const double it : Quantiles) {
            text.sample(accumulators::quantile(set, accumulators::quantile_probability = it),
                        fmt::format("{},quantile=\"{}\"", label, it));
        }
        text.sample(accumulators::sum(set), label, "_sum");
        text.sample(static_cast<double>(accumulators::count(set)), label, "_count");
    }
    return text.text();
}

MetricsText &MetricsText::family(std::string_view name, std::string_view type, std::string_view help)
{
    m_name = name;
    m_text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
    return *this;
}

MetricsText &MetricsText::sample(double value, std::string_view labels, std::string_view suffix)
{
    const std::string braces = labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
    m_text += fmt::format("{}{}{} {}\n", m_name, suffix, braces, value);
    return *this;
}

const std::string &MetricsText::text() const
{
    return m_text;
}

std::string escapedLabel(std::string_view value)
{
    std::string text;
    for (const char it : value) {
        if (it == '\\' || it == '"') {
            text += '\\';
        }
        if (it == '\n') {
            text += "\\n";
        } else {
            text += it;
        }
    }
    return text;
}

} // namespace Telemetry
