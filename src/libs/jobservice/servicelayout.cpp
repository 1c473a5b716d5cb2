#include "servicelayout.h"

#include "checksum.h"

#include <ini/values.h>
#include <jobs/placement.h>

#include <algorithm>
#include <cctype>

namespace JobService
{

namespace
{

// Number of workers per cell that an owner with half a core can control during a peak of five times the
// pool's mean load (docs/CAPACITY.md).
constexpr std::size_t WorkersPerCell = 64;

// Racks are usually numbered within their zones, as in "r2-7". The sum of the numbers distributes the racks
// of each zone evenly over the cells, which a checksum of some tens of names does not.
std::size_t rackOrdinal(std::string_view rack)
{
    std::size_t sum = 0;
    std::size_t number = 0;
    bool hasNumber = false;
    for (const char it : rack) {
        if (std::isdigit(static_cast<unsigned char>(it)) != 0) {
            number = number * 10 + static_cast<std::size_t>(it - '0');
            hasNumber = true;
        } else {
            sum += std::exchange(number, 0);
        }
    }
    return hasNumber ? sum + number : checksum(rack);
}

std::size_t cellCount(const ServiceSize &service)
{
    return std::max<std::size_t>(1, (service.workers + WorkersPerCell / 2) / WorkersPerCell);
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        parts.push_back(part);
    }
    return parts;
}

} // namespace

ServiceLayout::ServiceLayout(std::uint32_t shards)
    : m_shards(std::max<std::uint32_t>(1, shards))
{
}

void ServiceLayout::load(std::string_view service, std::string_view numbers)
{
    std::vector<ShardNumber> cells;
    for (const std::string_view it : split(numbers)) {
        const auto value = Ini::toInteger(it);
        if (!value) {
            return;
        }
        cells.push_back(static_cast<ShardNumber>(*value % m_shards));
    }
    if (!cells.empty()) {
        m_cells[std::string(service)] = std::move(cells);
    }
}

std::span<const ShardNumber> ServiceLayout::cellsOf(std::string_view service) const
{
    const auto it = m_cells.find(service);
    return it != m_cells.end() ? std::span<const ShardNumber>(it->second) : std::span<const ShardNumber>();
}

std::vector<ShardNumber> ServiceLayout::cellsOf(const std::set<std::string> &services) const
{
    std::set<ShardNumber> shards;
    for (const std::string &it : services) {
        const auto cells = cellsOf(it);
        shards.insert(cells.begin(), cells.end());
    }
    return {shards.begin(), shards.end()};
}

std::optional<ShardNumber> ServiceLayout::homeShardOf(std::string_view service, std::string_view job) const
{
    const auto cells = cellsOf(service);
    if (cells.empty()) {
        return std::nullopt;
    }
    return cells.size() == 1 ? cells.front() : cells[checksum(job) % cells.size()];
}

std::vector<ShardNumber> ServiceLayout::homeShardsOf(const std::set<std::string> &services,
                                                     std::string_view job) const
{
    std::set<ShardNumber> shards;
    for (const std::string &it : services) {
        if (const auto home = homeShardOf(it, job)) {
            shards.insert(*home);
        }
    }
    return {shards.begin(), shards.end()};
}

std::set<std::string> ServiceLayout::services() const
{
    std::set<std::string> names;
    for (const auto &[service, cells] : m_cells) {
        names.insert(service);
    }
    return names;
}

std::optional<ShardNumber> ServiceLayout::shardOf(const Jobs::WorkerInfo &worker) const
{
    const auto cells = cellsOf(worker.service);
    if (cells.empty()) {
        return std::nullopt;
    }
    return cells.size() == 1 ? cells.front() : cells[rackOrdinal(worker.rack) % cells.size()];
}

std::size_t ServiceLayout::cellOf(std::string_view service, std::string_view rack) const
{
    const auto cells = cellsOf(service);
    return cells.size() < 2 ? 0 : rackOrdinal(rack) % cells.size();
}

bool ServiceLayout::isComplete(std::span<const std::string> services) const
{
    return std::all_of(
        services.begin(), services.end(), [this](const auto &it) { return m_cells.count(it) > 0; });
}

