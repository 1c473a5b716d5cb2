#pragma once

#include "job.h"
#include "shardcommands.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Jobs
{

/// The keys of the two records of a job: its specification and its progress.
std::string specKey(std::string_view job);
std::string progressKey(std::string_view job);

/// The key of the record that redirects a job to another shard.
std::string redirectKey(std::string_view job);

struct RedirectRecord {
    ShardNumber shard = 0;
    WallTime since{};
};

std::string encodeRedirect(const RedirectRecord &record);
/// Empty if the text is not a valid record.
std::optional<RedirectRecord> decodeRedirect(std::string_view text);

/// The key of the record of leases whose end a later owner of the shard could not know.
extern const std::string_view LeasesKey;

/// The time until the lease of a worker ends, by worker.
using LeaseTimes = std::map<std::string, Milliseconds, std::less<>>;

std::string encodeLeases(const LeaseTimes &leases);
/// Empty if the text is not a valid record.
std::optional<LeaseTimes> decodeLeases(std::string_view text);

/// The key of the record of the workers' incarnations that the owner knows.
extern const std::string_view IncarnationsKey;

/// Start time in ms by worker.
using Incarnations = std::map<std::string, std::int64_t, std::less<>>;

std::string encodeIncarnations(const Incarnations &incarnations);
/// Empty if the text is not a valid record.
std::optional<Incarnations> decodeIncarnations(std::string_view text);

std::string encodeSpec(const JobSpec &spec, WallTime acceptedAt);
/// The time until a run that is not confirmed has ended by all leases; nothing if that is not known.
using UnconfirmedTime = std::function<std::optional<Milliseconds>(std::uint32_t stage, const Task &task)>;

/// Without `timeLeft` only whether runs are confirmed is recorded.
std::string encodeProgress(const Job &job, const UnconfirmedTime &timeLeft = {});

/// Decodes the result of encodeSpec(). Empty if the text is not a valid specification.
std::optional<Job> decodeSpec(std::string_view text);
/// Sets the progress of `job`. Returns false and leaves `job` unchanged if the text is not valid progress for
/// it.
bool decodeProgress(std::string_view text, Job &job);

} // namespace Jobs
