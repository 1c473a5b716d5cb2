#include "keydigest.h"

#include <xxhash.h>

#include <memory>

namespace Claims
{

namespace
{

struct StateDeleter {
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};
using HashState = std::unique_ptr<XXH3_state_t, StateDeleter>;

void updateWithLength(XXH3_state_t *state, std::string_view part)
{
    const std::uint64_t length = part.size();
    XXH3_64bits_update(state, &length, sizeof(length));
    XXH3_64bits_update(state, part.data(), part.size());
}

} // namespace

KeyDigest digestOf(std::string_view service, std::string_view key)
{
    const HashState state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    const std::uint64_t length = service.size();
    XXH3_128bits_update(state.get(), &length, sizeof(length));
    XXH3_128bits_update(state.get(), service.data(), service.size());
    XXH3_128bits_update(state.get(), key.data(), key.size());
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    return {hash.high64, hash.low64};
}

std::uint64_t fingerprintOf(std::span<const std::string_view> parts)
{
    const HashState state(XXH3_createState());
    XXH3_64bits_reset(state.get());
    for (const std::string_view it : parts) {
        updateWithLength(state.get(), it);
    }
    return XXH3_64bits_digest(state.get());
}

} // namespace Claims
