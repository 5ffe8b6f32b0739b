#pragma once

#include "daisystream/base/result.h"
#include "daisystream/base/storerevision.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// Calls to the platform's store and its replies, independent of the wire protocol.
///
/// Example:
/// @code
///   const HttpRequest request = dialect.encode(ReadRow{"lists", "plans"});
///   const StoreReply reply = dialect.decode(ReadRow{"lists", "plans"}, response);
/// @endcode

namespace daisystream
{

/// Condition: the row must have this version.
struct IfMatch
{
    std::uint64_t version = 0;
};

/// Condition: the row must not exist.
struct IfNoneMatch
{
};

/// Unconditional: the row is written whether or not it exists.
struct Always
{
};

using RowCondition = std::variant<IfMatch, IfNoneMatch, Always>;

struct ReadRow
{
    std::string table;
    std::string key;
};

/// Reads one page of a table, starting at a key. The store limits the number of rows in a page.
struct ReadTable
{
    std::string table;
    std::string from; ///< The first key to read; empty to start at the first row.
};

/// Waits until a row of the table changes, at most for `wait`.
struct WatchTable
{
    std::string table;
    StoreRevision after{}; ///< Only changes after this revision of the store are returned.
    std::chrono::milliseconds wait{0};
};

struct WriteRow
{
    std::string table;
    std::string key;
    std::string text;
    RowCondition condition;
};

struct DeleteRow
{
    std::string table;
    std::string key;
    IfMatch condition;
};

struct ReadObject
{
    std::string key;
};

struct WriteObject
{
    std::string key;
    std::string content;
};

/// Reads the list of the deployment's VMs, one row for each VM: `{"vm", "zone", "peerAddress", "leaving"}`.
struct ListVms
{
};

using StoreCall = std::variant<ReadRow, ReadTable, WatchTable, WriteRow, DeleteRow, ReadObject, WriteObject, ListVms>;

struct StoreRow
{
    std::string key;
    std::string text;
    std::uint64_t version = 0; ///< Increases with each write of the same epoch.
    bool removed = false;      ///< True if the row was deleted; only set in replies to `WatchTable`.

    friend auto operator<=>(const StoreRow &, const StoreRow &) = default;
};

struct StoreRows
{
    std::vector<StoreRow> rows;
    StoreRevision revision{};                           ///< Revision of the whole store at the time of the read.
    std::optional<std::chrono::milliseconds> storeTime; ///< Reading of the store's steady clock at that time.
    bool more = false;                                  ///< True if another page of rows follows.
};

struct StoreWritten
{
    std::uint64_t version = 0;
    std::uint64_t epoch = 0; ///< Of the store that was written to.
};

/// The condition of a write did not hold; nothing was written.
struct StoreConflict
{
};

/// The store has already discarded some of the changes that a `WatchTable` asked for, or was restored from a backup since.
struct StoreHistoryGone
{
};

/// The call failed and certainly had no effect.
struct StoreRefused
{
    std::string reason;
};

/// The call failed and may have taken effect.
struct StoreUnclear
{
    std::string reason;
};

struct StoreObject
{
    std::optional<std::string> content; ///< Empty if the object does not exist.
};

using StoreReply = std::variant<StoreRows, StoreWritten, StoreConflict, StoreHistoryGone, StoreRefused, StoreUnclear, StoreObject>;

/// Wire protocol of a store. Implementations hold no state, so that threads can share them.
class StoreDialect
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    virtual ~StoreDialect() = default;

    /// @return the request for a call, without the `Host` field; nothing if the protocol does not support the call.
    [[nodiscard]] virtual std::optional<Request> encode(const StoreCall &call) const = 0;

    /// @return the reply that the HTTP response to a call stands for. The epoch of its revision is not set.
    [[nodiscard]] virtual StoreReply decode(const StoreCall &call, const Response &response) const = 0;

    /// @return the epoch of the store that a response states, whatever its status; 0 if it states none.
    [[nodiscard]] virtual std::uint64_t epochOf(const Response &response) const = 0;
};

/// @return true if the call changes nothing in the store and can therefore be repeated.
[[nodiscard]] bool isRead(const StoreCall &call);

} // namespace daisystream
