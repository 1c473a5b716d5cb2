#include "peerprotocol.h"

#include <jobs/jobrecord.h>
#include <jobs/jsonfields.h>

#include <boost/json.hpp>

#include <exception>
#include <span>

namespace JobService
{

namespace json = boost::json;

namespace
{

json::array encodeNames(std::span<const std::string> names)
{
    return json::array(names.begin(), names.end());
}

std::vector<std::string> decodeNames(const json::value &from)
{
    std::vector<std::string> names;
    for (const json::value &it : from.as_array()) {
        names.emplace_back(it.as_string());
    }
    return names;
}

json::object encodeDemand(const Jobs::ServiceDemand &demand)
{
    json::object to{{"service", demand.service},
                    {"cores", demand.milliCores},
                    {"late", demand.lateMilliCores},
                    {"lasting", demand.longRunningMilliCores},
                    {"arrived", demand.arrivedWork},
                    {"least", demand.minWorkers},
                    {"whole", demand.emptyWorkers},
                    {"releasable", encodeNames(demand.releasableWorkers)}};
    if (demand.arrivedJobs > 0) {
        to["jobs"] = demand.arrivedJobs;
    }
    return to;
}

Jobs::ServiceDemand decodeDemand(const json::object &from)
{
    Jobs::ServiceDemand demand;
    demand.service = std::string(from.at("service").as_string());
    demand.milliCores = from.at("cores").to_number<std::int64_t>();
    demand.lateMilliCores = from.at("late").to_number<std::int64_t>();
    demand.longRunningMilliCores = from.at("lasting").to_number<std::int64_t>();
    demand.arrivedWork = from.at("arrived").to_number<double>();
    demand.minWorkers = from.at("least").to_number<std::uint32_t>();
    demand.emptyWorkers = from.at("whole").to_number<std::uint32_t>();
    demand.releasableWorkers = decodeNames(from.at("releasable"));
    if (const json::value *jobs = from.if_contains("jobs")) { // earlier builds don't send it
        demand.arrivedJobs = jobs->to_number<std::uint64_t>();
    }
    return demand;
}

json::object encodeHome(const IntendedHome &home)
{
    return {{"shard", home.shard}, {"queue", encodeNames(home.queue)}, {"service", home.service}};
}

IntendedHome decodeHome(const json::object &from)
{
    return {from.at("shard").to_number<ShardNumber>(),
            decodeNames(from.at("queue")),
            std::string(from.at("service").as_string())};
}

} // namespace

std::string_view toString(Operation operation)
{
    switch (operation) {
    case Operation::Submit:
        return "submit";
    case Operation::Cancel:
        return "cancel";
    case Operation::State:
        return "state";
    case Operation::Pending:
        return "pending";
    case Operation::Demand:
        return "demand";
    case Operation::Evacuate:
        return "evacuate";
    }
    return "unknown";
}

std::string_view toString(JobReply::Status status)
{
    switch (status) {
    case JobReply::Status::Done:
        return "done";
    case JobReply::Status::NoSuchJob:
        return "no-such-job";
    case JobReply::Status::Refused:
        return "refused";
    case JobReply::Status::Unplaceable:
        return "hopeless";
    case JobReply::Status::Unknown:
        return "unknown";
    case JobReply::Status::NotOwner:
        return "not-owner";
    case JobReply::Status::Redirected:
        return "elsewhere";
    }
    return "unknown";
}

std::string encode(const JobRequest &request)
{
    json::object out{{"shard", request.shard}, {"operation", static_cast<int>(request.operation)}};
    if (request.spec) {
        out["spec"] = Jobs::encodeSpec(*request.spec, {});
    } else {
        out["subject"] = request.subject;
    }
    if (!request.queuePath.empty()) {
        out["path"] = request.queuePath;
    }
    if (request.caller) {
        out["workspace"] = request.caller->workspace;
        out["public_queue"] = request.caller->publicQueue;
    }
    if (!request.workers.empty()) {
        out["workers"] = encodeNames(request.workers);
    }
    if (request.isForwardedByHome) {
        out["sent_on"] = true;
    }
    if (request.intendedHome) {
        out["home"] = encodeHome(*request.intendedHome);
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
        request.queuePath = Jobs::textOrEmpty(from, "path");
        if (from.contains("workspace")) {
            request.caller =
                Caller{Jobs::textOrEmpty(from, "workspace"), Jobs::textOrEmpty(from, "public_queue")};
        }
        if (const json::value *found = from.if_contains("workers")) {
            request.workers = decodeNames(*found);
        }
        request.isForwardedByHome = Jobs::flagOrFalse(from, "sent_on");
        if (const json::value *found = from.if_contains("home")) { // earlier builds don't send it
            request.intendedHome = decodeHome(found->as_object());
        }
        return request;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string encode(const JobReply &reply)
{
    json::object out{{"status", static_cast<int>(reply.status)},
                     {"state", static_cast<int>(reply.state)},
                     {"pending", reply.pending},
                     {"retry_after", reply.retryAfter.count()}};
    if (!reply.demand.empty()) {
        json::array demand;
        for (const Jobs::ServiceDemand &it : reply.demand) {
            demand.push_back(encodeDemand(it));
        }
        out["demand"] = std::move(demand);
    }
    if (!reply.emptyWorkers.empty()) {
        out["empty"] = encodeNames(reply.emptyWorkers);
    }
    if (!reply.failureReason.empty()) {
        out["reason"] = reply.failureReason;
    }
    if (reply.status == JobReply::Status::Redirected) {
        out["elsewhere"] = reply.redirectedTo;
    }
    if (reply.isUnsettled) {
        out["unsettled"] = true;
    }
    return json::serialize(out);
}

std::optional<JobReply> decodeReply(std::string_view text)
{
    try {
        const json::value parsed = json::parse(json::string_view(text.data(), text.size()));
        const json::object &from = parsed.as_object();
        JobReply reply;
        reply.status = static_cast<JobReply::Status>(from.at("status").to_number<int>());
        reply.state = static_cast<ReportedState>(from.at("state").to_number<int>());
        reply.pending = from.at("pending").to_number<std::uint64_t>();
        reply.retryAfter = Jobs::Milliseconds(from.at("retry_after").to_number<std::int64_t>());
        if (const json::value *found = from.if_contains("demand")) {
            for (const json::value &it : found->as_array()) {
                reply.demand.push_back(decodeDemand(it.as_object()));
            }
        }
        if (const json::value *found = from.if_contains("empty")) {
            reply.emptyWorkers = decodeNames(*found);
        }
        reply.failureReason = Jobs::textOrEmpty(from, "reason");
        reply.redirectedTo = Jobs::numberOr<ShardNumber>(from, "elsewhere", 0);
        reply.isUnsettled = Jobs::flagOrFalse(from, "unsettled");
        return reply;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace JobService
