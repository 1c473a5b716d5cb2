#include <fleet/fold.h>
#include <histories/history.h>
#include <record/codec.h>

#include <fmt/format.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace
{

constexpr std::size_t Pools = 175;
constexpr std::size_t Members = 8;
constexpr std::size_t Moves = 2000;
constexpr std::size_t Edits = 10'000; // exceeds RecordWindow::Capacity
constexpr int Repetitions = 5;
const Base::AvailabilityZoneName Zone{"a"};

struct BenchmarkCase {
    std::size_t instances = 0;
    std::size_t zones = 1; ///< over which the instances are spread; one of them is folded
};

/// The encoded records of both streams.
struct Log {
    std::vector<std::string> common;
    std::vector<std::string> zone;
};

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// The value of a field of /proc/self/status, in kB.
std::size_t readProcessStatus(const std::string &key)
{
    std::ifstream status("/proc/self/status");
    std::string name;
    std::size_t value = 0;
    while (status >> name) {
        if (name == key) {
            status >> value;
        }
    }
    return value;
}

/// The maximum growth of the resident memory during `work`, in kB.
std::size_t peakMemoryGrowth(const std::function<void()> &work)
{
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << 5; // resets VmHWM
    const std::size_t before = readProcessStatus("VmRSS:");
    work();
    return readProcessStatus("VmHWM:") - before;
}

double secondsOf(const std::function<void()> &work)
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Generates a log with joining members, moves of instances and edits of one instance each.
class LogWriter
{
public:
    explicit LogWriter(const BenchmarkCase &benchmarkCase)
        : m_document(Histories::makeDocument(benchmarkCase.instances, Pools, benchmarkCase.zones))
    {
        for (const Document::Instance &it : m_document.instances) {
            if (it.zone == Zone) {
                m_zoneInstances.push_back(it);
            }
        }
    }

    Log write()
    {
        edit(Histories::makeFullDelta(m_document));
        for (std::size_t n = 0; n < Members; ++n) {
            append(Fleet::MemberJoined{memberName(n), Zone}, {});
        }
        append(Fleet::PlannerClaimed{Zone, memberName(0), {}}, {});
        m_term = {m_log.zone.size()};
        for (std::size_t n = 0; n < Moves; ++n) {
            move(n);
            for (std::size_t k = 0; k < Edits / Moves; ++k) {
                Document::Delta delta;
                delta.setInstances.push_back(m_zoneInstances[(n * 7 + k) % m_zoneInstances.size()]);
                delta.setInstances.front().connections = static_cast<std::uint32_t>(n);
                edit(std::move(delta));
            }
        }
        return std::move(m_log);
    }

private:
    static Base::MemberName memberName(std::size_t n)
    {
        return {fmt::format("entry-a-{}-20261204", n)};
    }

    void edit(Document::Delta delta)
    {
        const Fleet::Offset base{m_log.common.size()};
        const std::string id = fmt::format("operator-4711-{}", base.value);
        m_log.common.push_back(Record::encode(
            Histories::makeRecord(id, Fleet::EditProposed{base, "operator", "", std::move(delta), {}})));
    }

    void append(Fleet::Event event, Fleet::Offset term)
    {
        const std::string id = fmt::format("entry-a-0-20261204-{}", m_log.zone.size());
        m_log.zone.push_back(
            Record::encode({id, memberName(0), term, {m_log.common.size()}, std::move(event), {}}));
    }

    void move(std::size_t n)
    {
        const Fleet::ActionId id{fmt::format("move-{}", n)};
        const std::size_t index = n % m_zoneInstances.size();
        Document::Instance &instance = m_zoneInstances[index];
        const Base::PoolName from = m_pools.try_emplace(index, instance.pool).first->second;
        const Base::PoolName to = m_document.pools[(n + index) % Pools].name;
        append(Fleet::MoveStarted{id, instance.name, from, to, "demand shifted for 60 s"}, m_term);
        for (std::size_t k = 0; k < Members; ++k) {
            append(Fleet::DrainAcknowledged{id, memberName(k)}, {});
        }
        append(Fleet::MoveCommitted{id}, m_term);
        if (from != to) {
            m_pools[index] = to;
        }
    }

    Document::Document m_document;
    std::vector<Document::Instance> m_zoneInstances;
    std::map<std::size_t, Base::PoolName> m_pools;
    Fleet::Offset m_term;
    Log m_log;
};

std::vector<Fleet::Entry> decodeAll(const std::vector<std::string> &bytes)
{
    std::vector<Fleet::Entry> entries;
    entries.reserve(bytes.size());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        entries.push_back(Record::decodeEntry({n + 1}, bytes[n]));
    }
    return entries;
}

std::size_t bytesOf(const std::vector<std::string> &records)
{
    std::size_t bytes = 0;
    for (const std::string &it : records) {
        bytes += it.size();
    }
    return bytes;
}

/// The seconds spent on each stream.
struct FoldTimes {
    double common = 0;
    double zone = 0;
};

