#include "proofcaller.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <thread>
#include <utility>

namespace
{

constexpr std::chrono::milliseconds RepeatPause{50};

std::string markerIn(const CallerAnswer &answer)
{
    return answer.body.substr(0, answer.body.find('\n'));
}

} // namespace

bool Told::isAnswered() const
{
    return answer.isComplete && answer.status == 200;
}

bool Told::isNotRun() const
{
    return !isReached || (answer.isComplete && answer.verdict() == "not-run");
}

bool Told::isCut() const
{
    return isReached && !answer.isComplete;
}

Told tell(std::uint16_t port,
          const std::string &method,
          const std::string &url,
          const std::string &key,
          const std::string &marker,
          const std::string &moreFields)
{
    Told told{key, marker, {}, false};
    const std::string keyField = key.empty() ? "" : fmt::format("Idempotency-Key: {}\r\n", key);
    try {
        TestCaller caller(port);
        told.isReached = true;
        told.answer = caller.request(
            method,
            url,
            fmt::format("{}X-Request: {}\r\nConnection: close\r\n{}", keyField, marker, moreFields),
            method == "POST" ? "slate, serif" : "");
    } catch (const std::exception &) { // refused, or lost before a byte came back
    }
    return told;
}

Ports inTurn(const std::vector<std::uint16_t> &ports)
{
    return [ports](int attempt) {
        return ports[static_cast<std::size_t>(attempt) % ports.size()];
    };
}

std::vector<Told> repeatProof(const Ports &ports,
                              const std::string &url,
                              const std::string &key,
                              int attempts,
                              const std::string &moreFields)
{
    std::vector<Told> told;
    for (int n = 0; n < attempts; ++n) {
        told.push_back(tell(ports(n), "POST", url, key, fmt::format("{}#{}", key, n), moreFields));
        if (told.back().isAnswered()) {
            break;
        }
        std::this_thread::sleep_for(RepeatPause);
    }
    return told;
}

std::vector<Told> runProofs(const Ports &ports, const CallerLoad &load)
{
    std::vector<std::vector<Told>> parts(static_cast<std::size_t>(load.callers));
    std::vector<std::thread> threads;
    threads.reserve(parts.size());
    for (std::size_t n = 0; n < parts.size(); ++n) {
        threads.emplace_back([&, n] {
            for (int k = 0; k < load.keys; ++k) {
                const auto told =
                    repeatProof(ports, load.url, fmt::format("c{}k{}", n, k), load.attempts, load.moreFields);
                parts[n].insert(parts[n].end(), told.begin(), told.end());
            }
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    std::vector<Told> all;
    for (const auto &it : parts) {
        all.insert(all.end(), it.begin(), it.end());
    }
    return all;
}

std::string contradiction(const std::vector<Told> &told, const std::vector<Execution> &executions)
{
    std::map<std::string, int> byKey;
    std::map<std::string, int> byMarker;
    for (const auto &it : executions) {
        ++byKey[it.key];
        ++byMarker[it.marker];
    }
    byKey.erase("-");
    std::string found;
    for (const auto &[key, n] : byKey) {
        found += n > 1 ? fmt::format("key {} ran {} times\n", key, n) : "";
    }
    for (const auto &it : told) {
        const int runs = byMarker.contains(it.marker) ? byMarker.at(it.marker) : 0;
        if (it.isNotRun() && runs > 0) {
            found += fmt::format("{} was told not run, but ran\n", it.marker);
        }
        if (it.key.empty() && it.isAnswered() && (runs < 1 || markerIn(it.answer) != it.marker)) {
            found += fmt::format("{} was answered with what it did not run\n", it.marker);
        }
        if (!it.key.empty() && it.isAnswered()
            && (byKey[it.key] != 1 || !byMarker.contains(markerIn(it.answer))
                || !markerIn(it.answer).starts_with(it.key + '#'))) {
            found += fmt::format("{} was answered with what its key didn't run\n", it.marker);
        }
    }
    return found;
}

std::size_t answeredKeys(const std::vector<Told> &told)
{
    std::set<std::string> keys;
    for (const auto &it : told) {
        if (it.isAnswered()) {
            keys.insert(it.key);
        }
    }
    return keys.size();
}
