#pragma once

#include <cstdint>
#include <random>

/// @file
/// The seeded random number generator. It is passed into every component that makes random choices, so that a run can be
/// reproduced from its seed.
///
/// Example:
/// @code
///   Random random(seed);
///   const double jitter = random.uniform();
/// @endcode

namespace daisystream
{

/// A deterministic pseudorandom number generator. Thread-compatible.
class Random
{
public:
    /// @param seed generators with the same seed return the same sequence of numbers.
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// @return a uniformly distributed number in [0, 1).
    [[nodiscard]] double uniform()
    {
        // Scales the value directly, because the results of std::uniform_real_distribution differ between standard libraries.
        constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(engine_() >> 11U) * kScale;
    }

    /// @param bound the exclusive upper limit; must be positive.
    /// @return a uniformly distributed integer in [0, bound).
    [[nodiscard]] std::uint64_t below(std::uint64_t bound)
    {
        return static_cast<std::uint64_t>(uniform() * static_cast<double>(bound));
    }

    /// @return 64 random bits.
    [[nodiscard]] std::uint64_t bits()
    {
        return engine_();
    }

private:
    std::mt19937_64 engine_;
};

} // namespace daisystream
