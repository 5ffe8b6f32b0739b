#pragma once

#include "daisystream/base/storerevision.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Decides whether a configuration that was read from the store replaces the one in force, also after the store was restored from a
/// backup.
///
/// Within an epoch of the store, the configuration with the highest number is the newest. After a restore, the store holds an older
/// configuration until the operator has written the newest one again, and the operator may then use numbers again that were in use.
/// An older configuration must not come back into force, because it may admit keys that were revoked since. It is recognized by its text,
/// which contains its number: a text that was in force here before is an older one.
///
/// Example:
/// @code
///   ConfigurationOrder order;
///   if (const auto version = order.versionOf({.number = 12, .text = text, .epoch = 2, .isWrittenInEpoch = true})) {
///       lists.offer(DocumentKind::Routes, *version, text);
///   }
///   order.onInForce({.epoch = 2, .number = 12}, text, 2);
/// @endcode

namespace daisystream
{

/// A configuration as it was read from the store.
struct ReadConfiguration
{
    std::uint64_t number = 0; ///< Its own, which the operator sets.
    std::string_view text{};
    std::uint64_t epoch = 0;       ///< Of the store that was read.
    bool isWrittenInEpoch = false; ///< It was certainly written in that epoch; false if the backup may contain it.

    friend auto operator<=>(const ReadConfiguration &, const ReadConfiguration &) = default;
};

/// Thread-compatible.
class ConfigurationOrder
{
public:
    /// @return the version under which the configuration is put in force, which VMs compare with each other; nothing if it is not newer
    ///     than the one in force here. The epoch of the version is 0 unless the configuration was certainly written in an epoch.
    [[nodiscard]] std::optional<StoreRevision> versionOf(const ReadConfiguration &read) const;

    /// Handles a configuration that was put in force, whether this VM read it or got it from another VM.
    /// @param version under which it is in force.
    /// @param epoch of the store as far as this VM knows.
    void onInForce(const StoreRevision &version, std::string_view text, std::uint64_t epoch);

private:
    [[nodiscard]] bool wasInForce(std::string_view text) const;

    std::optional<StoreRevision> version_; ///< Of the configuration in force.
    std::uint64_t textHash_ = 0;           ///< Of the configuration in force.
    std::uint64_t knownEpoch_ = 0;         ///< Epoch in which the configuration in force was put in force.
    std::uint64_t firstNumber_ = 0;        ///< Of the first configuration that was in force here.
    std::deque<std::uint64_t> pastTexts_;  ///< Hashes of the latest texts that were in force here.
};

} // namespace daisystream
