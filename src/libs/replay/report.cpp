#include "report.h"

#include "reportbuilder_p.h"
#include "walk.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <iterator>
#include <string_view>
#include <utility>

namespace Replay
{

namespace
{

double secondsOf(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void appendLine(std::string &text, std::string_view name, const PoolReport &pool)
{
    fmt::format_to(std::back_inserter(text),
                   "{:<24} {:>14.1f} {:>8.3f} {:>8} {:>9} {:>8} {:>8} {:>8} {:>12.1f}\n",
                   name,
                   pool.idleSlotSeconds,
                   pool.bufferShare(),
                   pool.movesIn,
                   pool.movesOut,
                   pool.abortedMoves,
                   pool.reboots,
                   pool.failedReboots,
                   secondsOf(pool.rollOutTime));
}

boost::json::object toObject(const PoolReport &pool)
{
    return {{"idleSlotSeconds", pool.idleSlotSeconds},
            {"slotSeconds", pool.slotSeconds},
            {"bufferShare", pool.bufferShare()},
            {"movesIn", pool.movesIn},
            {"movesOut", pool.movesOut},
            {"abortedMoves", pool.abortedMoves},
            {"reboots", pool.reboots},
            {"failedReboots", pool.failedReboots},
            {"rollOutSeconds", secondsOf(pool.rollOutTime)}};
}

boost::json::object toObject(const Sample &sample)
{
    return {{"seconds", secondsOf(sample.at)},
            {"availableSlots", sample.availableSlots},
            {"busySlots", sample.busySlots},
            {"moves", sample.movesSoFar}};
}

} // namespace

double PoolReport::bufferShare() const
{
    return slotSeconds > 0 ? idleSlotSeconds / slotSeconds : 0;
}

Report report(const Fleet::Fold &start, const Streams &streams)
{
    Internal::ReportBuilder builder;
    Fleet::Fold fold = start;
    walk(fold, streams, [&](const Step &step) { builder.add(step); });
    return builder.finished(fold.state().zone);
}

std::string toText(const Report &report)
{
    std::string text = fmt::format("zone {}: observed for {:.1f} s, {} edits accepted, {} refused\n",
                                   report.zone.value,
                                   secondsOf(report.observedTime),
                                   report.acceptedEdits,
                                   report.refusedEdits);
    fmt::format_to(std::back_inserter(text),
                   "{:<24} {:>14} {:>8} {:>8} {:>9} {:>8} {:>8} {:>8} {:>12}\n",
                   "pool",
                   "idle slot s",
                   "buffer",
                   "moves in",
                   "moves out",
                   "aborted",
                   "reboots",
                   "failed",
                   "roll-out s");
    for (const PoolReport &it : report.pools) {
        appendLine(text, it.pool.value, it);
    }
    appendLine(text, "total", report.total);
    return text;
}

std::string toJson(const Report &report)
{
    boost::json::object pools;
    for (const PoolReport &it : report.pools) {
        pools[it.pool.value] = toObject(it);
    }
    boost::json::array samples;
    for (const Sample &it : report.samples) {
        samples.push_back(toObject(it));
    }
    const boost::json::object root{{"zone", report.zone.value},
                                   {"observedSeconds", secondsOf(report.observedTime)},
                                   {"acceptedEdits", report.acceptedEdits},
                                   {"refusedEdits", report.refusedEdits},
                                   {"total", toObject(report.total)},
                                   {"pools", std::move(pools)},
                                   {"samples", std::move(samples)}};
    return boost::json::serialize(root);
}

} // namespace Replay
