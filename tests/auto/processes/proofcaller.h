#pragma once

#include "../gateway/testcaller.h"
#include "cluster.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// One request of a caller, and what it was told of it.
struct Told {
    std::string key; ///< empty for a request without one
    std::string marker; ///< of this request alone
    CallerAnswer answer;
    bool isReached = true; ///< whether the connection was made

    bool isAnswered() const;
    bool isNotRun() const;

    /// Whether the connection ended without a whole answer.
    bool isCut() const;
};

/// Sends one request with a marker of its own, and a key unless that is empty. A connection that isn't made,
/// or is cut, is told as such.
Told tell(std::uint16_t port,
          const std::string &method,
          const std::string &url,
          const std::string &key,
          const std::string &marker,
          const std::string &moreFields = {});

/// The port that a key's attempt n goes to.
using Ports = std::function<std::uint16_t(int attempt)>;
Ports inTurn(const std::vector<std::uint16_t> &ports);

/// Sends a proof under a key again and again until it is answered whole.
std::vector<Told> repeatProof(const Ports &ports,
                              const std::string &url,
                              const std::string &key,
                              int attempts,
                              const std::string &moreFields = {});

/// Keeps what several callers were told, each on a thread of its own with its keys one after another.
struct CallerLoad {
    int callers = 8;
    int keys = 5; ///< of each caller
    int attempts = 6; ///< for each key
    std::string url = "/proofs";
    std::string moreFields;
};
std::vector<Told> runProofs(const Ports &ports, const CallerLoad &load);

/// What is wrong with what callers were told, in words; empty when it all agrees with the targets' records:
/// no key ran twice, what was told not run didn't, and what was answered ran.
std::string contradiction(const std::vector<Told> &told, const std::vector<Execution> &executions);

std::size_t answeredKeys(const std::vector<Told> &told);
