#include "daisystream/routes/configurationorder.h"

#include "daisystream/base/stablehash.h"

#include <algorithm>

namespace daisystream
{

namespace
{

// More configurations than an operator writes between the making of a backup and its use, some seconds later.
constexpr std::size_t kPastTexts = 256;

} // namespace

std::optional<StoreRevision> ConfigurationOrder::versionOf(const ReadConfiguration &read) const
{
    const StoreRevision written{.epoch = read.isWrittenInEpoch ? read.epoch : 0, .number = read.number};
    if (!version_) {
        return written;
    }
    if (read.number > version_->number) {
        return StoreRevision{.epoch = std::max(written.epoch, version_->epoch), .number = read.number};
    }
    const bool isRestored = read.epoch > knownEpoch_;
    if (!isRestored || wasInForce(read.text)) {
        return std::nullopt;
    }
    // Each configuration since the first one was in force here, so that an unknown text with a later number is not from the backup.
    const bool isWrittenAgain = read.isWrittenInEpoch || read.number >= firstNumber_;
    return isWrittenAgain ? std::optional(StoreRevision{.epoch = read.epoch, .number = read.number}) : std::nullopt;
}

void ConfigurationOrder::onInForce(const StoreRevision &version, std::string_view text, std::uint64_t epoch)
{
    if (!version_) {
        firstNumber_ = version.number;
    }
    version_ = version;
    const auto hash = stableHash(text);
    if (hash == textHash_ && !pastTexts_.empty()) {
        return; // Another VM knows more of when it was written.
    }
    textHash_ = hash;
    knownEpoch_ = std::max(epoch, version.epoch);
    pastTexts_.push_back(hash);
    if (pastTexts_.size() > kPastTexts) {
        pastTexts_.pop_front();
    }
}

bool ConfigurationOrder::wasInForce(std::string_view text) const
{
    return std::find(pastTexts_.begin(), pastTexts_.end(), stableHash(text)) != pastTexts_.end();
}

} // namespace daisystream
