#include "sections.h"

#include <array>
#include <optional>
#include <string>
#include <utility>

using namespace std::chrono_literals;

namespace
{

constexpr std::string_view IdempotentSuffix = " idempotent";
constexpr std::size_t LongestPathPrefix = 100;

bool isPathPrefix(std::string_view text)
{
    const bool isPlain = text.find_first_of(" \t,;\"?#") == std::string_view::npos;
    return isPlain && text.starts_with('/') && text.size() <= LongestPathPrefix;
}

} // namespace

namespace Settings
{

template<>
struct Spellings<Document::Priority> {
    static constexpr auto all()
    {
        using Document::Priority;
        return std::array<std::pair<Priority, std::string_view>, 3>{{{Priority::Interactive, "interactive"},
                                                                     {Priority::Urgent, "urgent"},
                                                                     {Priority::Batch, "batch"}}};
    }
};

/// "/path" or "/path idempotent".
template<>
struct ValueFormat<Document::Route> {
    static std::optional<Document::Route> parse(std::string_view text)
    {
        const bool isIdempotent = text.ends_with(IdempotentSuffix);
        if (isIdempotent) {
            text.remove_suffix(IdempotentSuffix.size());
        }
        if (!isPathPrefix(text)) {
            return std::nullopt;
        }
        return Document::Route{std::string(text), isIdempotent};
    }

    static std::string print(const Document::Route &value)
    {
        return value.isIdempotent ? value.pathPrefix + std::string(IdempotentSuffix) : value.pathPrefix;
    }

    static std::string kind()
    {
        return "path prefixes such as /path, or /path idempotent";
    }
};

} // namespace Settings

