#include <histories/history.h>
#include <record/codec.h>
#include <record/generated/record.pb.h>

#include <xxhash.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>

using Fleet::EditProposed;
using Fleet::FleetState;
using Fleet::Fold;
using Fleet::SnapshotTaken;
using Fleet::UnknownFields;

namespace
{

constexpr std::uint64_t Seeds = 60;
constexpr int FutureField = 900; ///< a field number that no message of this version has
const Base::AvailabilityZoneName Zone{"a"};

std::string reencoded(const std::string &bytes)
{
    return Record::encode(std::get<Fleet::Record>(Record::decode(bytes)));
}

Record::Wire::Record messageIn(const std::string &bytes)
{
    Record::Wire::Envelope envelope;
    CHECK(envelope.ParseFromString(bytes));
    Record::Wire::Record message;
    CHECK(message.ParseFromString(envelope.record()));
    return message;
}

template<typename Message>
void addFutureField(Message &message, const std::string &value)
{
    message.GetReflection()->MutableUnknownFields(&message)->AddLengthDelimited(FutureField, value);
}

template<typename Message>
std::string futureFieldOf(const Message &message)
{
    const google::protobuf::UnknownFieldSet &fields = message.GetReflection()->GetUnknownFields(message);
    return fields.field_count() == 0 ? std::string() : fields.field(0).length_delimited();
}

/// The record as a newer version would have written it.
template<typename Change>
Fleet::Record fromNewerVersion(const Fleet::Record &record, Change change)
{
    Record::Wire::Record message = messageIn(Record::encode(record));
    change(message);
    Record::Wire::Envelope envelope;
    message.SerializeToString(envelope.mutable_record());
    envelope.set_checksum(XXH3_64bits(envelope.record().data(), envelope.record().size()));
    return std::get<Fleet::Record>(Record::decode(envelope.SerializeAsString()));
}

} // namespace

TEST_GROUP(Snapshot){};

TEST(Snapshot, ASnapshotInTheLogEqualsTheStateItWasTakenOf)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Histories::HistoryOptions options;
        options.seed = seed;
        const Histories::History history = Histories::makeHistory(options);
        const FleetState state =
            Histories::foldInterleaved(history, Fold(Histories::installedCharts(), Zone), [] {
                return true;
            }).state;
        const Fleet::Record record = Histories::makeRecord("snapshot", SnapshotTaken{state});
        const Record::Decoded decoded = Record::decode(Record::encode(record));
        CHECK_TEXT(decoded == Record::Decoded(record), ("seed " + std::to_string(seed)).c_str());
    }
}

TEST(Snapshot, UnknownFieldsOfARewrittenSnapshotStay)
{
    FleetState state;
    state.document = Histories::makeDocument(3, 2);
    const Fleet::Record read =
        fromNewerVersion(Histories::makeRecord("s", SnapshotTaken{state}), [](Record::Wire::Record &it) {
            addFutureField(it, "record");
            Record::Wire::FleetState &newer = *it.mutable_snapshot_taken()->mutable_state();
            addFutureField(newer, "state");
            addFutureField(*newer.mutable_document(), "document");
            addFutureField(*newer.mutable_document()->mutable_pools(1), "pool");
            addFutureField(*newer.mutable_document()->mutable_instances(2), "instance");
            addFutureField(*newer.mutable_document()->mutable_services(0), "service");
        });
    const std::string bytes = Record::encode(read);
    STRCMP_EQUAL(bytes.c_str(), reencoded(bytes).c_str());
    const Record::Wire::Record written = messageIn(bytes);
    const Record::Wire::FleetState &kept = written.snapshot_taken().state();
    STRCMP_EQUAL("record", futureFieldOf(written).c_str());
    STRCMP_EQUAL("state", futureFieldOf(kept).c_str());
    STRCMP_EQUAL("document", futureFieldOf(kept.document()).c_str());
    STRCMP_EQUAL("pool", futureFieldOf(kept.document().pools(1)).c_str());
    STRCMP_EQUAL("instance", futureFieldOf(kept.document().instances(2)).c_str());
    STRCMP_EQUAL("service", futureFieldOf(kept.document().services(0)).c_str());
}

TEST(Snapshot, UnknownFieldsOfAnEditReachTheNextSnapshot)
{
    const EditProposed edit{{}, "", "", Histories::makeFullDelta(Histories::makeDocument(3, 2)), {}};
    const Fleet::Record newer =
        fromNewerVersion(Histories::makeRecord("e", edit), [](Record::Wire::Record &it) {
            addFutureField(*it.mutable_edit_proposed()->mutable_delta()->mutable_set_instances(1),
                           "instance");
        });
    Fold fold(Histories::installedCharts(), Zone);
    fold.applyCommon({{1}, newer});
    const std::string bytes = Record::encode(Histories::makeRecord("s", SnapshotTaken{fold.state()}));
    STRCMP_EQUAL("instance",
                 futureFieldOf(messageIn(bytes).snapshot_taken().state().document().instances(1)).c_str());

    Document::Delta removal;
    removal.removedInstances.push_back({"worker-00001"});
    fold.applyCommon({{2}, Histories::makeRecord("r", EditProposed{{1}, "", "", removal, {}})});
    CHECK(fold.state().unknownFields == UnknownFields{});
    CHECK(fold.snapshot() == Fold(Histories::installedCharts(), Zone).state());
}
