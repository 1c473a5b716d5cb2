#include "claimcoordinator.h"

#include <algorithm>

namespace Claims
{

namespace
{

AnswerKind kindOf(const KeyStatus &held)
{
    switch (held.phase) {
    case KeyPhase::InProgress:
        return held.isHolderCertain ? AnswerKind::InProgressElsewhere : AnswerKind::OutcomeUnknown;
    case KeyPhase::Completed:
        return held.answer ? AnswerKind::StoredAnswer : AnswerKind::AnswerNotKept;
    case KeyPhase::Uncertain:
        return AnswerKind::OutcomeUnknown;
    }
    return AnswerKind::OutcomeUnknown;
}

bool isRetryable(AnswerKind kind)
{
    return kind == AnswerKind::InProgressElsewhere || kind == AnswerKind::RefusedNotRun;
}

} // namespace

ClaimCoordinator::ClaimCoordinator(const CoordinatorSettings &settings, Base::MemberName member, Offset from)
    : m_settings(settings)
    , m_member(std::move(member))
    , m_owner(ownerOf(m_member.value))
    , m_table(std::make_unique<ClaimTable>(settings.table, from))
    , m_outbox(settings.outbox)
{
}

// Checks the recorded state of the key first, so that a key that is known to be held is never answered with
// NotRun.
void ClaimCoordinator::claim(const ClaimRequest &request, Base::Instant now)
{
    if (const auto kind = answerKindOfHeldKey(request)) {
        answer(request, *kind);
    } else if (m_waitingKeys.contains(request.key)) {
        answer(request, AnswerKind::InProgressElsewhere);
    } else if (!canClaim(request, now)) {
        answer(request, AnswerKind::RefusedNotRun);
    } else {
        open(request, now);
        flush(now);
    }
}

void ClaimCoordinator::applyRecord(std::string_view data, Base::Instant now)
{
    for (const EventEffect &it : m_table->apply(data)) {
        if (it.claim.owner == m_owner) {
            onOwnEvent(it, now);
        }
    }
    flush(now);
}

void ClaimCoordinator::setTail(Offset end)
{
    if (!m_firstTail) {
        m_firstTail = end;
    }
}

// End events that were already appended may be among the lost records. They are sent again; applying an end
// event twice has no further effect.
void ClaimCoordinator::restartFrom(Offset from, Base::Instant now)
{
    m_table = std::make_unique<ClaimTable>(m_settings.table, from);
    m_firstTail.reset();
    std::vector<std::uint64_t> sequences;
    for (const auto &[sequence, open] : m_open) {
        sequences.push_back(sequence);
    }
    for (const std::uint64_t sequence : sequences) {
        const auto it = m_open.find(sequence);
        if (it->second.stage == Stage::Waiting) {
            abandon(it, now);
        } else if (it->second.stage == Stage::Ending) {
            m_outbox.add(*it->second.end, now);
        }
    }
    flush(now);
}

void ClaimCoordinator::onAppend(AppendResult result, Base::Instant now)
{
    switch (result) {
    case AppendResult::Appended:
        m_outbox.onAppended();
        break;
    case AppendResult::Unknown:
        m_outbox.onUnknown(now);
        break;
    case AppendResult::Unavailable:
        for (const ClaimEvent &event : m_outbox.onUnavailable(now)) {
            const auto it = m_open.find(event.claim.sequence);
            if (it != m_open.end() && opensClaim(event)) {
                --it->second.sendCount;
            }
        }
        break;
    }
    flush(now);
}

void ClaimCoordinator::onOutcome(std::uint64_t requestId, const RequestOutcome &outcome, Base::Instant now)
{
    const auto request = m_byRequest.find(requestId);
    if (request == m_byRequest.end()) {
        return;
    }
    const auto it = m_open.find(request->second);
    m_byRequest.erase(request);
    if (const auto *completed = std::get_if<RequestCompleted>(&outcome)) {
        Completed event{completed->status, std::nullopt};
        if (completed->answer.size() <= m_settings.maxStoredAnswerBytes) {
            event.answer = completed->answer;
        }
        end(it, std::move(event), now);
    } else if (std::holds_alternative<RequestNotRun>(outcome)) {
        end(it, Released{}, now);
    } else {
        end(it, Uncertain{}, now);
    }
    flush(now);
}

void ClaimCoordinator::tick(Base::Instant now)
{
    abandonExpired(now);
    flush(now);
}

std::optional<Base::Instant> ClaimCoordinator::nextDue() const
{
    const auto append = m_outbox.nextDue();
    if (m_deadlines.empty()) {
        return append;
    }
    const Base::Instant deadline = m_deadlines.begin()->first;
    return append ? std::min(*append, deadline) : deadline;
}

std::vector<CoordinatorOutput> ClaimCoordinator::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

bool ClaimCoordinator::isReady() const
{
    return m_firstTail && m_table->next() >= *m_firstTail && m_table->hasFullWindow();
}

Offset ClaimCoordinator::next() const
{
    return m_table->next();
}

std::size_t ClaimCoordinator::openClaims() const
{
    return m_open.size();
}

const ClaimTable &ClaimCoordinator::table() const
{
    return *m_table;
}

std::optional<AnswerKind> ClaimCoordinator::answerKindOfHeldKey(const ClaimRequest &request) const
{
    const auto held = m_table->find(request.key);
    if (!held) {
        return std::nullopt;
    }
    const bool isHolderKnown = held->isHolderCertain || held->phase != KeyPhase::InProgress;
    const bool isOther = isHolderKnown && held->fingerprint != request.fingerprint;
    return isOther ? AnswerKind::KeyReused : kindOf(*held);
}

bool ClaimCoordinator::canClaim(const ClaimRequest &request, Base::Instant now) const
{
    return isReady() && now < request.deadline && m_open.size() < m_settings.maxOpenClaims
        && !m_outbox.isLogUnavailable(now);
}

void ClaimCoordinator::open(const ClaimRequest &request, Base::Instant now)
{
    const std::uint64_t sequence = ++m_lastSequence;
    m_open.emplace(sequence, OpenClaim{request, Stage::Waiting, 0, std::nullopt});
    m_waitingKeys.emplace(request.key, sequence);
    m_deadlines.emplace(request.deadline, sequence);
    m_outbox.add({idOf(sequence), Claimed{request.key, request.fingerprint}}, now);
}

void ClaimCoordinator::onOwnEvent(const EventEffect &applied, Base::Instant now)
{
    const auto it = m_open.find(applied.claim.sequence);
    if (it == m_open.end()) {
        return;
    }
    if (applied.isClaim && it->second.stage == Stage::Waiting) {
        onOwnClaim(it, applied.takesEffect, now);
    } else if (!applied.isClaim && it->second.stage == Stage::Ending) {
        m_open.erase(it);
    }
}

// A process that was suspended may apply its own claim late, so the deadline is checked before granting.
void ClaimCoordinator::onOwnClaim(OpenClaims::iterator it, bool takesEffect, Base::Instant now)
{
    const ClaimRequest request = it->second.request;
    if (takesEffect && now < request.deadline) {
        stopWaiting(it);
        it->second.stage = Stage::Granted;
        m_byRequest.emplace(request.requestId, it->first);
        m_outputs.emplace_back(Grant{request.requestId});
    } else if (takesEffect) {
        abandon(it, now);
    } else {
        stopWaiting(it);
        m_open.erase(it);
        answer(request, answerKindOfHeldKey(request).value_or(AnswerKind::RefusedNotRun));
    }
}

void ClaimCoordinator::abandon(OpenClaims::iterator it, Base::Instant now)
{
    const ClaimRequest request = it->second.request;
    stopWaiting(it);
    if (it->second.sendCount > 0) {
        end(it, Released{}, now);
    } else {
        m_open.erase(it);
    }
    answer(request, AnswerKind::RefusedNotRun);
}

void ClaimCoordinator::abandonExpired(Base::Instant now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        abandon(m_open.find(m_deadlines.begin()->second), now);
    }
}

