#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/random.h"
#include "daisystream/base/result.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Sealed texts that callers hold and give back: resume ids of events and order tickets. AES-256-GCM keeps them secret
/// and proves that they are ours; any VM with the keys can open them.
///
/// Example:
/// @code
///   ResumeSealer sealer({key}, Random(seed));
///   const std::string id = sealer.seal(point);
///   Result<ResumePoint> opened = sealer.open(id, team, now);
/// @endcode

namespace daisystream
{

constexpr std::size_t kSealingKeyBytes = 32;

/// One key of the row `keys/seal`.
struct SealingKey
{
    std::uint32_t number = 0; ///< Rises with every rotation.
    std::array<unsigned char, kSealingKeyBytes> bytes{};

    friend auto operator<=>(const SealingKey &, const SealingKey &) = default;
};

/// Seals byte strings. The newest key seals, all given keys open. Thread-compatible.
class Sealer
{
public:
    /// @param random must differ between VMs and incarnations, because the nonce's prefix is drawn from it. A prefix with
    ///     a counter instead of a random nonce for each text: at 2.8 million texts a second random nonces of 96 bits would
    ///     come too close to a repetition within a key's life.
    Sealer(const std::vector<SealingKey> &keys, Random random);
    ~Sealer();
    Sealer(Sealer &&) noexcept;
    Sealer &operator=(Sealer &&) noexcept;

    /// Replaces the keys, after a rotation.
    void setKeys(const std::vector<SealingKey> &keys);
    [[nodiscard]] bool hasKeys() const;

    /// @param purpose is bound to the text: a text sealed for one purpose does not open for another.
    /// @return the sealed text in URL-safe base64; empty if there is no key.
    [[nodiscard]] std::string seal(std::string_view plain, std::string_view purpose);
    /// @return the plain bytes, or nothing if the text was not sealed with one of the keys for this purpose.
    [[nodiscard]] std::optional<std::string> open(std::string_view sealed, std::string_view purpose) const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

/// Where an answer can be continued.
struct ResumePoint
{
    EndpointId endpoint;
    GenerationId generation;
    std::uint64_t offset = 0; ///< Tokens that the caller has.
    TeamId team;
    RequestId request;
    std::chrono::sys_seconds expiry{};

    friend auto operator<=>(const ResumePoint &, const ResumePoint &) = default;
};

namespace internal
{

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
struct ResumeFaults
{
    bool ignoreTeam = false;
    bool newestKeyOnly = false;
};

} // namespace internal

/// Seals the ids of events towards the caller. Thread-compatible.
class ResumeSealer
{
public:
    ResumeSealer(const std::vector<SealingKey> &keys, Random random, internal::ResumeFaults faults = {});

    void setKeys(const std::vector<SealingKey> &keys);
    /// @return the id in URL-safe base64; empty if there is no key.
    [[nodiscard]] std::string seal(const ResumePoint &point);
    /// @param team the team that presents the id.
    /// @return the point, `ForgedResumeId`, `ForeignResumeId` or `ExpiredResumeId`.
    [[nodiscard]] Result<ResumePoint> open(std::string_view id, const TeamId &team, std::chrono::sys_seconds now) const;

private:
    Sealer sealer_;
    internal::ResumeFaults faults_;
};

} // namespace daisystream
