#pragma once

#include "messages.h"

#include <concepts>
#include <span>
#include <string_view>

namespace Platform
{

/// The append-only log. Every callback is called exactly once, later, on the service's own thread.
template<typename Service>
concept LogService = requires(Service &service,
                              std::string_view stream,
                              std::span<const LogRecord> records,
                              const ReadRequest &request,
                              Offset before,
                              AppendCallback appended,
                              ReadCallback hasRead,
                              TrimCallback trimmed)
{
    {
        service.append(stream, records, appended)
        } -> std::same_as<void>;
    {
        service.read(request, hasRead)
        } -> std::same_as<void>;
    {
        service.trim(stream, before, trimmed)
        } -> std::same_as<void>;
};

/// The lagging list of live and leaving instances.
template<typename Service>
concept InstanceList = requires(Service &service, ListCallback listed)
{
    {
        service.listInstances(listed)
        } -> std::same_as<void>;
};

/// What the platform does to an instance on request.
template<typename Service>
concept InstanceActions = requires(Service &service, const InstanceAction &action, ActionCallback acted)
{
    {
        service.act(action, acted)
        } -> std::same_as<void>;
};

} // namespace Platform
