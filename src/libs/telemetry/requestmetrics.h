#pragma once

#include "span.h"

#include <memory>
#include <string>

namespace Telemetry
{

/// Counts and latency quantiles of requests by service and outcome.
class RequestMetrics
{
public:
    RequestMetrics();
    ~RequestMetrics();

    void add(const RequestDone &done);

    /// The Prometheus text format, version 0.0.4.
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

/// Builds metrics in the Prometheus text format.
class MetricsText
{
public:
    /// Starts a family; `type` is "counter", "gauge" or "summary".
    MetricsText &family(std::string_view name, std::string_view type, std::string_view help);

    /// Adds a sample of the family started last, with labels as `key="value"` pairs.
    MetricsText &sample(double value, std::string_view labels = {}, std::string_view suffix = {});
    const std::string &text() const;

private:
    std::string m_name;
    std::string m_text;
};

/// A label value with the characters escaped that the format demands.
std::string escapedLabel(std::string_view value);

} // namespace Telemetry
