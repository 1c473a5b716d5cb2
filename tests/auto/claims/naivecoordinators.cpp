#include "naivecoordinators.h"

using Claims::AnswerKind;
using Claims::ClaimAnswer;
using Claims::ClaimEvent;
using Claims::Offset;
using namespace std::chrono_literals;

namespace
{

constexpr auto TakeoverTimeout = 500ms;

ClaimAnswer refusal(std::uint64_t requestId, AnswerKind kind)
{
    return {requestId, kind, httpStatusOf(kind), {}, {}};
}

} // namespace

LocalMemoryCoordinator::LocalMemoryCoordinator(const Claims::CoordinatorSettings &,
                                               const Base::MemberName &,
                                               Offset from)
    : m_next(from)
{
}

void LocalMemoryCoordinator::claim(const Claims::ClaimRequest &request, Base::Instant)
{
    if (m_requests.emplace(request.key, request.requestId).second) {
        m_outputs.emplace_back(Claims::Grant{request.requestId});
    } else {
        m_outputs.emplace_back(refusal(request.requestId, AnswerKind::InProgressElsewhere));
    }
}

void LocalMemoryCoordinator::applyRecord(std::string_view, Base::Instant)
{
    ++m_next;
}

void LocalMemoryCoordinator::setTail(Offset)
{
}

void LocalMemoryCoordinator::restartFrom(Offset from, Base::Instant)
{
    m_next = from;
}

void LocalMemoryCoordinator::onAppend(Claims::AppendResult, Base::Instant)
{
}

void LocalMemoryCoordinator::onOutcome(std::uint64_t requestId,
                                       const Claims::RequestOutcome &outcome,
                                       Base::Instant)
{
    if (std::holds_alternative<Claims::RequestNotRun>(outcome)) {
        std::erase_if(m_requests, [&](const auto &it) { return it.second == requestId; });
    }
}

void LocalMemoryCoordinator::tick(Base::Instant)
{
}

std::optional<Base::Instant> LocalMemoryCoordinator::nextDue() const
{
    return std::nullopt;
}

std::vector<Claims::CoordinatorOutput> LocalMemoryCoordinator::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

Offset LocalMemoryCoordinator::next() const
{
    return m_next;
}

TakeoverCoordinator::TakeoverCoordinator(const Claims::CoordinatorSettings &,
                                         const Base::MemberName &member,
                                         Offset from)
    : m_member(member)
    , m_next(from)
{
}

void TakeoverCoordinator::claim(const Claims::ClaimRequest &request, Base::Instant now)
{
    if (isHeld(request.key, now)) {
        m_outputs.emplace_back(refusal(request.requestId, AnswerKind::InProgressElsewhere));
        return;
    }
    const std::uint64_t sequence = ++m_lastSequence;
    m_waiting.emplace(sequence, request);
    send({{Claims::ownerOf(m_member.value), sequence}, Claims::Claimed{request.key, request.fingerprint}});
}

void TakeoverCoordinator::applyRecord(std::string_view data, Base::Instant now)
{
    ++m_next;
    const auto events = Claims::decode(data);
    const auto *event = &events->front();
    const auto *claimed = std::get_if<Claims::Claimed>(&event->kind);
    if (!claimed) {
        end(*event);
        return;
    }
    const bool isRepeat = !m_keys.emplace(event->claim, claimed->key).second;
    const bool takesEffect = !isRepeat && !isHeld(claimed->key, now);
    if (takesEffect) {
        m_holders[claimed->key] = {event->claim, now};
    }
    const auto it = m_waiting.find(event->claim.sequence);
    if (isRepeat || event->claim.owner != Claims::ownerOf(m_member.value) || it == m_waiting.end()) {
        return;
    }
    if (takesEffect) {
        m_granted.emplace(it->second.requestId, it->first);
        m_outputs.emplace_back(Claims::Grant{it->second.requestId});
    } else {
        m_outputs.emplace_back(refusal(it->second.requestId, AnswerKind::InProgressElsewhere));
    }
    m_waiting.erase(it);
}

void TakeoverCoordinator::setTail(Offset)
{
}

void TakeoverCoordinator::restartFrom(Offset from, Base::Instant)
{
    m_next = from;
}

void TakeoverCoordinator::onAppend(Claims::AppendResult result, Base::Instant)
{
    m_isAppending = false;
    if (result == Claims::AppendResult::Appended) {
        m_queue.pop_front();
    }
    sendNext();
}

void TakeoverCoordinator::onOutcome(std::uint64_t requestId,
                                    const Claims::RequestOutcome &outcome,
                                    Base::Instant)
{
    const Claims::ClaimId id{Claims::ownerOf(m_member.value), m_granted.at(requestId)};
    if (std::holds_alternative<Claims::RequestNotRun>(outcome)) {
        send({id, Claims::Released{}});
    } else {
        send({id, Claims::Uncertain{}});
    }
}

void TakeoverCoordinator::tick(Base::Instant now)
{
    std::erase_if(m_waiting, [&](const auto &it) {
        const bool isLate = it.second.deadline <= now;
        if (isLate) {
            m_outputs.emplace_back(refusal(it.second.requestId, AnswerKind::RefusedNotRun));
            send({{Claims::ownerOf(m_member.value), it.first}, Claims::Released{}});
        }
        return isLate;
    });
}

std::optional<Base::Instant> TakeoverCoordinator::nextDue() const
{
    std::optional<Base::Instant> due;
    for (const auto &[sequence, request] : m_waiting) {
        due = due ? std::min(*due, request.deadline) : request.deadline;
    }
    return due;
}

std::vector<Claims::CoordinatorOutput> TakeoverCoordinator::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

Offset TakeoverCoordinator::next() const
{
    return m_next;
}

bool TakeoverCoordinator::isHeld(const Claims::KeyDigest &key, Base::Instant now) const
{
    const auto it = m_holders.find(key);
    return it != m_holders.end() && (it->second.isEnded || now < it->second.seenAt + TakeoverTimeout);
}

void TakeoverCoordinator::end(const ClaimEvent &event)
{
    const auto key = m_keys.find(event.claim);
    const auto holder = key == m_keys.end() ? m_holders.end() : m_holders.find(key->second);
    if (holder == m_holders.end() || holder->second.claim != event.claim) {
        return;
    }
    if (std::holds_alternative<Claims::Released>(event.kind)) {
        m_holders.erase(holder);
    } else {
        holder->second.isEnded = true;
    }
}

void TakeoverCoordinator::send(const ClaimEvent &event)
{
    m_queue.push_back(event);
    sendNext();
}

void TakeoverCoordinator::sendNext()
{
    if (m_isAppending || m_queue.empty()) {
        return;
    }
    m_isAppending = true;
    const ClaimEvent events[] = {m_queue.front()};
    m_outputs.emplace_back(Claims::AppendRecord{"naive", Claims::encode(m_member.value, events)});
}
