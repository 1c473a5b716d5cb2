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
    std::uint64_t window =
        100'000; ///< events that a key is remembered for, counted from its claim; below 2^31
    std::size_t maxTotalAnswerBytes = 4ULL * 1024 * 1024; ///< answers beyond this sum are not stored
};

enum class KeyPhase {
    InProgress,
    Completed,
    Uncertain,
};

/// The recorded state of a held key.
struct KeyStatus {
    KeyPhase phase = KeyPhase::InProgress;
    bool isHolderCertain = true; ///< false: the holder may be a claim from before the table's first record
    std::uint64_t fingerprint = 0; ///< of the holder; meaningless if in progress and the holder is uncertain
    std::uint16_t status = 0; ///< HTTP status if completed
    std::optional<std::string_view> answer; ///< valid until the next apply()
};

/// The effect of one event.
struct EventEffect {
    ClaimId claim;
    bool isClaim = false; ///< opens a claim; otherwise ends one
    bool takesEffect = false; ///< the claim now holds its key, or the end event changed its claim
};

/// Tracks which claim holds which key by applying the records of one stream. A claim holds its key for the
/// length of the window unless it is released; a held key is never taken over by another claim. Applying the
/// same records yields the same table. A table that starts in the middle of the stream never reports a held
/// key as free once it has applied a full window.
class ClaimTable
{
public:
    /// `from` is the offset of the first record that will be applied.
    ClaimTable(const TableSettings &settings, Offset from);
    ClaimTable(const ClaimTable &) = delete;
    ClaimTable &operator=(const ClaimTable &) = delete;
    ~ClaimTable();

    /// Applies the record at next(). Returns the effects of its events, none if the record is corrupt.
    std::vector<EventEffect> apply(std::string_view data);

    /// Returns nothing if the key is free.
    std::optional<KeyStatus> find(const KeyDigest &key) const;

    /// The offset of the next record to apply.
    Offset next() const
    {
        return m_next;
    }

    /// Whether a key that is not found is certain to be free: the table has applied a full window of events,
    /// or all records of the stream.
    bool hasFullWindow() const;

    std::size_t heldKeys() const
    {
        return m_holders.size();
    }

    /// The memory used by the table, including stored answers.
    std::size_t memoryBytes() const;

private:
    using Index = std::uint32_t;
    using Serial = std::uint64_t; ///< the number of an applied event, starting at 1
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

    EventEffect applyEvent(ClaimEvent &event);
    Index findOrAddSlot(const ClaimId &id, Serial serial);
    bool applyKind(Index it, const Claimed &kind, Serial serial);
    bool applyKind(Index it, const Released &kind, Serial serial);
    bool applyKind(Index it, Completed &kind, Serial serial);
    bool applyKind(Index it, const Uncertain &kind, Serial serial);
    bool hold(Index it, Serial serial);
    static void extendHoldIfHolderUnknown(Slot &holder, Serial serial);
    bool finalize(Index it, KeyPhase phase);
    void storeAnswer(Slot &slot, std::string &answer);
    void expire(Serial serial);
    void releaseKey(Index holder);
    void evictIfExpired(Index it, Serial lastExpired);
    bool isHolder(Index it) const;

    TableSettings m_settings;
    Offset m_from;
    Offset m_next;
    Serial m_lastSerial = 0;
    std::vector<Slot> m_slots;
    std::vector<Index> m_free;
    std::deque<Index> m_window; ///< the claim that each of the most recent events refers to
    boost::unordered_flat_set<Index, ById, ById> m_claims;
    boost::unordered_flat_set<Index, ByKey, ByKey> m_holders;
    std::size_t m_answersBytes = 0;
};

} // namespace Claims
