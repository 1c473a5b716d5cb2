#include "claimtable.h"

#include <algorithm>
#include <utility>

namespace Claims
{

namespace
{

std::size_t hashOf(const ClaimId &id)
{
    constexpr std::uint64_t HashMultiplier =
        0x9e3779b97f4a7c15; // 2^64 over the golden ratio (Knuth, TAOCP 6.4)
    return id.owner ^ (id.sequence * HashMultiplier);
}

} // namespace

// The state of one claim that is referenced by an event in the window. Two rules keep tables that started at
// different offsets consistent: a claim's id is remembered until the window has passed since the last event
// that refers to it, whatever its kind and even if it changed nothing; a key is held until the window has
// passed since its claim.
struct ClaimTable::Slot {
    ClaimId id;
    KeyDigest key;
    std::uint64_t fingerprint = 0;
    Serial lastEvent = 0;
    Serial holdStart = 0;
    std::unique_ptr<std::string> answer;
    std::uint16_t status = 0;
    KeyPhase phase = KeyPhase::InProgress;
    bool isClaimed = false;
    bool isEnded = false;
    bool isHolderCertain = true;
};

std::size_t ClaimTable::ById::operator()(Index it) const
{
    return hashOf((*slots)[it].id);
}

std::size_t ClaimTable::ById::operator()(const ClaimId &id) const
{
    return hashOf(id);
}

bool ClaimTable::ById::operator()(Index a, Index b) const
{
    return a == b;
}

bool ClaimTable::ById::operator()(Index it, const ClaimId &id) const
{
    return (*slots)[it].id == id;
}

bool ClaimTable::ById::operator()(const ClaimId &id, Index it) const
{
    return (*slots)[it].id == id;
}

std::size_t ClaimTable::ByKey::operator()(Index it) const
{
    return KeyDigestHash{}((*slots)[it].key);
}

std::size_t ClaimTable::ByKey::operator()(const KeyDigest &key) const
{
    return KeyDigestHash{}(key);
}

bool ClaimTable::ByKey::operator()(Index a, Index b) const
{
    return a == b;
}

bool ClaimTable::ByKey::operator()(Index it, const KeyDigest &key) const
{
    return (*slots)[it].key == key;
}

bool ClaimTable::ByKey::operator()(const KeyDigest &key, Index it) const
{
    return (*slots)[it].key == key;
}

ClaimTable::ClaimTable(const TableSettings &settings, Offset from)
    : m_settings(settings)
    , m_from(from)
    , m_next(from)
    , m_claims(0, ById{&m_slots}, ById{&m_slots})
    , m_holders(0, ByKey{&m_slots}, ByKey{&m_slots})
{
}

ClaimTable::~ClaimTable() = default;

std::vector<EventEffect> ClaimTable::apply(std::string_view data)
{
    ++m_next;
    auto events = decode(data);
    std::vector<EventEffect> applied;
    if (events) {
        applied.reserve(events->size());
        for (ClaimEvent &it : *events) {
            applied.push_back(applyEvent(it));
        }
    }
    return applied;
}

EventEffect ClaimTable::applyEvent(ClaimEvent &event)
{
    const Serial serial = ++m_lastSerial;
    expire(serial);
    const Index it = findOrAddSlot(event.claim, serial);
    m_window.push_back(it);
    const bool takesEffect = std::visit([&](auto &kind) { return applyKind(it, kind, serial); }, event.kind);
    return EventEffect{event.claim, opensClaim(event), takesEffect};
}

std::optional<KeyStatus> ClaimTable::find(const KeyDigest &key) const
{
    const auto it = m_holders.find(key);
    if (it == m_holders.end()) {
        return std::nullopt;
    }
    const Slot &slot = m_slots[*it];
    KeyStatus status{slot.phase, slot.isHolderCertain, slot.fingerprint, slot.status, std::nullopt};
    if (slot.answer) {
        status.answer = *slot.answer;
    }
    return status;
}

bool ClaimTable::hasFullWindow() const
{
    return m_from == 1 || m_lastSerial >= m_settings.window;
}

std::size_t ClaimTable::memoryBytes() const
{
    const std::size_t indexBytes = (m_claims.bucket_count() + m_holders.bucket_count()) * (sizeof(Index) + 1);
    return m_slots.capacity() * sizeof(Slot) + (m_window.size() + m_free.capacity()) * sizeof(Index)
        + indexBytes + m_answersBytes;
}

ClaimTable::Index ClaimTable::findOrAddSlot(const ClaimId &id, Serial serial)
{
    if (const auto known = m_claims.find(id); known != m_claims.end()) {
        m_slots[*known].lastEvent = serial;
        return *known;
    }
    if (m_free.empty()) {
        m_free.push_back(static_cast<Index>(m_slots.size()));
        m_slots.emplace_back();
    }
    const Index it = m_free.back();
    m_free.pop_back();
    m_slots[it] = Slot{};
    m_slots[it].id = id;
    m_slots[it].lastEvent = serial;
    m_claims.insert(it);
    return it;
}

// A claim whose end event was applied first was delayed on its way to the log, and its owner has already
// abandoned it.
bool ClaimTable::applyKind(Index it, const Claimed &kind, Serial serial)
{
    Slot &slot = m_slots[it];
    const bool isRepeat = std::exchange(slot.isClaimed, true);
    if (!isRepeat) {
        slot.key = kind.key;
        slot.fingerprint = kind.fingerprint;
    }
    if (const auto holder = m_holders.find(kind.key); holder != m_holders.end()) {
        extendHoldIfHolderUnknown(m_slots[*holder], serial);
        return false;
    }
    if (isRepeat || slot.isEnded) {
        return false;
    }
    return hold(it, serial);
}

// Until the window is full, the key may be held by an earlier claim that this table has not read.
bool ClaimTable::hold(Index it, Serial serial)
{
    Slot &slot = m_slots[it];
    slot.holdStart = serial;
    slot.isHolderCertain = m_from == 1 || serial > m_settings.window;
    m_holders.insert(it);
    return slot.isHolderCertain;
}

// Any claim of such a key, even a repeated one, may be the actual holder. The key is therefore considered
// free only after a whole window without a claim of it.
void ClaimTable::extendHoldIfHolderUnknown(Slot &holder, Serial serial)
{
    if (!holder.isHolderCertain) {
        holder.holdStart = serial;
    }
}

bool ClaimTable::applyKind(Index it, const Released &, Serial)
{
    Slot &slot = m_slots[it];
    const bool isRepeat = std::exchange(slot.isEnded, true);
    if (isRepeat || !isHolder(it) || !slot.isHolderCertain) {
        return false;
    }
    releaseKey(it);
    return true;
}

bool ClaimTable::applyKind(Index it, Completed &kind, Serial)
{
    if (!finalize(it, KeyPhase::Completed)) {
        return false;
    }
    m_slots[it].status = kind.status;
    if (kind.answer) {
        storeAnswer(m_slots[it], *kind.answer);
    }
    return true;
}

bool ClaimTable::applyKind(Index it, const Uncertain &, Serial)
{
    return finalize(it, KeyPhase::Uncertain);
}

// An owner reports Completed or Uncertain only after it saw its claim take effect. If this table did not know
// the holder of the key for certain, such an event therefore identifies it.
bool ClaimTable::finalize(Index it, KeyPhase phase)
{
    Slot &slot = m_slots[it];
    const bool isRepeat = std::exchange(slot.isEnded, true);
    if (isRepeat || !slot.isClaimed) {
        return false;
    }
    const auto holder = m_holders.find(slot.key);
    if (holder == m_holders.end() || (*holder != it && m_slots[*holder].isHolderCertain)) {
        return false;
    }
    if (*holder != it) {
        slot.holdStart = m_slots[*holder].holdStart;
        slot.isHolderCertain = false;
        const Index former = *holder;
        releaseKey(former);
        m_holders.insert(it);
        evictIfExpired(former, m_lastSerial - m_window.size());
    }
    slot.phase = phase;
    return true;
}

void ClaimTable::storeAnswer(Slot &slot, std::string &answer)
{
    if (m_answersBytes + answer.size() > m_settings.maxTotalAnswerBytes) {
        return;
    }
    m_answersBytes += answer.size();
    slot.answer = std::make_unique<std::string>(std::move(answer));
}

// The event that leaves the window may be the last one that refers to its claim, and may also be the claim
// that holds a key.
void ClaimTable::expire(Serial serial)
{
    if (m_window.size() < m_settings.window) {
        return;
    }
    const Serial expiring = serial - m_window.size();
    const Index it = m_window.front();
    m_window.pop_front();
    if (const auto holder = m_holders.find(m_slots[it].key); holder != m_holders.end()) {
        const Index held = *holder;
        if (m_slots[held].holdStart == expiring) {
            releaseKey(held);
            evictIfExpired(held, expiring);
        }
    }
    evictIfExpired(it, expiring);
}

void ClaimTable::releaseKey(Index holder)
{
    Slot &slot = m_slots[holder];
    m_holders.erase(m_holders.find(slot.key));
    if (slot.answer) {
        m_answersBytes -= slot.answer->size();
        slot.answer.reset();
    }
}

// A holder outlives the last event that refers to it only if later claims extended its hold.
void ClaimTable::evictIfExpired(Index it, Serial lastExpired)
{
    if (m_slots[it].lastEvent > lastExpired || isHolder(it)) {
        return;
    }
    const auto known = m_claims.find(m_slots[it].id);
    if (known != m_claims.end() && *known == it) {
        m_claims.erase(known);
        m_free.push_back(it);
    }
}

bool ClaimTable::isHolder(Index it) const
{
    const auto holder = m_holders.find(m_slots[it].key);
    return holder != m_holders.end() && *holder == it;
}

} // namespace Claims
