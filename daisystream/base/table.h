#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

/// @file
/// Requests to the platform's table and object store, and their replies. The library's state machines perform no I/O: they
/// return requests, the daemon sends them and passes the reply back, or TableNoReply if none arrived within its timeout.
///
/// Example:
/// @code
///   TableAction action = edit.start();
///   auto step = edit.onReply(platform.perform(action));
/// @endcode

namespace daisystream
{

/// Inserts or replaces a row on condition that its number is still the given one. Every write increases the row's number by
/// one.
struct TableWrite
{
    std::string key;
    std::uint64_t ifNumber = 0; ///< The number the row must have; zero: the row must not exist.
    std::string value;

    friend auto operator<=>(const TableWrite &, const TableWrite &) = default;
};

/// Reads a row. The reply may be stale, that is, lack the latest writes.
struct TableRead
{
    std::string key;

    friend auto operator<=>(const TableRead &, const TableRead &) = default;
};

/// Writes an object to the object store, without a condition.
struct ObjectWrite
{
    std::string key;
    std::string value;

    friend auto operator<=>(const ObjectWrite &, const ObjectWrite &) = default;
};

/// A request to the platform.
using TableAction = std::variant<TableWrite, TableRead, ObjectWrite>;

/// The row was written.
struct RowWritten
{
    std::uint64_t number = 0; ///< The row's number after the write.
};

/// The row had another number, so this request had no effect. An earlier transmission of the same request may have had one.
struct RowConflict
{
};

/// The reply to TableRead if the row exists.
struct RowFound
{
    std::uint64_t number = 0;
    std::string value;
};

/// The reply to TableRead if there is no such row.
struct RowAbsent
{
};

/// The object was written.
struct ObjectWritten
{
};

/// The request failed and certainly had no effect, for example because no connection could be established.
struct TableRefused
{
};

/// No reply arrived. A write may have taken effect, or may still take effect later.
struct TableNoReply
{
};

/// The reply to a TableAction, or the reason why there is none.
using TableReply = std::variant<RowWritten, RowConflict, RowFound, RowAbsent, ObjectWritten, TableRefused, TableNoReply>;

} // namespace daisystream
