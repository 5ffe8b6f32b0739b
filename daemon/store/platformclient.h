#pragma once

#include "daemon/control/settings.h"
#include "daemon/store/owndialect.h"
#include "daemon/store/storecall.h"
#include "daisystream/base/result.h"
#include "daisystream/base/table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// Client of the platform's table service, object store and VM list.
///
/// Example:
/// @code
///   auto row = platform.getRow("lists", "plans", yield);
///   auto written = platform.putRow("lists", "plans", text, IfMatch{3}, yield);
/// @endcode

namespace daisystream
{

/// One row of a table.
struct Row
{
    std::string text;
    std::uint64_t version = 0; ///< Increases with each write.
};

/// An entry of the platform's list of VMs.
struct ListedVm
{
    VmId vm;
    ZoneId zone;
    std::optional<SocketAddress> peerAddress; ///< Address for connections from other VMs; empty for VMs of endpoints.
    bool leaving = false;

    friend auto operator<=>(const ListedVm &, const ListedVm &) = default;
};

/// @return the VM described by a row of the VM list, or nothing if the row is malformed.
[[nodiscard]] std::optional<ListedVm> parseListedVm(const std::string &text);

/// @return the text of the VM list's row for a VM.
[[nodiscard]] std::string encodeListedVm(const ListedVm &vm);

/// Client for calls to the platform. The reply to a call times out after 2 s. Thread-safe.
class PlatformClient
{
public:
    /// @param address address of the platform; without an address every call fails without being sent.
    /// @param dialect wire protocol of the platform's store.
    PlatformClient(boost::asio::io_context &io, std::optional<SocketAddress> address, std::shared_ptr<const StoreDialect> dialect = ownStoreDialect());
    ~PlatformClient();

    /// @return whether an address is set.
    [[nodiscard]] bool isConfigured() const;

    /// Performs any call. The timeout of a watch is its wait time plus 2 s.
    /// @return the reply; `StoreRefused` if the call was not sent, `StoreUnclear` if it may have been sent and no reply arrived. A reply
    ///     of an earlier epoch than one seen before counts as none.
    [[nodiscard]] StoreReply call(const StoreCall &call, boost::asio::yield_context yield);

    /// Closes the connections of all pending watches and sends the watches again. Used after the platform stopped
    /// responding for a while, since a call that the platform never read gets no reply. Those that watch from a revision of an earlier
    /// epoch end with `StoreHistoryGone` instead.
    void resendWatches();

    /// @return the latest epoch that the store has stated in a response to any call, of this VM or of another one; 0 if it has stated none.
    [[nodiscard]] std::uint64_t epoch() const;

    /// Handles an epoch that the store has stated to another VM. If it is later than the known one, ends the pending watches.
    void onEpochOfOtherVm(std::uint64_t epoch);

    /// @return the row, nothing if it does not exist, or `PlatformUnavailable`.
    [[nodiscard]] Result<std::optional<Row>> getRow(const std::string &table, const std::string &key, boost::asio::yield_context yield);

    /// Writes a row if the condition holds.
    /// @return the new version; `WriteConflict` if the condition does not hold; `PlatformUnavailable` if the write
    ///     certainly did not take effect; `OutcomeOfWriteUnknown` if the write may have taken effect.
    [[nodiscard]] Result<std::uint64_t>
    putRow(const std::string &table, const std::string &key, const std::string &text, const RowCondition &condition, boost::asio::yield_context yield);

    /// Deletes a row that has the given version. Errors are the same as for `putRow`.
    [[nodiscard]] std::optional<Error> deleteRow(const std::string &table, const std::string &key, IfMatch condition, boost::asio::yield_context yield);

    /// @return the object, nothing if it does not exist, or `PlatformUnavailable`.
    [[nodiscard]] Result<std::optional<std::string>> getObject(const std::string &key, boost::asio::yield_context yield);

    /// Stores an object. Errors are the same as for `putRow`.
    [[nodiscard]] std::optional<Error> putObject(const std::string &key, const std::string &content, boost::asio::yield_context yield);

    /// Performs a table or object action requested by one of the library's state machines.
    /// @return the reply; `TableNoReply` if a write was not confirmed but may have taken effect.
    [[nodiscard]] TableReply perform(const TableAction &action, boost::asio::yield_context yield);

    /// @return the VMs in the platform's list, or `PlatformUnavailable`.
    [[nodiscard]] Result<std::vector<ListedVm>> listVms(boost::asio::yield_context yield);

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
