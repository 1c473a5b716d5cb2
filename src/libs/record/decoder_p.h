#pragma once

#include "generated/record.pb.h"

#include <fleet/record.h>

#include <string>
#include <string_view>

namespace Record::Internal
{

/// Turns messages into records and notes the first thing that can't be understood.
class Decoder
{
public:
    Fleet::Record read(const Wire::Record &message);

    bool isSound() const
    {
        return m_reason.empty();
    }

    const std::string &reason() const
    {
        return m_reason;
    }

private:
    Fleet::Event readEvent(const Wire::Record &message);
    Fleet::EditProposed read(const Wire::EditProposed &message);
    Fleet::Observations read(const Wire::Observations &message);
    Fleet::PlannerMemory read(const Wire::PlannerMemory &message);
    Fleet::InstanceReport read(const Wire::InstanceReport &message);
    Fleet::ActionReport read(const Wire::ActionReport &message);

    Document::Delta read(const Wire::Delta &message, Fleet::UnknownFields &unknownFields);
    Document::Document read(const Wire::Document &message, Fleet::UnknownFields &unknownFields);
    Document::Pool read(const Wire::Pool &message, Fleet::UnknownFields &unknownFields);
    Document::Instance read(const Wire::Instance &message, Fleet::UnknownFields &unknownFields);
    Document::Service read(const Wire::Service &message, Fleet::UnknownFields &unknownFields);

    Fleet::FleetState read(const Wire::FleetState &message);
    void readInstances(const Wire::FleetState &message, Fleet::FleetState &state);
    Fleet::Move read(const Wire::Move &message);
    Fleet::Maintenance read(const Wire::Maintenance &message);
    Fleet::Wave read(const Wire::Wave &message);
    Fleet::RecordWindow read(const Wire::RecordWindow &message);

    template<typename Enum>
    Enum toEnum(int value, bool isKnown)
    {
        if (!isKnown) {
            fail("unknown value of an enumeration");
        }
        return static_cast<Enum>(value);
    }

    void fail(std::string_view reason)
    {
        if (m_reason.empty()) {
            m_reason = reason;
        }
    }

    std::string m_reason;
};

} // namespace Record::Internal
