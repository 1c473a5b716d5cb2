#pragma once

#include "claimrecord.h"

#include <boost/unordered/unordered_flat_set.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Claims
{

struct TableSettings {
    std::uint64_t window = 100'000; ///< events that a key is remembered for, from its claim on; below 2^31
    std::size_t maxAnswersBytes = 4ULL * 1024 * 1024; ///< all kept answers; later ones are not kept
};

enum class KeyPhase {
    InProgress,
    Completed,
    Uncertain,
};

/// What the records say of a key that is held.
struct KeyStatus {
    KeyPhase phase = KeyPhase::InProgress;
    bool isHolderCertain = true; ///< false: it may be held by a claim from before the table's beginning
    std::uint64_t fingerprint = 0; ///< of the holder; means nothing when in progress and not exact
    std::uint16_t status = 0; ///< HTTP status, when completed
    std::optional<std::string_view> answer; ///< valid until the next apply()
};

/// What one event did.
struct Applied {
    ClaimId claim;
    bool isClaim = false; ///< begins a claim; otherwise it ends one
    bool takesEffect = false; ///< a claim that now holds its key, an end that changed its claim
};

/// The fold over the records of one stream: which claim holds which key. A claim holds its key for the
/// window, unless it is released; it is never taken over. The same records give the same table. One that
/// begins in the middle never shows a key as free that is held, once it has seen the window.
class ClaimTable
{
public:
    /// `from` is the offset of the first record that will be applied.
    ClaimTable(const TableSettings &settings, Offset from);
    ClaimTable(const ClaimTable &) = delete;
    ClaimTable &operator=(const ClaimTable &) = delete;
    ~ClaimTable();

    /// Applies the record at next(). Returns what its events did; none for one that is damaged.
    std::vector<Applied> apply(std::string_view data);

    /// Nothing when the key is free.
    std::optional<KeyStatus> find(const KeyDigest &key) const;

    /// The offset of the next record to apply.
    Offset next() const
    {
        return m_next;
    }

    /// Whether a key that isn't found is really free: the table has the window behind it, or all there is.
    bool hasFullWindow() const;

    std::size_t heldKeys() const
    {
        return m_holders.size();
    }

    /// Bytes in use for what is remembered, answers included.
    std::size_t memoryBytes() const;

private:
    using Index = std::uint32_t;
    using Serial = std::uint64_t; ///< counts the events that were applied, from 1 on
    struct Slot;

    struct ById {
        using is_transparent = void;
        const std::vector<Slot> *slots;
        std::size_t operator()(Index it) const;
        std::size_t operator()(const ClaimId &id) const;
        bool operator()(Index a, Index b) const;
        bool operator()(Index it, const ClaimId &id) const;
        bool operator()(const ClaimId &id, Index it) const;
    };
    struct ByKey {
        using is_transparent = void;
        const std::vector<Slot> *slots;
        std::size_t operator()(Index it) const;
        std::size_t operator()(const KeyDigest &key) const;
        bool operator()(Index a, Index b) const;
        bool operator()(Index it, const KeyDigest &key) const;
        bool operator()(const KeyDigest &key, Index it) const;
    };

    Applied applyEvent(ClaimEvent &event);
    Index findOrAddSlot(const ClaimId &id, Serial at);
    bool applyKind(Index it, const Claimed &kind, Serial at);
    bool applyKind(Index it, const Released &kind, Serial at);
    bool applyKind(Index it, Completed &kind, Serial at);
    bool applyKind(Index it, const Uncertain &kind, Serial at);
    bool hold(Index it, Serial at);
    static void extendHoldIfHolderUnknown(Slot &holder, Serial at);
    bool finalize(Index it, KeyPhase phase);
    void storeAnswer(Slot &slot, std::string &answer);
    void expire(Serial at);
    void releaseKey(Index holder);
    void evictIfExpired(Index it, Serial lastExpired);
    bool isHolder(Index it) const;

    TableSettings m_settings;
    Offset m_from;
    Offset m_next;
    Serial m_lastSerial = 0;
    std::vector<Slot> m_slots;
    std::vector<Index> m_free;
    std::deque<Index> m_window; ///< the claim that each of the last events was about
    boost::unordered_flat_set<Index, ById, ById> m_claims;
    boost::unordered_flat_set<Index, ByKey, ByKey> m_holders;
    std::size_t m_answersBytes = 0;
};

} // namespace Claims
