#pragma once

#include "daisystream/base/result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Reads and validates a JSON document with comments. All problems are collected, each with the file's name, the line and the
/// path of the field, so that the operator sees all of them at once.
///
/// Example:
/// @code
///   Document document(text, "plans.json");
///   document.checkFields(document.root(), "", {"plans", "teams"});
///   const std::string name = document.name(document.root(), "", "name");
///   if (auto error = document.error()) {
///       return *error;
///   }
/// @endcode

namespace daisystream
{

/// Parses one document, reads typed fields from it and collects the problems. After a problem the reading functions return a
/// default value, so that the caller can continue and find further problems. Thread-compatible.
class Document
{
public:
    /// @param text JSON; `//` and `/* */` comments are allowed.
    /// @param fileName the file name to show in every problem.
    Document(std::string_view text, std::string fileName);
    ~Document();
    Document(Document &&) noexcept;
    Document &operator=(Document &&) noexcept;

    /// @return the outermost value; null after a syntax error.
    [[nodiscard]] const nlohmann::json &root() const;

    /// Adds a problem to the collected ones.
    /// @param path the path of the field, for example `teams[2].plan`; empty for the root.
    /// @param problem the description, to be shown after the path.
    void report(const std::string &path, const std::string &problem);

    /// Reports every field that is not in `allowed`, and reports a value that is not an object.
    /// @param object the value to check.
    /// @param path the path of the value.
    /// @param allowed the names of the allowed fields.
    /// @return whether the value is an object.
    bool checkFields(const nlohmann::json &object, const std::string &path, std::initializer_list<std::string_view> allowed);

    /// Reads a required array.
    /// @param object the object that contains the field. Like the functions below, returns the default without a report if this
    ///     is not an object, because checkFields() has reported that.
    /// @param path the path of the object.
    /// @param field the name of the field.
    /// @return the array, or nullptr if the field is missing or has another type, which is reported.
    const nlohmann::json *array(const nlohmann::json &object, const std::string &path, const char *field);

    /// Reads a required string, with the parameters of array().
    /// @return a string that is not empty; empty if the field is missing or invalid, which is reported.
    std::string text(const nlohmann::json &object, const std::string &path, const char *field);

    /// Reads a required name: 1 to 64 ASCII letters, digits, '.', '_' and '-', so that it can be part of a table row's key.
    /// The parameters are those of array().
    /// @return the name; empty if the field is missing or invalid, which is reported.
    std::string name(const nlohmann::json &object, const std::string &path, const char *field);

    /// Reads a required integer, with the first three parameters of array().
    /// @return an integer in [low, high]; `low` if the field is missing or invalid, which is reported.
    std::uint64_t integer(const nlohmann::json &object, const std::string &path, const char *field, std::uint64_t low, std::uint64_t high);

    /// Reads a required number, with the first three parameters of array().
    /// @return a number in [low, high]; `low` if the field is missing or invalid, which is reported.
    double number(const nlohmann::json &object, const std::string &path, const char *field, double low, double high);

    /// @return nothing if there is no problem, else `InvalidDocument` with one line for each problem, sorted by line number.
    [[nodiscard]] std::optional<Error> error() const;

    /// @return "path.field", or "field" at the root.
    static std::string join(const std::string &path, std::string_view field);
    /// @return "path[index]".
    static std::string join(const std::string &path, std::size_t index);

private:
    /// @return the field's value, or nullptr if it is missing, which is reported.
    const nlohmann::json *require(const nlohmann::json &object, const std::string &path, const char *field);

    class Private;
    std::unique_ptr<Private> d_;
};

/// @return whether `text` is a valid name as defined at Document::name().
[[nodiscard]] bool isName(std::string_view text);

} // namespace daisystream
