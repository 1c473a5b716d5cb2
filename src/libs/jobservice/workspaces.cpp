#include "workspaces.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_hash.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace JobService
{

namespace
{

// Names are part of record keys, which hold at most 255 bytes.
constexpr std::size_t MaxNameLength = 200;
constexpr std::size_t FingerprintLength = 8;

constexpr std::array Kinds{
    &Jobs::Resources::milliCores, &Jobs::Resources::memory, &Jobs::Resources::accelerators};

bool isAmount(const Jobs::Resources &resources)
{
    return std::all_of(Kinds.begin(), Kinds.end(), [&](const auto kind) { return resources.*kind >= 0; });
}

} // namespace

WorkspaceDirectory::WorkspaceDirectory()
    : m_salt(boost::uuids::random_generator()())
{
}

// A name-based UUID (RFC 4122, version 5) is a salted SHA-1 of the key.
boost::uuids::uuid WorkspaceDirectory::digestOf(std::string_view key) const
{
    return boost::uuids::name_generator_sha1(m_salt)(key.data(), key.size());
}

std::size_t WorkspaceDirectory::DigestHash::operator()(const boost::uuids::uuid &digest) const
{
    return boost::uuids::hash_value(digest);
}

void WorkspaceDirectory::add(Workspace workspace, std::span<const std::string> keys)
{
    if (workspace.name.empty() || workspace.name.size() > MaxNameLength) {
        throw std::invalid_argument("a workspace without a valid name");
    }
    if (named(workspace.name)) {
        throw std::invalid_argument("two workspaces named " + workspace.name);
    }
    if (!std::isfinite(workspace.weight) || workspace.weight < 0) {
        throw std::invalid_argument("invalid weight of workspace " + workspace.name);
    }
    if (!isAmount(workspace.quota)) {
        throw std::invalid_argument("invalid quota of workspace " + workspace.name);
    }
    for (const std::string &it : keys) {
        if (it.empty()) {
            throw std::invalid_argument("an empty key of workspace " + workspace.name);
        }
        const auto [entry, isNew] = m_byKey.try_emplace(digestOf(it), m_workspaces.size());
        if (!isNew && entry->second != m_workspaces.size()) {
            throw std::invalid_argument("a key of workspace " + workspace.name + " also belongs to "
                                        + m_workspaces[entry->second].name);
        }
    }
    m_workspaces.push_back(std::move(workspace));
}

const Workspace *WorkspaceDirectory::find(std::string_view key) const
{
    const auto it = m_byKey.find(digestOf(key));
    return it != m_byKey.end() ? &m_workspaces[it->second] : nullptr;
}

const Workspace *WorkspaceDirectory::named(std::string_view name) const
{
    const auto it = std::find_if(m_workspaces.begin(), m_workspaces.end(), [name](const auto &workspace) {
        return workspace.name == name;
    });
    return it != m_workspaces.end() ? &*it : nullptr;
}

std::span<const Workspace> WorkspaceDirectory::all() const
{
    return m_workspaces;
}

bool fitsQuota(const Jobs::JobSpec &job, const Workspace &workspace)
{
    return std::all_of(job.stages.begin(), job.stages.end(), [&](const Jobs::Stage &stage) {
        return !stage.isGang || std::all_of(Kinds.begin(), Kinds.end(), [&](const auto kind) {
            const std::int64_t quota = workspace.quota.*kind;
            return quota == 0 || stage.size.*kind * stage.count <= quota;
        });
    });
}

std::string keyFingerprint(std::string_view key)
{
    const auto digest = boost::uuids::name_generator_sha1(boost::uuids::ns::oid())(key.data(), key.size());
    return boost::uuids::to_string(digest).substr(0, FingerprintLength);
}

bool mayAccess(const Caller &caller, const Jobs::JobSpec &job)
{
    return job.workspace.empty() || job.workspace == caller.workspace
        || (!caller.publicQueue.empty() && caller.publicQueue == job.queue.name);
}

} // namespace JobService
