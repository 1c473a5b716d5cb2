#pragma once

#include "span.h"

#include <span>
#include <string>
#include <string_view>

namespace Telemetry
{

/// The body of an OTLP/HTTP JSON export (ExportTraceServiceRequest). `wallClockOffset` is what has to be
/// added to an Instant to get the time since the Unix epoch.
std::string
encodeSpans(std::span<const Span> spans, std::string_view instanceName, Base::Duration wallClockOffset);

} // namespace Telemetry
