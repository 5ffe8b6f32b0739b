#include "daisystream/base/stablehash.h"

namespace daisystream
{

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t kOffset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t kPrime = 0x100000001b3ULL;
    constexpr std::uint64_t kMixer = 0xff51afd7ed558ccdULL;
    constexpr unsigned kShift = 33;
    std::uint64_t hash = kOffset ^ seed;
    for (const char byte : text) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
    }
    hash = (hash ^ (hash >> kShift)) * kMixer;
    return hash ^ (hash >> kShift);
}

} // namespace daisystream