namespace Document
{

namespace
{

using Internal::Environment;
using Internal::Only;
using Internal::SectionDeclarations;
using Settings::AnyValue;
using Settings::NotEmpty;
using Settings::range;
using Settings::Required;

constexpr PerMille Whole = 1000;
constexpr std::uint32_t MostPerInstance = 1'000'000;
constexpr double HeaviestWeight = 1000;

SectionDeclarations<Environment> declaredEnvironment()
{
    SectionDeclarations<Environment> settings;
    settings.section(&Only<Environment>::part, "environment", "The environment that the document is for.")
        .add(&Environment::name, "name", Required, AnyValue{}, "Name of the environment.")
        .add(&Environment::zones, "zones", Required, NotEmpty{}, "Its availability zones.");
    return settings;
}

SectionDeclarations<Pool> declaredPool()
{
    SectionDeclarations<Pool> settings;
    settings.section(&Only<Pool>::part, "pool", "A pool of instances.")
        .add(&Pool::isSpare,
             "spare",
             false,
             AnyValue{},
             "Whether it lends instances to others; true for one pool.");
    return settings;
}

SectionDeclarations<Instance> declaredInstance()
{
    SectionDeclarations<Instance> settings;
    settings.section(&Only<Instance>::part, "instance", "A machine that carries targets.")
        .add(&Instance::pool, "pool", Required, AnyValue{}, "The one pool it belongs to.")
        .add(&Instance::zone, "zone", Required, AnyValue{}, "Availability zone it stands in.")
        .add(&Instance::rack, "rack", Required, AnyValue{}, "Rack it stands in; a rack is in one zone.")
        .add(&Instance::address, "address", Required, Settings::IpNumber{}, "IP number of its targets.")
        .add(&Instance::port, "port", Required, range<std::uint16_t>(1, 65535), "Port of its targets.")
        .add(&Instance::slots,
             "slots",
             Required,
             range<std::uint32_t>(1, MostPerInstance),
             "Requests executed at once, over all entry instances.")
        .add(&Instance::connections,
             "connections",
             Required,
             range<std::uint32_t>(1, MostPerInstance),
             "Open connections, over all entry instances; not fewer than slots.");
    return settings;
}

SectionDeclarations<Service> declaredService()
{
    SectionDeclarations<Service> settings;
    settings.section(&Only<Service>::part, "service", "What callers ask for.")
        .add(&Service::pool, "pool", Required, AnyValue{}, "Pool that executes its requests.")
        .add(&Service::routes,
             "routes",
             Required,
             NotEmpty{},
             "Path prefixes of its requests; the longest wins.")
        .add(&Service::priority, "priority", Required, AnyValue{}, "Which requests go first.")
        .add(&Service::deadline,
             "deadline_ms",
             Required,
             range<Milliseconds>(1ms, 86'400s),
             "Deadline of a request that brings none.")
        .add(&Service::availability,
             "availability_per_mille",
             Required,
             range<PerMille>(0, Whole),
             "Share of its pool's slots to keep available over all zones.")
        .add(&Service::zoneAvailability,
             "zone_availability_per_mille",
             PerMille{0},
             range<PerMille>(0, Whole),
             "Share of its pool's slots to keep available within each zone.")
        .add(&Service::survivesZoneLoss,
             "survives_zone_loss",
             false,
             AnyValue{},
             "Whether its availability holds with any one zone lost, not only any one rack.");
    return settings;
}

SectionDeclarations<Maintenance> declaredMaintenance()
{
    SectionDeclarations<Maintenance> settings;
    settings.section(&Only<Maintenance>::part, "maintenance", "How instances are drained and rebooted.")
        .add(&Maintenance::drainTimeout,
             "drain_timeout_ms",
             60s,
             range<Milliseconds>(1ms, 86'400s),
             "Longest drain of an instance; not shorter than any service's deadline.")
        .add(&Maintenance::maxConcurrent,
             "most_at_once",
             1,
             range<std::uint32_t>(1, MostPerInstance),
             "Instances in maintenance at once, in each zone.")
        .add(&Maintenance::wave, "wave", {}, AnyValue{}, "Pools to be rebooted, in this order; empty: none.")
        .add(&Maintenance::waveNumber, "wave_number", 0, AnyValue{}, "A new wave starts when this grows.");
    return settings;
}

SectionDeclarations<Weights> declaredWeights()
{
    const auto weight = range<double>(0, HeaviestWeight);
    SectionDeclarations<Weights> settings;
    settings
        .section(&Only<Weights>::part, "weights", "What is dear to the firm, each relative to the others.")
        .add(&Weights::buffer, "buffer", 1, weight, "Idle capacity held in reserve.")
        .add(&Weights::moves, "moves", 1, weight, "Moves of instances between pools.")
        .add(&Weights::rollOutTime, "roll_out_time", 1, weight, "Time until an edit or a wave is through.");
    return settings;
}

template<typename Part>
Ini::Section section(const Part &part)
{
    return Internal::declarations<Part>().sections(Only<Part>{part}).front();
}

template<typename Part>
void appendNamed(std::vector<Ini::Section> &sections, std::span<const Part> parts)
{
    for (const Part &it : parts) {
        sections.push_back(section(it));
        sections.back().name += " " + it.name.value;
    }
}

template<typename Part>
void appendDescription(std::vector<Settings::SectionDescription> &descriptions, bool isNamed)
{
    descriptions.push_back(Internal::declarations<Part>().descriptions().front());
    if (isNamed) {
        descriptions.back().section += " NAME";
    }
}

} // namespace

namespace Internal
{

template<>
const SectionDeclarations<Environment> &declarations()
{
    static auto settings = declaredEnvironment();
    return settings;
}

template<>
const SectionDeclarations<Pool> &declarations()
{
    static auto settings = declaredPool();
    return settings;
}

template<>
const SectionDeclarations<Instance> &declarations()
{
    static auto settings = declaredInstance();
    return settings;
}

template<>
const SectionDeclarations<Service> &declarations()
{
    static auto settings = declaredService();
    return settings;
}

template<>
const SectionDeclarations<Maintenance> &declarations()
{
    static auto settings = declaredMaintenance();
    return settings;
}

template<>
const SectionDeclarations<Weights> &declarations()
{
    static auto settings = declaredWeights();
    return settings;
}

std::vector<Ini::Section> sections(const Document &document)
{
    std::vector<Ini::Section> sections;
    sections.push_back(section(Environment{document.environment, document.zones}));
    appendNamed<Pool>(sections, document.pools);
    appendNamed<Service>(sections, document.services);
    sections.push_back(section(document.maintenance));
    sections.push_back(section(document.weights));
    appendNamed<Instance>(sections, document.instances);
    return sections;
}

} // namespace Internal

std::vector<Settings::SectionDescription> sectionDescriptions()
{
    std::vector<Settings::SectionDescription> descriptions;
    appendDescription<Environment>(descriptions, false);
    appendDescription<Pool>(descriptions, true);
    appendDescription<Service>(descriptions, true);
    appendDescription<Maintenance>(descriptions, false);
    appendDescription<Weights>(descriptions, false);
    appendDescription<Instance>(descriptions, true);
    return descriptions;
}

} // namespace Document
