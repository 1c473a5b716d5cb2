#include "randomdocument.h"

#include <document/documentreader.h>

#include <set>
#include <string>

#include <fmt/format.h>

namespace Document
{

namespace
{

constexpr std::size_t MostOfAKind = 12;

std::uint64_t below(Random &random, std::uint64_t end)
{
    return std::uniform_int_distribution<std::uint64_t>(0, end - 1)(random);
}

std::string randomName(Random &random, std::string_view kind)
{
    return fmt::format("{}{}", kind, below(random, MostOfAKind));
}

template<typename Part, typename Make>
std::vector<Part> randomParts(Random &random, std::string_view kind, Make make)
{
    std::vector<Part> parts;
    std::set<std::string> seen;
    for (std::uint64_t n = below(random, MostOfAKind + 1); n > 0; --n) {
        Part part = make();
        part.name.value = randomName(random, kind);
        if (seen.insert(part.name.value).second) {
            parts.push_back(part);
        }
    }
    return parts;
}

Instance randomInstance(Random &random)
{
    Instance instance;
    instance.address = fmt::format("127.0.0.{}", below(random, 255));
    instance.port = static_cast<std::uint16_t>(below(random, 65535) + 1);
    instance.zone.value = randomName(random, "z");
    instance.rack.value = randomName(random, "r");
    instance.slots = static_cast<std::uint32_t>(below(random, 9) + 1);
    instance.connections = static_cast<std::uint32_t>(below(random, 64) + 1);
    instance.pool.value = randomName(random, "p");
    return instance;
}

Service randomService(Random &random)
{
    Service service;
    service.pool.value = randomName(random, "p");
    for (std::uint64_t n = below(random, 30) + 1; n > 0; --n) {
        service.routes.push_back({randomName(random, "/some/longer/path/"), below(random, 2) == 1});
    }
    service.priority = static_cast<Priority>(below(random, 3));
    service.deadline = Milliseconds(below(random, 1000) + 1);
    service.availability = static_cast<PerMille>(below(random, 1001));
    service.zoneAvailability = static_cast<PerMille>(below(random, 1001));
    service.survivesZoneLoss = below(random, 2) == 1;
    return service;
}

} // namespace

Document randomDocument(Random &random)
{
    Document document;
    document.environment.value = randomName(random, "e");
    for (std::uint64_t n = below(random, 3) + 1; n > 0; --n) {
        document.zones.push_back({randomName(random, "z")});
    }
    document.pools = randomParts<Pool>(random, "p", [&] { return Pool{{}, below(random, 2) == 1}; });
    document.instances = randomParts<Instance>(random, "i", [&] { return randomInstance(random); });
    document.services = randomParts<Service>(random, "s", [&] { return randomService(random); });
    document.maintenance.drainTimeout = Milliseconds(below(random, 2) + 1000);
    document.maintenance.waveNumber = below(random, 2);
    for (std::uint64_t n = below(random, MostOfAKind); n > 0; --n) {
        document.maintenance.wave.push_back({randomName(random, "p")});
    }
    document.weights.buffer = static_cast<double>(below(random, 1000)) / 7;
    return canonical(document);
}

} // namespace Document
