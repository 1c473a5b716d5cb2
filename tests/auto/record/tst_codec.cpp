#include <histories/history.h>
#include <record/codec.h>
#include <record/generated/record.pb.h>

#include <xxhash.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

using Fleet::ActionId;
using Fleet::ActionResult;
using Fleet::DamagedRecord;
using Fleet::DrainAcknowledged;
using Fleet::EditProposed;
using Fleet::Entry;
using Fleet::Event;
using Fleet::InstanceFailed;
using Fleet::InstanceRecovered;
using Fleet::MaintenanceEnded;
using Fleet::MaintenanceStarted;
using Fleet::MemberJoined;
using Fleet::MemberLeft;
using Fleet::MoveAborted;
using Fleet::MoveCommitted;
using Fleet::MoveStarted;
using Fleet::Observations;
using Fleet::PlannerClaimed;
using Fleet::PlannerObserved;
using Fleet::PlatformState;
using Fleet::RebootRequested;
using Fleet::SnapshotTaken;
using Fleet::WaveFinished;
using Fleet::WaveStarted;
using Fleet::WaveStopped;

namespace
{

const ActionId Action{"a-1"};
const Base::InstanceName Worker{"worker-00001"};
const Base::MemberName Member1{"member-1"};

/// An edit that uses every field of a delta.
EditProposed fullEdit()
{
    Document::Document document = Histories::makeDocument(5, 2);
    document.services.front().priority = Document::Priority::Batch;
    document.services.front().survivesZoneLoss = true;
    document.services.front().zoneAvailability = 250;
    document.pools.back().isSpare = true;
    document.maintenance = {Document::Milliseconds(1500), 3, {{"pool-001"}, {"pool-000"}}, 7};
    document.weights = {0.5, 2.25, 0};
    EditProposed edit{{17}, "operator", "a comment\nof two lines", Histories::makeFullDelta(document), {}};
    edit.delta.removedPools.push_back({"pool-009"});
    edit.delta.removedInstances.push_back({"worker-00099"});
    edit.delta.removedServices.push_back({"service-009"});
    return edit;
}

Observations fullObservations()
{
    Observations observations;
    observations.at = Base::instantAt(Base::Duration(-5));
    observations.isPlatformReachable = false;
    observations.arePeersReachable = false;
    observations.demands.push_back({{"pool-000"}, 1.5, 0.25, 1e9, 3});
    observations.instances.push_back({Worker, PlatformState::Leaving, 3, true});
    observations.instances.push_back({{"worker-00002"}, PlatformState::Gone, 0, false});
    observations.actions.push_back({Action, ActionResult::Rejected, "no such instance"});
    observations.liveMembers = {Member1, {"member-2"}};
    return observations;
}

Fleet::PlannerMemory fullMemory()
{
    Fleet::PlannerMemory memory;
    memory.term = {7};
    memory.lastDecisionOffset = Fleet::Offset{8};
    memory.reports = fullObservations().instances;
    memory.actions[Action] = {Base::instantAt(Base::Duration(1)), Base::instantAt(Base::Duration(2)), true};
    memory.absentSince[Member1] = Base::instantAt(Base::Duration(3));
    memory.health[Worker] = {false, Base::instantAt(Base::Duration(4))};
    memory.demand.at = Base::instantAt(Base::Duration(5));
    memory.demand.pools = {{{"pool-000"}, 1.5, 2.5, 3.5, Base::Duration(6), 4.5, 5.5}};
    return memory;
}

/// One event of each alternative, with every field set.
std::vector<Event> everyEvent()
{
    const Base::AvailabilityZoneName zone{"a"};
    return {fullEdit(),
            MemberJoined{Member1, zone},
            MemberLeft{Member1, "stopped"},
            PlannerClaimed{zone, Member1, {12}},
            PlannerObserved{fullObservations(), {99}, fullMemory()},
            MoveStarted{Action, Worker, {"pool-000"}, {"pool-001"}, "shift"},
            DrainAcknowledged{Action, Member1},
            MoveCommitted{Action},
            MoveAborted{Action, "no longer wanted"},
            WaveStarted{Action, 4, zone, "asked for"},
            MaintenanceStarted{Action, {"w-1"}, Worker, "wave"},
            RebootRequested{Action},
            MaintenanceEnded{Action, false, "no answer"},
            WaveStopped{Action, "early stops failed"},
            WaveFinished{Action},
            InstanceFailed{Worker, "silent"},
            InstanceRecovered{Worker, "answers"},
            SnapshotTaken{}};
}

Fleet::Record recordWith(Event event)
{
    return {"id-1", Member1, {3}, {1ULL << 40}, std::move(event), {}};
}

bool isDamaged(const Record::Decoded &decoded)
{
    return std::holds_alternative<DamagedRecord>(decoded);
}

std::string sealed(const Record::Wire::Record &message)
{
    Record::Wire::Envelope envelope;
    message.SerializeToString(envelope.mutable_record());
    envelope.set_checksum(XXH3_64bits(envelope.record().data(), envelope.record().size()));
    return envelope.SerializeAsString();
}

} // namespace

