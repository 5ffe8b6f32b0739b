#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

/// @file
/// Requests to the platform's table and object store, and their replies. State machines of the library return requests;
/// the daemon sends them and hands back the reply, or TableLost if none came within its timeout.
///
/// Example:
/// @code
///   TableAction action = edit.start();
///   auto step = edit.onReply(platform.perform(action));
/// @endcode

namespace daisystream
{

/// Replaces a row if it still has the given number. The row's number rises by one with every write.
struct TableWrite
{
    std::string key;
    std::uint64_t ifNumber = 0; ///< Zero: only if there is no such row.
    std::string value;

    friend auto operator<=>(const TableWrite &, const TableWrite &) = default;
};

/// Reads a row. The reply may be older than the newest write.
struct TableRead
{
    std::string key;

    friend auto operator<=>(const TableRead &, const TableRead &) = default;
};

/// Writes an object.
struct ObjectWrite
{
    std::string key;
    std::string value;

    friend auto operator<=>(const ObjectWrite &, const ObjectWrite &) = default;
};

using TableAction = std::variant<TableWrite, TableRead, ObjectWrite>;

/// The write took effect.
struct RowWritten
{
    std::uint64_t number = 0;
};

/// The row had another number: this request had no effect (an earlier copy of it may have had).
struct RowConflict
{
};

struct RowFound
{
    std::uint64_t number = 0;
    std::string value;
};

struct RowAbsent
{
};

struct ObjectWritten
{
};

/// The request is known to have had no effect, for example because no connection came about.
struct TableRefused
{
};

/// No reply: a write may have taken effect, or may do so later.
struct TableLost
{
};

using TableReply = std::variant<RowWritten, RowConflict, RowFound, RowAbsent, ObjectWritten, TableRefused, TableLost>;

} // namespace daisystream
