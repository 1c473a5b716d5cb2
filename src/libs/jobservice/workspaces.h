#pragma once

#include <jobs/jobspec.h>

#include <boost/uuid/uuid.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace JobService
{

/// A group of callers that share keys, a quota and a weight.
struct Workspace {
    std::string name;
    double weight = 0; ///< accepted load in jobs per second, and its share of overloaded workers
    Jobs::Resources quota; ///< what its jobs may have running on all workers; 0: no limit
};

/// The workspaces of a configuration and their keys. Keeps digests of the keys only.
class WorkspaceDirectory
{
public:
    WorkspaceDirectory();

    /// Throws std::invalid_argument, without naming the key, if one of `keys` belongs to another workspace,
    /// the name is already taken, or the weight or the quota is not a valid amount.
    void add(Workspace workspace, std::span<const std::string> keys);

    /// The workspace of the key; null if there is none. The comparison does not depend on the contents of
    /// other keys.
    const Workspace *find(std::string_view key) const;
    /// The workspace of that name; null if there is none.
    const Workspace *named(std::string_view name) const;
    std::span<const Workspace> all() const;

private:
    struct DigestHash {
        std::size_t operator()(const boost::uuids::uuid &digest) const;
    };

    boost::uuids::uuid digestOf(std::string_view key) const;

    boost::uuids::uuid m_salt;
    std::vector<Workspace> m_workspaces;
    std::unordered_map<boost::uuids::uuid, std::size_t, DigestHash> m_byKey;
};

/// Whether each stage whose tasks run together could run within the workspace's quota.
bool fitsQuota(const Jobs::JobSpec &job, const Workspace &workspace);

/// A short digest that is the same in all processes, by which operators can tell keys apart.
std::string keyFingerprint(std::string_view key);

/// Who asks for a job.
struct Caller {
    std::string workspace; ///< of the caller's key; empty on a public route
    std::string publicQueue; ///< the queue of a public route, whose jobs need no key

    bool operator==(const Caller &) const = default;
};

/// Whether the caller may read or cancel the job.
bool mayAccess(const Caller &caller, const Jobs::JobSpec &job);

} // namespace JobService
