#include "runtimes.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <exception>
#include <numeric>
#include <vector>

namespace Jobs
{

namespace
{

namespace json = boost::json;

// Number of independent runs after which one counts for 1/e. Short enough to follow a sudden change within
// some tens of runs.
constexpr double Memory = 40;

// The same for the distribution, whose tail is made of few runs.
constexpr double RatioMemory = 400;

// After this time, in seconds, a run counts half, however many came after it.
constexpr double HalfLife = 600;

// Fewer independent runs prove nothing.
constexpr double MinRuns = 12;

// Fewer runs say nothing about the distribution.
constexpr double MinRatioRuns = 20;

// The declared times count as this many runs that took as long as declared, and were spread by that variance.
constexpr double PriorRuns = 1;
constexpr double PriorVariance = 0.3;

// The learned prediction is used once its error is below the first share of the other's error, and no more
// once it is above the second.
constexpr double ClearlyBetter = 0.7;
constexpr double NoLongerBetter = 0.85;

// Declared times with an error below this need no correction: measuring is not more precise.
constexpr double SmallError = 0.05;

// A single run counts as at most this far from its prediction, as a logarithm, so that a few that hang don't
// shift the typical time.
constexpr double MaxSurprise = 1.4;

constexpr int BinsPerOctave = 3;
constexpr int LowestOctave = -3;

// Numbers in records are in thousandths.
constexpr double RecordScale = 1000;

constexpr int RecordVersion = 1;

double logarithm(Milliseconds time)
{
    return std::log(double(std::max<std::int64_t>(1, time.count())));
}

double logarithm(const StageTimes &times)
{
    return times.logSum / times.count;
}

Milliseconds fromMilliseconds(double time)
{
    return Milliseconds(std::llround(time));
}

std::size_t binOf(double ratio)
{
    const double n = (std::log2(std::max(ratio, 1e-6)) - LowestOctave) * BinsPerOctave;
    return static_cast<std::size_t>(std::clamp(n, 0.0, double(RunTimeModel::Bins - 1)));
}

double lowerEnd(std::size_t bin)
{
    return std::exp2(LowestOctave + double(bin) / BinsPerOctave);
}

bool isClearlyBetter(bool wasBetter, double errors, double otherErrors, double runs)
{
    return runs >= MinRuns && otherErrors >= SmallError * runs
        && errors < (wasBetter ? NoLongerBetter : ClearlyBetter) * otherErrors;
}

double share(double sum, double weight)
{
    return weight > 0 ? sum / weight : 0;
}

} // namespace

void StageTimes::add(Milliseconds taken)
{
    logSum += logarithm(taken);
    ++count;
}

Milliseconds StageTimes::typical() const
{
    return count > 0 ? fromMilliseconds(std::exp(logSum / count)) : Milliseconds{};
}

double RunTimeModel::knownRuns() const
{
    return m_weight;
}

bool RunTimeModel::isTrusted() const
{
    return m_isTrusted;
}

bool RunTimeModel::areSiblingsTrusted() const
{
    return m_areSiblingsTrusted;
}

double RunTimeModel::declaredError() const
{
    return share(m_declaredErrors, m_comparedRuns);
}

double RunTimeModel::learnedError() const
{
    return share(m_learnedErrors, m_comparedRuns);
}

double RunTimeModel::siblingError() const
{
    return share(m_siblingErrors, m_siblingRuns);
}

// With noisy declarations the best prediction lies between the declared time and the mean of the others.
double RunTimeModel::predicted(Milliseconds declared) const
{
    const double x = logarithm(declared);
    const double prior = PriorRuns * PriorVariance;
    const double slope = std::clamp((m_products + prior) / (m_declaredSquares + prior), 0.0, 1.0);
    const double learned = m_meanTaken + slope * (x - m_meanDeclared);
    return std::exp(x + m_weight / (m_weight + PriorRuns) * (learned - x));
}

// Each prediction is compared before the run is known to it.
void RunTimeModel::compare(double declared, double taken, double weight, const StageTimes &others)
{
    const double learned = std::log(predicted(fromMilliseconds(std::exp(declared))));
    m_declaredErrors += weight * std::abs(taken - declared);
    m_learnedErrors += weight * std::abs(taken - learned);
    m_comparedRuns += weight;
    if (others.count > 0) {
        m_siblingErrors += weight * std::abs(taken - logarithm(others));
        m_errorsBesideSiblings += weight * std::abs(taken - (m_isTrusted ? learned : declared));
        m_siblingRuns += weight;
    }
    const bool wasTrusted = m_isTrusted;
    m_isTrusted = isClearlyBetter(m_isTrusted, m_learnedErrors, m_declaredErrors, m_comparedRuns);
    m_areSiblingsTrusted =
        isClearlyBetter(m_areSiblingsTrusted, m_siblingErrors, m_errorsBesideSiblings, m_siblingRuns);
    if (m_isTrusted != wasTrusted) {
        m_ratios.fill(0);
    }
    const double used = m_isTrusted ? learned : declared;
    for (double &it : m_ratios) {
        it *= 1 - 1 / RatioMemory;
    }
    m_ratios[binOf(std::exp(taken - used))] += 1;
}

void RunTimeModel::add(
    Milliseconds declared, Milliseconds taken, std::uint32_t count, const StageTimes &others, double age)
{
    const double x = logarithm(declared);
    double y = logarithm(taken);
    // The tasks of a stage are much alike.
    const double weight = 1.0 / std::max<std::uint32_t>(1, count);
    const double decay = std::exp(-weight / Memory) * std::exp2(-std::max(0.0, age) / HalfLife);
    for (double *it : {&m_weight,
                       &m_declaredSquares,
                       &m_products,
                       &m_declaredErrors,
                       &m_learnedErrors,
                       &m_comparedRuns,
                       &m_siblingErrors,
                       &m_errorsBesideSiblings,
                       &m_siblingRuns}) {
        *it *= decay;
    }
    compare(x, y, weight, others);
    if (m_weight >= MinRuns) {
        const double expected = std::log(predicted(declared));
        y = std::clamp(y, expected - MaxSurprise, expected + MaxSurprise);
    }
    m_weight += weight;
    const double dx = x - m_meanDeclared;
    m_meanDeclared += dx * weight / m_weight;
    m_meanTaken += (y - m_meanTaken) * weight / m_weight;
    m_declaredSquares += weight * dx * (x - m_meanDeclared);
    m_products += weight * dx * (y - m_meanTaken);
}

// A run that has outlasted all known ones is expected to take as long again.
Milliseconds RunTimeModel::rest(Milliseconds time, Milliseconds elapsed, double quantile) const
{
    const double expected = double(std::max<std::int64_t>(1, time.count()));
    const double passed = double(elapsed.count()) / expected;
    const double runs = std::accumulate(m_ratios.begin(), m_ratios.end(), 0.0);
    if (runs < MinRatioRuns) {
        return std::max(Milliseconds{}, time - elapsed);
    }
    const std::size_t first = binOf(passed);
    const double firstLow = lowerEnd(first);
    const double firstHigh = lowerEnd(first + 1);
    // Of the bin in which the run is, the part above it.
    const double left = std::clamp((firstHigh - passed) / (firstHigh - firstLow), 0.0, 1.0);
    const double above = std::accumulate(
        m_ratios.begin() + static_cast<std::ptrdiff_t>(first) + 1, m_ratios.end(), left * m_ratios[first]);
    if (above < 1.0 / RatioMemory) {
        return elapsed;
    }
    double wanted = quantile * above;
    for (std::size_t n = first; n < Bins; ++n) {
        const double low = n == first ? std::clamp(passed, firstLow, firstHigh) : lowerEnd(n);
        const double mass = n == first ? left * m_ratios[n] : m_ratios[n];
        if (mass >= wanted && mass > 0) {
            const double end = low + (lowerEnd(n + 1) - low) * wanted / mass;
            return fromMilliseconds(std::max(0.0, end - passed) * expected);
        }
        wanted -= mass;
    }
    return elapsed;
}

std::array<std::int64_t, 13 + RunTimeModel::Bins> RunTimeModel::encode() const
{
    const std::array<double, 11> numbers{m_weight,
                                         m_meanDeclared,
                                         m_meanTaken,
                                         m_declaredSquares,
                                         m_products,
                                         m_declaredErrors,
                                         m_learnedErrors,
                                         m_comparedRuns,
                                         m_siblingErrors,
                                         m_errorsBesideSiblings,
                                         m_siblingRuns};
    std::array<std::int64_t, 13 + Bins> out{};
    auto it = out.begin();
    for (const double number : numbers) {
        *it++ = std::llround(number * RecordScale);
    }
    *it++ = m_isTrusted ? 1 : 0;
    *it++ = m_areSiblingsTrusted ? 1 : 0;
    for (const double number : m_ratios) {
        *it++ = std::llround(number * RecordScale);
    }
    return out;
}

bool RunTimeModel::decode(const std::array<std::int64_t, 13 + Bins> &numbers)
{
    // Far beyond any sum, so that no number of a damaged record spoils the arithmetic.
    constexpr std::int64_t Limit = 1'000'000'000;
    const bool isValid = std::all_of(
        numbers.begin(), numbers.end(), [](std::int64_t it) { return it >= -Limit && it <= Limit; });
    const auto negative =
        std::find_if(numbers.begin() + 5, numbers.end(), [](std::int64_t it) { return it < 0; });
    if (!isValid || negative != numbers.end() || numbers[0] < 0 || numbers[3] < 0) {
        return false;
    }
    auto it = numbers.begin();
    for (double *number : {&m_weight,
                           &m_meanDeclared,
                           &m_meanTaken,
                           &m_declaredSquares,
                           &m_products,
                           &m_declaredErrors,
                           &m_learnedErrors,
                           &m_comparedRuns,
                           &m_siblingErrors,
                           &m_errorsBesideSiblings,
                           &m_siblingRuns}) {
        *number = double(*it++) / RecordScale;
    }
    m_isTrusted = *it++ != 0;
    m_areSiblingsTrusted = *it++ != 0;
    for (double &number : m_ratios) {
        number = double(*it++) / RecordScale;
    }
    return true;
}

const RunTimeModel *RunTimes::find(std::string_view queue, std::string_view image) const
{
    const auto images = m_queues.find(queue);
    if (images == m_queues.end()) {
        return nullptr;
    }
    if (const auto own = images->second.find(image); own != images->second.end()) {
        if (image.empty() || own->second.model.knownRuns() >= MinRuns) {
            return &own->second.model;
        }
    }
    const auto all = images->second.find(std::string_view());
    return all != images->second.end() ? &all->second.model : nullptr;
}

void RunTimes::dropOldest()
{
    Images *from = nullptr;
    Images::iterator oldest;
    for (auto &[queue, images] : m_queues) {
        for (auto it = images.begin(); it != images.end(); ++it) {
            const bool isOlder = !from || it->second.changedAt < oldest->second.changedAt;
            if (isOlder && (!it->first.empty() || images.size() == 1)) {
                from = &images;
                oldest = it;
            }
        }
    }
    if (from) {
        from->erase(oldest);
        --m_size;
        std::erase_if(m_queues, [](const auto &it) { return it.second.empty(); });
    }
}

void RunTimes::add(std::string_view queue,
                   const Stage &stage,
                   Milliseconds taken,
                   const StageTimes &others,
                   Base::Instant now)
{
    const auto addTo = [&](const std::string &image) {
        auto &images = m_queues.try_emplace(std::string(queue)).first->second;
        const auto [it, isNew] = images.try_emplace(image);
        Entry &entry = it->second;
        m_size += isNew ? 1 : 0;
        const double age = isNew ? 0 : std::chrono::duration<double>(now - entry.changedAt).count();
        entry.changedAt = now;
        entry.model.add(stage.estimate, taken, stage.count, others, age);
    };
    addTo({});
    if (!stage.image.empty()) {
        addTo(stage.image);
    }
    while (m_size > MaxModels) {
        dropOldest();
    }
    ++m_revision;
}

bool RunTimes::expect(std::string_view queue,
                      const Stage &stage,
                      const StageTimes &ended,
                      Expectation &expectation) const
{
    const RunTimeModel *model = find(queue, stage.image);
    if (!model || stage.isLongRunning) {
        return false;
    }
    if (ended.count > 0 && model->areSiblingsTrusted()) {
        expectation = {ended.typical(), model->siblingError()};
        return true;
    }
    if (model->isTrusted()) {
        expectation = {fromMilliseconds(model->predicted(stage.estimate)), model->learnedError()};
        return true;
    }
    return false;
}

Milliseconds RunTimes::rest(std::string_view queue,
                            const Stage &stage,
                            Milliseconds expected,
                            Milliseconds elapsed,
                            double probability) const
{
    const RunTimeModel *model = find(queue, stage.image);
    return model ? model->rest(expected, elapsed, probability) : std::max(Milliseconds{}, expected - elapsed);
}

double RunTimes::knownRuns(std::string_view queue, const Stage &stage) const
{
    const RunTimeModel *model = find(queue, stage.image);
    return model ? model->knownRuns() : 0;
}

std::uint64_t RunTimes::revision() const
{
    return m_revision;
}

std::string RunTimes::encode() const
{
    std::string text = "{\"version\":" + std::to_string(RecordVersion) + ",\"models\":[";
    bool isFirst = true;
    const auto append = [&](const std::string &queue, const std::string &image, const Entry &entry) {
        json::array row{queue, image};
        for (const std::int64_t it : entry.model.encode()) {
            row.emplace_back(it);
        }
        const std::string line = json::serialize(row);
        if (text.size() + line.size() + 3 <= MaxRecordSize) {
            text += isFirst ? line : "," + line;
            isFirst = false;
        }
    };
    // Those of whole queues first, as the others fall back to them.
    for (const bool isWholeQueue : {true, false}) {
        for (const auto &[queue, images] : m_queues) {
            for (const auto &[image, entry] : images) {
                if (image.empty() == isWholeQueue) {
                    append(queue, image, entry);
                }
            }
        }
    }
    return text + "]}";
}

bool RunTimes::decode(std::string_view text, Base::Instant now)
{
    decltype(m_queues) queues;
    std::size_t size = 0;
    try {
        const json::value record = json::parse(json::string_view(text.data(), text.size()));
        if (record.at("version").to_number<int>() != RecordVersion) {
            return false;
        }
        for (const json::value &it : record.at("models").as_array()) {
            const json::array &row = it.as_array();
            std::array<std::int64_t, 13 + RunTimeModel::Bins> numbers{};
            if (row.size() != numbers.size() + 2 || size == MaxModels) {
                return false;
            }
            for (std::size_t n = 0; n < numbers.size(); ++n) {
                numbers[n] = row[n + 2].to_number<std::int64_t>();
            }
            Entry entry;
            entry.changedAt = now;
            if (!entry.model.decode(numbers)) {
                return false;
            }
            const bool isNew =
                queues[std::string(row[0].as_string())].emplace(row[1].as_string(), entry).second;
            size += isNew ? 1 : 0;
        }
    } catch (const std::exception &) {
        return false;
    }
    m_queues = std::move(queues);
    m_size = size;
    ++m_revision;
    return true;
}

void RunTimes::forEach(
    const std::function<void(std::string_view queue, std::string_view image, const RunTimeModel &model)>
        &visit) const
{
    for (const auto &[queue, images] : m_queues) {
        for (const auto &[image, entry] : images) {
            visit(queue, image, entry.model);
        }
    }
}

} // namespace Jobs
