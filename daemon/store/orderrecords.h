#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <boost/asio/spawn.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// @file
/// Durable records of orders that carry a key chosen by the caller. An order runs at most once because only the VM whose
/// insert of the record took effect dispatches the order.
///
/// Example:
/// @code
///   auto version = records.insert(name, text, yield);
///   if (std::holds_alternative<std::uint64_t>(version)) { dispatch(); }
/// @endcode

namespace daisystream
{

class PlatformClient;

/// One record with the version that must be passed to `replace`.
struct OrderRecord
{
    std::string text;
    std::uint64_t version = 0;
};

/// Interface to the rows of the table `orders`, which are named TEAM/SERVICE/KEY. Thread-safe.
class OrderRecords
{
public:
    virtual ~OrderRecords() = default;

    /// Reads a record.
    /// @return the record, nothing if no record has this name, or `PlatformUnavailable`.
    [[nodiscard]] virtual Result<std::optional<OrderRecord>> read(const std::string &name, boost::asio::yield_context yield) = 0;

    /// Inserts a record if no record has this name.
    /// @return the version of the new record; `WriteConflict` if the name is taken; `PlatformUnavailable` if the insert certainly did not take
    ///     effect; `OutcomeOfWriteUnknown` if the insert may have taken effect.
    [[nodiscard]] virtual Result<std::uint64_t> insert(const std::string &name, const std::string &text, boost::asio::yield_context yield) = 0;

    /// Replaces the record if it still has the given version.
    /// @return the new version; `WriteConflict` if the record has another version; other errors as for `insert`.
    [[nodiscard]] virtual Result<std::uint64_t>
    replace(const std::string &name, std::uint64_t version, const std::string &text, boost::asio::yield_context yield) = 0;
};

/// Implementation that stores the records in the platform's table service. Thread-safe.
class PlatformOrderRecords : public OrderRecords
{
public:
    /// @param platform must outlive this object.
    explicit PlatformOrderRecords(PlatformClient &platform);

    [[nodiscard]] Result<std::optional<OrderRecord>> read(const std::string &name, boost::asio::yield_context yield) override;
    [[nodiscard]] Result<std::uint64_t> insert(const std::string &name, const std::string &text, boost::asio::yield_context yield) override;
    [[nodiscard]] Result<std::uint64_t>
    replace(const std::string &name, std::uint64_t version, const std::string &text, boost::asio::yield_context yield) override;

private:
    PlatformClient &platform_;
};

} // namespace daisystream
