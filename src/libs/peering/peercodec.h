#pragma once

#include "peerreport.h"

#include <scheduling/slotmessages.h>

#include <optional>

namespace rhubarbcrank::peering // NOLINT(readability-identifier-naming): the generated code's
{
class Identity;
class Report;
class SlotMessage;
class State;
} // namespace rhubarbcrank::peering

namespace Peering::Internal
{

void encode(const PeerIdentity &identity, rhubarbcrank::peering::Identity &message);
void encode(const PeerReport &report, rhubarbcrank::peering::Report &message);
void encode(const PeerState &state, rhubarbcrank::peering::State &message);

void encode(const Scheduling::SlotMessage &message, rhubarbcrank::peering::SlotMessage &encoded);

/// Nothing for a message of a kind that isn't known. The sender is taken from the identity.
std::optional<Scheduling::SlotMessage> decode(const rhubarbcrank::peering::SlotMessage &message);

PeerIdentity decode(const rhubarbcrank::peering::Identity &message);
PeerReport decode(const rhubarbcrank::peering::Report &message);
PeerState decode(const rhubarbcrank::peering::State &message);

} // namespace Peering::Internal
