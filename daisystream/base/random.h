#pragma once

#include <cstdint>
#include <random>

/// @file
/// The seeded generator that is passed into every component that needs chance, so that a run replays from its seed.
///
/// Example:
/// @code
///   Random random(seed);
///   const double jitter = random.uniform();
/// @endcode

namespace daisystream
{

/// A deterministic source of random numbers. Thread-compatible.
class Random
{
public:
    /// @param seed the same seed gives the same numbers.
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// @return a number in [0, 1).
    [[nodiscard]] double uniform()
    {
        // Own scaling instead of std::uniform_real_distribution, whose results differ between standard libraries.
        constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(engine_() >> 11U) * kScale;
    }

    /// @param bound must be positive.
    /// @return a number in [0, bound).
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
