#pragma once

#include "job.h"
#include "shardcommands.h"

#include <optional>
#include <string>
#include <string_view>

namespace Jobs
{

/// The keys of a job's two records: what was handed in, and how far it is.
std::string specKey(std::string_view job);
std::string progressKey(std::string_view job);

/// The key of the record that says which shard has the job instead.
std::string redirectKey(std::string_view job);

struct RedirectRecord {
    ShardNumber shard = 0;
    WallTime since{};
};

std::string encodeRedirect(const RedirectRecord &record);
/// Nothing when the text isn't one.
std::optional<RedirectRecord> decodeRedirect(std::string_view text);

std::string encodeSpec(const JobSpec &spec, WallTime acceptedAt);
std::string encodeProgress(const Job &job);

/// A specification as encodeSpec() wrote it; nothing when the text isn't one.
std::optional<Job> decodeSpec(std::string_view text);
/// Sets the progress of `job`; false when the text is none for it, and `job` is then as before.
bool decodeProgress(std::string_view text, Job &job);

} // namespace Jobs
