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
/// A JSON document with comments that is checked as it is read. Every problem is collected with the file's name, the
/// line and the path of the field, so that a person sees all of them at once.
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

/// Reads one document and collects its problems. After a problem the reading functions return a default value, so that
/// reading can go on to find further ones. Thread-compatible.
class Document
{
public:
    /// @param text JSON; `//` and `/* */` comments are allowed.
    /// @param fileName named in every problem.
    Document(std::string_view text, std::string fileName);
    ~Document();
    Document(Document &&) noexcept;
    Document &operator=(Document &&) noexcept;

    /// @return the outermost value; null after a syntax error.
    [[nodiscard]] const nlohmann::json &root() const;

    /// Reports a problem of the field with the given path, for example `teams[2].plan`. An empty path is the root.
    void report(const std::string &path, const std::string &problem);

    /// Reports every field that is not in `allowed`, or that the value is not an object.
    /// @return whether the value is an object.
    bool checkFields(const nlohmann::json &object, const std::string &path, std::initializer_list<std::string_view> allowed);

    /// @return the array, or nullptr after a report if it is missing or of another type.
    const nlohmann::json *array(const nlohmann::json &object, const std::string &path, const char *field);

    /// @return a string that is not empty.
    std::string text(const nlohmann::json &object, const std::string &path, const char *field);

    /// @return a name of 1 to 64 letters, digits, '.', '_' and '-', so that it can be a part of a row's key.
    std::string name(const nlohmann::json &object, const std::string &path, const char *field);

    /// @return a whole number in [low, high].
    std::uint64_t integer(const nlohmann::json &object, const std::string &path, const char *field, std::uint64_t low, std::uint64_t high);

    /// @return a number in [low, high].
    double number(const nlohmann::json &object, const std::string &path, const char *field, double low, double high);

    /// @return nothing if there is no problem, else `InvalidDocument` with one line for each, in order of the document.
    [[nodiscard]] std::optional<Error> error() const;

    /// @return "path.field", or "field" at the root.
    static std::string join(const std::string &path, std::string_view field);
    /// @return "path[index]".
    static std::string join(const std::string &path, std::size_t index);

private:
    const nlohmann::json *require(const nlohmann::json &object, const std::string &path, const char *field);

    class Private;
    std::unique_ptr<Private> d_;
};

/// @return whether `text` can be a name, see Document::name().
[[nodiscard]] bool isName(std::string_view text);

} // namespace daisystream
