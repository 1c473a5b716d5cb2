#include "claimhistory.h"

#include <fmt/format.h>

#include <map>

SimulatedEnvironment::SimulatedEnvironment(unsigned seed)
    : m_random(seed)
{
}

std::size_t SimulatedEnvironment::draw(std::size_t bound)
{
    return m_random() % bound;
}

bool SimulatedEnvironment::withProbability(std::size_t percent)
{
    return draw(100) < percent;
}

Base::Duration SimulatedEnvironment::delay(std::size_t maxMilliseconds)
{
    return Base::Duration(draw(maxMilliseconds * 1000) + 1);
}

void SimulatedEnvironment::answer(Attempt &attempt, Base::Verdict verdict)
{
    ++attempt.answers;
    attempt.verdict = verdict;
}

void SimulatedEnvironment::checkAttempts(const std::vector<bool> &hasCrashed)
{
    std::map<std::size_t, std::size_t> executionsOfKey;
    std::map<std::size_t, bool> isAlwaysReportedNotRun;
    for (std::size_t n = 0; n < attempts.size(); ++n) {
        const Attempt &it = attempts[n];
        result.executions += it.executions;
        executionsOfKey[it.key] += it.executions;
        const bool isReportedNotRun = it.answers > 0 && it.verdict == Base::Verdict::NotRun;
        isAlwaysReportedNotRun.emplace(it.key, true).first->second &= isReportedNotRun;
        if (isReportedNotRun && it.executions > 0) {
            result.violations.push_back(
                fmt::format("attempt {} ran although it was answered with NotRun", n));
        }
        if (it.answers > 1 || (it.answers == 0 && !hasCrashed[it.member])) {
            result.violations.push_back(fmt::format("attempt {} got {} answers", n, it.answers));
        }
    }
    for (const auto &[key, count] : executionsOfKey) {
        result.duplicateExecutions += count > 1 ? 1 : 0;
        if (count > 0 && isAlwaysReportedNotRun[key]) {
            result.violations.push_back(
                fmt::format("key {} ran although every attempt was answered with NotRun", key));
        }
    }
}
