#include "tablecost.h"

#include <claims/claimtable.h>

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <vector>

#include <malloc.h>

namespace
{

// Large blocks are mapped individually, and mallinfo2() counts them separately.
std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::vector<std::string> makeRecords(std::size_t keys, std::size_t answerBytes)
{
    std::vector<std::string> records;
    records.reserve(2 * keys);
    for (std::size_t n = 1; n <= keys; ++n) {
        const Claims::ClaimId id{Claims::ownerOf("entry-1"), n};
        const auto key = Claims::digestOf("proofs", std::to_string(n));
        const Claims::ClaimEvent claim[] = {{id, Claims::Claimed{key, n}}};
        records.push_back(Claims::encode("entry-1", claim));
        Claims::Completed completed{200, std::nullopt};
        if (answerBytes > 0) {
            completed.answer = std::string(answerBytes, 'a');
        }
        const Claims::ClaimEvent end[] = {{id, completed}};
        records.push_back(Claims::encode("entry-1", end));
    }
    return records;
}

} // namespace

void runTableCost(std::size_t keys, std::size_t answerBytes)
{
    const auto records = makeRecords(keys, answerBytes);
    const std::size_t before = heapBytes();
    Claims::TableSettings settings;
    settings.window = 2 * keys + 1;
    settings.maxTotalAnswerBytes = keys * answerBytes;
    Claims::ClaimTable table(settings, 1);
    const auto start = std::chrono::steady_clock::now();
    for (const std::string &it : records) {
        table.apply(it);
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    const std::size_t heap = heapBytes() - before;
    fmt::print(
        "keys={} answer_bytes={} heap_bytes_per_key={} counted_bytes_per_key={} ns_per_record={:.0f}\n",
        table.heldKeys(),
        answerBytes,
        heap / keys,
        table.memoryBytes() / keys,
        elapsed.count() / static_cast<double>(records.size()));
}
