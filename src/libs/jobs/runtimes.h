#pragma once

#include "jobspec.h"

#include <base/instant.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Jobs
{

/// What a run of a stage is expected to take.
struct Expectation {
    Milliseconds time{}; ///< the typical time
    double error = 0; ///< mean error of `time`, as the absolute natural logarithm of taken / expected

    bool operator==(const Expectation &) const = default;
};

/// The times of the finished runs of one stage of an occurrence.
struct StageTimes {
    double logSum = 0; ///< of the natural logarithms of the times in ms
    std::uint32_t count = 0;

    void add(Milliseconds taken);
    /// The geometric mean; zero if there are none.
    Milliseconds typical() const;

    bool operator==(const StageTimes &) const = default;
};

/// The run times of one queue, or of one image in it: a regression of the taken time on the declared one,
/// both as logarithms, and the distribution of taken / predicted. Older runs count less and less.
class RunTimeModel
{
public:
    /// Bins of taken / predicted, each a third of an octave wide. The first and the last are open.
    static constexpr std::size_t Bins = 22;

    /// Adds a finished run of a stage of `count` tasks, of which `others` have ended before.
    void
    add(Milliseconds declared, Milliseconds taken, std::uint32_t count, const StageTimes &others, double age);

    /// The effective number of independent runs that it knows; the tasks of a stage count as one.
    double knownRuns() const;
    /// Whether its predictions have been clearly better than the declared times.
    bool isTrusted() const;
    /// Whether the times of tasks that have ended predict the others of their stage clearly better than that.
    bool areSiblingsTrusted() const;
    /// The mean errors, as in Expectation::error; zero without runs.
    double declaredError() const;
    double learnedError() const;
    double siblingError() const;

    /// In ms, whether trusted or not.
    double predicted(Milliseconds declared) const;
    /// The quantile of what is left of a run that has been expected to take `time` and has run for `elapsed`.
    Milliseconds rest(Milliseconds time, Milliseconds elapsed, double quantile) const;

    /// Numbers for a record.
    std::array<std::int64_t, 13 + Bins> encode() const;
    /// Returns false and leaves the model as it is if the numbers can't be from encode().
    bool decode(const std::array<std::int64_t, 13 + Bins> &numbers);

private:
    void compare(double declared, double taken, double weight, const StageTimes &others);

    double m_weight = 0;
    double m_meanDeclared = 0; ///< of logarithms, like all that follow
    double m_meanTaken = 0;
    double m_declaredSquares = 0; ///< sum of squared differences from the mean
    double m_products = 0; ///< the same of declared and taken
    double m_declaredErrors = 0; ///< decayed sums
    double m_learnedErrors = 0;
    double m_comparedRuns = 0; ///< weight of the two
    double m_siblingErrors = 0; ///< of the prediction by tasks of the stage that have ended
    double m_errorsBesideSiblings = 0; ///< of the other prediction in use, for the same runs
    double m_siblingRuns = 0; ///< weight of the two
    bool m_isTrusted = false;
    bool m_areSiblingsTrusted = false;
    std::array<double, Bins> m_ratios{}; ///< number of runs by taken / predicted, as long as they count
};

/// Learns from finished runs what others will take, by queue and image. Declared times are believed until the
/// learned ones have proved to be clearly better.
class RunTimes
{
public:
    /// Key of the record.
    static constexpr std::string_view Key = "run-times";
    static constexpr std::size_t MaxModels = 24; ///< those of images that have ended no run for longest go
    static constexpr std::size_t MaxRecordSize = 8192; ///< bytes

    /// Adds a run that took the whole time of a task of the stage. `others` are those that ended before it.
    void add(std::string_view queue,
             const Stage &stage,
             Milliseconds taken,
             const StageTimes &others,
             Base::Instant now);

    /// The declared time is to be used if it returns false.
    bool expect(std::string_view queue,
                const Stage &stage,
                const StageTimes &ended,
                Expectation &expectation) const;

    /// What is left of a run that has run for `elapsed`, given what it was expected to take: the time after
    /// which it ends with this probability, by what finished runs took.
    Milliseconds rest(std::string_view queue,
                      const Stage &stage,
                      Milliseconds expected,
                      Milliseconds elapsed,
                      double probability) const;
    /// The effective number of runs behind that.
    double knownRuns(std::string_view queue, const Stage &stage) const;

    /// Changes with each run.
    std::uint64_t revision() const;

    std::string encode() const;
    /// Returns false and leaves everything as it is if the text is no such record.
    bool decode(std::string_view text, Base::Instant now);

    void forEach(
        const std::function<void(std::string_view queue, std::string_view image, const RunTimeModel &model)>
            &visit) const;

private:
    struct Entry {
        RunTimeModel model;
        Base::Instant changedAt;
    };
    // By image; the one without a name is of all runs of the queue.
    using Images = std::map<std::string, Entry, std::less<>>;

    const RunTimeModel *find(std::string_view queue, std::string_view image) const;
    void dropOldest();

    std::map<std::string, Images, std::less<>> m_queues;
    std::size_t m_size = 0;
    std::uint64_t m_revision = 0;
};

} // namespace Jobs
