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
/// Encrypts and authenticates opaque tokens that callers store and return: the resume ids of events and order tickets.
/// AES-256-GCM hides the contents and detects forged or altered tokens. Any VM that has the keys can decrypt them.
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

/// One encryption key from the table row `keys/seal`.
struct SealingKey
{
    std::uint32_t number = 0; ///< Increases with every key rotation; the newest key has the highest number.
    std::array<unsigned char, kSealingKeyBytes> bytes{};

    friend auto operator<=>(const SealingKey &, const SealingKey &) = default;
};

/// Encrypts byte strings with the newest key and decrypts them with any of the given keys. Thread-compatible.
class Sealer
{
public:
    /// @param keys the keys in any order; without a key, seal() returns an empty text until setKeys() provides one.
    /// @param random generates the random prefix of every nonce. Its seed must differ between VMs and between incarnations
    ///     of a VM, so that no nonce is used twice with a key. The rest of the nonce is a counter: at 2.8 million texts per
    ///     second, the risk that fully random 96-bit nonces repeat within the lifetime of a key would be too high.
    Sealer(const std::vector<SealingKey> &keys, Random random);
    ~Sealer();
    Sealer(Sealer &&) noexcept;
    Sealer &operator=(Sealer &&) noexcept;

    /// Replaces all keys, for example after a key rotation.
    void setKeys(const std::vector<SealingKey> &keys);
    [[nodiscard]] bool hasKeys() const;

    /// Encrypts a byte string.
    /// @param plain the bytes to encrypt.
    /// @param purpose is authenticated as additional data: open() rejects the text if it is called with another purpose.
    /// @return the encrypted text in URL-safe base64; empty if there is no key or the encryption failed.
    [[nodiscard]] std::string seal(std::string_view plain, std::string_view purpose);
    /// Decrypts a text that seal() returned on any VM.
    /// @param sealed the encrypted text in URL-safe base64.
    /// @param purpose the purpose that was passed to seal().
    /// @return the decrypted bytes, or nothing if the text was not encrypted with one of the keys for this purpose.
    [[nodiscard]] std::optional<std::string> open(std::string_view sealed, std::string_view purpose) const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

/// The contents of a resume id: where in an answer the caller's connection ended, and who may continue it.
struct ResumePoint
{
    EndpointId endpoint;
    GenerationId generation;
    std::uint64_t offset = 0; ///< Number of tokens that the caller has received.
    TeamId team;
    RequestId request;
    std::chrono::sys_seconds expiry{}; ///< From this time on, the id is rejected.

    friend auto operator<=>(const ResumePoint &, const ResumePoint &) = default;
};

namespace internal
{

/// Defects that the schedule tests inject to check that they detect each one. All are off in production.
struct ResumeFaults
{
    bool ignoreTeam = false;    ///< Accepts ids of other teams.
    bool newestKeyOnly = false; ///< Discards all keys but the newest, so that ids from before a rotation are rejected.
};

} // namespace internal

/// Creates and checks the resume ids of the events that are sent to callers. Thread-compatible.
class ResumeSealer
{
public:
    /// @param keys as for Sealer.
    /// @param random as for Sealer.
    /// @param faults defects to inject; none in production.
    ResumeSealer(const std::vector<SealingKey> &keys, Random random, internal::ResumeFaults faults = {});

    /// Replaces all keys, for example after a key rotation.
    void setKeys(const std::vector<SealingKey> &keys);
    /// @return the resume id in URL-safe base64; empty if there is no key or the encryption failed.
    [[nodiscard]] std::string seal(const ResumePoint &point);
    /// Decrypts and checks a resume id.
    /// @param id the resume id that the caller sent.
    /// @param team the team of the caller.
    /// @param now the current calendar time.
    /// @return the contents of the id, or an error: `ForgedResumeId` if it cannot be decrypted or parsed,
    ///     `ForeignResumeId` if it was issued to another team, `ExpiredResumeId` if it is no longer valid.
    [[nodiscard]] Result<ResumePoint> open(std::string_view id, const TeamId &team, std::chrono::sys_seconds now) const;

private:
    Sealer sealer_;
    internal::ResumeFaults faults_;
};

} // namespace daisystream
