#pragma once

#include "peerreport.h"

namespace rhubarbcrank::peering // NOLINT(readability-identifier-naming): the generated code's
{
class Identity;
class Report;
class State;
} // namespace rhubarbcrank::peering

namespace Peering::Internal
{

void encode(const PeerIdentity &identity, rhubarbcrank::peering::Identity &message);
void encode(const PeerReport &report, rhubarbcrank::peering::Report &message);
void encode(const PeerState &state, rhubarbcrank::peering::State &message);

PeerIdentity decode(const rhubarbcrank::peering::Identity &message);
PeerReport decode(const rhubarbcrank::peering::Report &message);
PeerState decode(const rhubarbcrank::peering::State &message);

} // namespace Peering::Internal