/// Folds both streams in causal order.
FoldTimes foldAll(Fleet::Fold &fold, const Histories::History &history)
{
    FoldTimes times;
    auto common = history.common.begin();
    auto zone = history.zone.begin();
    while (zone != history.zone.end()) {
        times.zone += secondsOf([&] {
            while (zone != history.zone.end() && fold.applyZone(*zone).kind != Fleet::OutcomeKind::NotYet) {
                ++zone;
            }
        });
        if (common == history.common.end()) {
            break;
        }
        times.common += secondsOf([&] { fold.applyCommon(*common++); });
    }
    return times;
}

/// The printed results of one benchmark case; each member is a column.
struct Measurements {
    double decodesPerSecond = 0;
    double zonePerSecond = 0;
    double editsPerSecond = 0;
    std::size_t snapshotBytes = 0;
    double writeMilliseconds = 0;
    double readMilliseconds = 0;
    std::size_t writePeak = 0; ///< kB
    std::size_t readPeak = 0; ///< kB
    std::size_t stateBytes = 0;
};

Fleet::FleetState measureFold(const Log &log, Measurements &measurements)
{
    const Histories::History history{decodeAll(log.common), decodeAll(log.zone)};
    std::vector<double> decodeSeconds;
    std::vector<double> editSeconds;
    std::vector<double> zoneSeconds;
    Fleet::FleetState snapshot;
    for (int round = 0; round < Repetitions; ++round) {
        decodeSeconds.push_back(secondsOf([&] { decodeAll(log.zone); }));
        Fleet::Fold fold(Histories::installedCharts(), Zone);
        const FoldTimes times = foldAll(fold, history);
        editSeconds.push_back(times.common);
        zoneSeconds.push_back(times.zone);
        snapshot = fold.snapshot();
    }
    measurements.decodesPerSecond = static_cast<double>(log.zone.size()) / median(decodeSeconds);
    measurements.zonePerSecond = static_cast<double>(log.zone.size()) / median(zoneSeconds);
    measurements.editsPerSecond = static_cast<double>(log.common.size()) / median(editSeconds);
    return snapshot;
}

void measureSnapshot(const Fleet::FleetState &snapshot, Measurements &measurements)
{
    const Fleet::Record record = Histories::makeRecord("snapshot", Fleet::SnapshotTaken{snapshot});
    std::string bytes;
    std::vector<double> writeSeconds;
    std::vector<double> readSeconds;
    for (int round = 0; round < Repetitions; ++round) {
        writeSeconds.push_back(secondsOf([&] { bytes = Record::encode(record); }));
        readSeconds.push_back(secondsOf([&] { Record::decode(bytes); }));
    }
    measurements.snapshotBytes = bytes.size();
    measurements.writeMilliseconds = median(writeSeconds) * 1e3;
    measurements.readMilliseconds = median(readSeconds) * 1e3;
    measurements.writePeak = peakMemoryGrowth([&] { Record::encode(record); });
    measurements.readPeak = peakMemoryGrowth([&] { Record::decode(bytes); });
}

void measure(const BenchmarkCase &benchmarkCase)
{
    Measurements measurements;
    Fleet::FleetState snapshot;
    std::size_t zoneBytes = 0;
    std::size_t editBytes = 0;
    {
        const Log log = LogWriter(benchmarkCase).write();
        snapshot = measureFold(log, measurements);
        zoneBytes = bytesOf(log.zone) / log.zone.size();
        editBytes = (bytesOf(log.common) - log.common.front().size()) / (log.common.size() - 1);
    }
    measureSnapshot(snapshot, measurements);
    const std::size_t before = allocatedBytes();
    const Fleet::FleetState copy = snapshot;
    measurements.stateBytes = allocatedBytes() - before;

    fmt::print("{:>9} {:>5} {:>5} {:>6} ",
               benchmarkCase.instances,
               benchmarkCase.zones,
               copy.instances.size(),
               copy.recentZone.marks().size());
    fmt::print("{:>9.0f} {:>9.0f} {:>9.0f} {:>10} {:>8.2f} {:>8.2f} ",
               measurements.decodesPerSecond,
               measurements.zonePerSecond,
               measurements.editsPerSecond,
               measurements.snapshotBytes,
               measurements.writeMilliseconds,
               measurements.readMilliseconds);
    fmt::print("{:>8} {:>8} {:>9} {:>6} {:>6}\n",
               measurements.writePeak,
               measurements.readPeak,
               measurements.stateBytes,
               zoneBytes,
               editBytes);
}

} // namespace

int main()
{
    fmt::print("One zone's fold, {} pools, {} members; median of {} rounds\n", Pools, Members, Repetitions);
    fmt::print("{:>9} {:>5} {:>5} {:>6} ", "instances", "zones", "own", "window");
    fmt::print("{:>9} {:>9} {:>9} {:>10} {:>8} {:>8} ",
               "decode/s",
               "zone/s",
               "edits/s",
               "snapshot B",
               "write ms",
               "read ms");
    fmt::print("{:>8} {:>8} {:>9} {:>6} {:>6}\n", "write kB", "read kB", "state B", "rec B", "edit B");
    const BenchmarkCase benchmarkCases[] = {{50, 1}, {1000, 1}, {11'000, 1}, {11'000, 19}};
    for (const BenchmarkCase &it : benchmarkCases) {
        measure(it);
    }
}