// No request waits for an end event, so it may be delayed and batched with the next claims, which saves an
// append.
void ClaimCoordinator::end(OpenClaims::iterator it, decltype(ClaimEvent::kind) kind, Base::Instant now)
{
    it->second.stage = Stage::Ending;
    it->second.end = ClaimEvent{idOf(it->first), std::move(kind)};
    m_outbox.add(*it->second.end, now + m_settings.endDelay);
}

void ClaimCoordinator::stopWaiting(OpenClaims::iterator it)
{
    m_waitingKeys.erase(it->second.request.key);
    m_deadlines.erase({it->second.request.deadline, it->first});
}

void ClaimCoordinator::answer(const ClaimRequest &request, AnswerKind kind)
{
    ClaimAnswer answer{request.requestId, kind, httpStatusOf(kind), {}, {}};
    if (isRetryable(kind)) {
        answer.retryAfter = m_settings.retryAfter;
    }
    if (kind == AnswerKind::StoredAnswer) {
        const auto held = m_table->find(request.key);
        answer.status = held->status;
        answer.storedAnswer = *held->answer;
    }
    m_outputs.emplace_back(std::move(answer));
}

// Every record gets a new id, also when its events are sent again: repeated events are recognized by their
// claim ids.
void ClaimCoordinator::flush(Base::Instant now)
{
    const auto batch =
        m_outbox.takeBatch(now, [this](const ClaimEvent &event) { return isStillNeeded(event); });
    if (batch.empty()) {
        return;
    }
    for (const ClaimEvent &it : batch) {
        if (opensClaim(it)) {
            ++m_open.at(it.claim.sequence).sendCount;
        }
    }
    std::string id = m_member.value;
    id.append("-").append(std::to_string(++m_lastRecord));
    m_outputs.emplace_back(AppendRecord{std::move(id), encode(m_member.value, batch)});
}

bool ClaimCoordinator::isStillNeeded(const ClaimEvent &event) const
{
    const auto it = m_open.find(event.claim.sequence);
    return it != m_open.end() && it->second.stage == (opensClaim(event) ? Stage::Waiting : Stage::Ending);
}

ClaimId ClaimCoordinator::idOf(std::uint64_t sequence) const
{
    return {m_owner, sequence};
}

} // namespace Claims