TEST_GROUP(Codec){};

TEST(Codec, EveryEventIsReadBack)
{
    const std::vector<Event> events = everyEvent();
    LONGS_EQUAL(std::variant_size_v<Event>, events.size());
    for (std::size_t n = 0; n < events.size(); ++n) {
        LONGS_EQUAL(n, events[n].index());
        const Fleet::Record record = recordWith(events[n]);
        const Record::Decoded decoded = Record::decode(Record::encode(record));
        CHECK_TEXT(decoded == Record::Decoded(record), ("event " + std::to_string(n)).c_str());
    }
}

TEST(Codec, ADeltaWithoutItsOptionalPartsIsReadBack)
{
    EditProposed edit;
    edit.delta.environment = Base::EnvironmentName{};
    const Fleet::Record record = recordWith(edit);
    CHECK(Record::decode(Record::encode(record)) == Record::Decoded(record));
    edit.delta.environment.reset();
    edit.delta.zones.emplace();
    CHECK(Record::decode(Record::encode(recordWith(edit))) == Record::Decoded(recordWith(edit)));
}

TEST(Codec, EveryFlippedBitIsFound)
{
    const std::string bytes = Record::encode(recordWith(MoveStarted{Action, Worker, {"p"}, {"q"}, "shift"}));
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        std::string torn = bytes;
        torn[bit / 8] = static_cast<char>(torn[bit / 8] ^ (1 << bit % 8));
        const Record::Decoded decoded = Record::decode(torn);
        CHECK_TEXT(isDamaged(decoded), ("bit " + std::to_string(bit)).c_str());
    }
}

TEST(Codec, EveryTruncationIsFound)
{
    const std::string bytes = Record::encode(recordWith(fullEdit()));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_TEXT(isDamaged(Record::decode(std::string_view(bytes).substr(0, n))),
                   std::to_string(n).c_str());
    }
}

TEST(Codec, AnUnknownEventIsDamagedWithItsReason)
{
    Record::Wire::Record message;
    message.set_id("id-1");
    const Record::Decoded decoded = Record::decode(sealed(message));
    CHECK(isDamaged(decoded));
    STRCMP_EQUAL("unknown event", std::get<DamagedRecord>(decoded).reason.c_str());
}

TEST(Codec, AnUnknownEnumeratorIsDamaged)
{
    Record::Wire::Record message;
    Record::Wire::Service &service = *message.mutable_edit_proposed()->mutable_delta()->add_set_services();
    service.set_priority(static_cast<Record::Wire::Priority>(9));
    CHECK(isDamaged(Record::decode(sealed(message))));
}

TEST(Codec, AnEntryKeepsItsOffset)
{
    const Fleet::Record record = recordWith(MoveCommitted{Action});
    const Entry entry = Record::decodeEntry({5}, Record::encode(record));
    CHECK(entry == (Entry{{5}, record}));
    CHECK(Record::decodeEntry({6}, "nonsense").record() == nullptr);
}