// Cells of one service get consecutive numbers, because the platform assigns these to different members.
std::vector<Jobs::Record> ServiceLayout::missing(std::span<const ServiceSize> services) const
{
    std::vector<ServiceSize> added;
    std::size_t wanted = 0;
    for (const ServiceSize &it : services) {
        if (m_cells.count(it.service) == 0) {
            added.push_back(it);
            wanted += cellCount(it);
        }
    }
    std::sort(added.begin(), added.end(), [](const auto &a, const auto &b) { return a.service < b.service; });
    const std::size_t usable = std::max<std::size_t>(1, m_shards - 1);
    std::size_t next = size();
    const std::size_t free = next < usable ? usable - next : 0;
    std::vector<Jobs::Record> records;
    records.reserve(added.size());
    for (const ServiceSize &it : added) {
        std::size_t cells = cellCount(it);
        if (wanted > free) {
            cells = std::max<std::size_t>(1, cells * free / wanted);
        }
        std::string numbers;
        for (std::size_t n = 0; n < cells; ++n) {
            numbers += (n > 0 ? "," : "") + std::to_string(next++ % usable);
        }
        records.push_back({it.service, std::move(numbers)});
    }
    return records;
}

std::size_t ServiceLayout::cellsBeside(ShardNumber shard) const
{
    const auto it = std::find_if(m_cells.begin(), m_cells.end(), [shard](const auto &cells) {
        return std::find(cells.second.begin(), cells.second.end(), shard) != cells.second.end();
    });
    return it != m_cells.end() ? it->second.size() : 0;
}

bool ServiceLayout::hasService(ShardNumber shard) const
{
    return cellsBeside(shard) > 0;
}

std::size_t ServiceLayout::size() const
{
    std::size_t sum = 0;
    for (const auto &[service, cells] : m_cells) {
        sum += cells.size();
    }
    return sum;
}

// Long-running jobs are all placed in the first cell. Each cell with such jobs has to keep as many workers as
// are needed to run their tasks on separate workers, even while the pool is idle.
ShardNumber chooseShard(const Jobs::JobSpec &spec,
                        ShardNumber home,
                        const ServiceLayout &layout,
                        std::span<const Jobs::WorkerInfo> workers)
{
    const auto cells = layout.cellsOf(spec.queue.service);
    if (cells.size() < 2) {
        return home;
    }
    if (spec.isLongRunning()) {
        return cells.front();
    }
    std::map<ShardNumber, std::vector<const Jobs::WorkerInfo *>> byShard;
    for (const Jobs::WorkerInfo &it : workers) {
        if (it.service == spec.queue.service) {
            byShard[*layout.shardOf(it)].push_back(&it);
        }
    }
    const auto couldRun = [&spec](const auto &list) {
        return std::all_of(spec.stages.begin(), spec.stages.end(), [&list](const Jobs::Stage &it) {
            return Jobs::canBePlaced(it, list);
        });
    };
    const bool hasDataRack = std::any_of(
        spec.stages.begin(), spec.stages.end(), [](const Jobs::Stage &it) { return !it.dataRack.empty(); });
    if (!hasDataRack && couldRun(byShard[home])) {
        return home;
    }
    std::optional<ShardNumber> best;
    std::size_t mostLocalStages = 0;
    for (const auto &it : byShard) {
        const auto &list = it.second;
        if (!couldRun(list)) {
            continue;
        }
        const auto hasRack = [&list](const std::string &rack) {
            return std::any_of(
                list.begin(), list.end(), [&rack](const auto *worker) { return worker->rack == rack; });
        };
        const auto localStages = static_cast<std::size_t>(
            std::count_if(spec.stages.begin(), spec.stages.end(), [&hasRack](const Jobs::Stage &stage) {
                return !stage.dataRack.empty() && hasRack(stage.dataRack);
            }));
        if (!best || localStages > mostLocalStages || (localStages == mostLocalStages && it.first == home)) {
            best = it.first;
            mostLocalStages = localStages;
        }
    }
    return best.value_or(home);
}

} // namespace JobService
