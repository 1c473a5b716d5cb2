#include "peerprotocol.h"

#include <jobs/jobrecord.h>

#include <boost/json.hpp>

#include <exception>

namespace JobService
{

namespace json = boost::json;

std::string encode(const JobRequest &request)
{
    json::object out{{"shard", request.shard}, {"operation", static_cast<int>(request.operation)}};
    if (request.spec) {
        out["spec"] = Jobs::encodeSpec(*request.spec, {});
    } else {
        out["subject"] = request.subject;
    }
    return json::serialize(out);
}

std::optional<JobRequest> decodeRequest(std::string_view text)
{
    try {
        const json::value parsed = json::parse(json::string_view(text.data(), text.size()));
        const json::object &from = parsed.as_object();
        JobRequest request;
        request.shard = from.at("shard").to_number<ShardNumber>();
        request.operation = static_cast<Operation>(from.at("operation").to_number<int>());
        if (const json::value *found = from.if_contains("spec")) {
            auto job = Jobs::decodeSpec(std::string_view(found->as_string()));
            if (!job) {
                return std::nullopt;
            }
            request.spec = std::move(job->spec);
        } else {
            request.subject = std::string(from.at("subject").as_string());
        }
        return request;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string encode(const JobReply &reply)
{
    return json::serialize(json::object{{"status", static_cast<int>(reply.status)},
                                        {"state", static_cast<int>(reply.state)},
                                        {"pending", reply.pending},
                                        {"retry_after", reply.retryAfter.count()}});
}

std::optional<JobReply> decodeReply(std::string_view text)
{
    try {
        const json::value parsed = json::parse(json::string_view(text.data(), text.size()));
        const json::object &from = parsed.as_object();
        JobReply reply;
        reply.status = static_cast<JobReply::Status>(from.at("status").to_number<int>());
        reply.state = static_cast<ShownState>(from.at("state").to_number<int>());
        reply.pending = from.at("pending").to_number<std::uint64_t>();
        reply.retryAfter = Jobs::Milliseconds(from.at("retry_after").to_number<std::int64_t>());
        return reply;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace JobService
