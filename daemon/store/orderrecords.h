#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <boost/asio/spawn.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// @file
/// The durable records of orders that carry a caller's own key. The insert is what makes an order run at most once: only
/// the VM whose insert took effect dispatches it.
///
/// Example:
/// @code
///   auto version = records.insert(name, text, yield);
///   if (std::holds_alternative<std::uint64_t>(version)) { dispatch(); }
/// @endcode

namespace daisystream
{

class PlatformClient;

/// One record with the version that a replacement must name.
struct OrderRecord
{
    std::string text;
    std::uint64_t version = 0;
};

/// Rows of the table `orders`, named TEAM/SERVICE/KEY. Thread-safe.
class OrderRecords
{
public:
    virtual ~OrderRecords() = default;

    /// Reads a record.
    /// @return the record, nothing if there is none, or `PlatformUnavailable`.
    [[nodiscard]] virtual Result<std::optional<OrderRecord>> read(const std::string &name, boost::asio::yield_context yield) = 0;

    /// Inserts a record if there is none of that name.
    /// @return its version; `WriteConflict` if there is one; `PlatformUnavailable` if the insert certainly did not take
    ///     effect; `OutcomeOfWriteUnknown` if it may have.
    [[nodiscard]] virtual Result<std::uint64_t> insert(const std::string &name, const std::string &text, boost::asio::yield_context yield) = 0;

    /// Replaces the record if it still has the version. Errors as with `insert`.
    [[nodiscard]] virtual Result<std::uint64_t>
    replace(const std::string &name, std::uint64_t version, const std::string &text, boost::asio::yield_context yield) = 0;
};

/// Records in the platform's table. Thread-safe.
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
