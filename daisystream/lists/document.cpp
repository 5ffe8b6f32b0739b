#include "daisystream/lists/document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <sstream>
#include <utility>
#include <vector>

namespace daisystream
{
namespace
{

using nlohmann::json;

constexpr std::size_t kMaxNameChars = 64;

/// Counts lines while the parser reads, because the parser reports positions only for syntax errors.
struct LineCounter
{
    std::size_t line = 1;
    char previous = 0;

    void onCharacter(char character)
    {
        // A newline counts only when the next character is read, so that it still belongs to the line that it ends.
        line += previous == '\n' ? 1 : 0;
        previous = character;
    }
};

/// An input iterator over characters that reports every character it reads to a LineCounter.
class CountingIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    CountingIterator(const char *at, LineCounter *counter)
        : at_(at)
        , counter_(counter)
    {
    }

    reference operator*() const
    {
        counter_->onCharacter(*at_);
        return *at_;
    }

    CountingIterator &operator++()
    {
        ++at_;
        return *this;
    }

    friend bool operator!=(const CountingIterator &left, const CountingIterator &right)
    {
        return left.at_ != right.at_;
    }

private:
    const char *at_;
    LineCounter *counter_;
};

/// A SAX handler that builds the JSON value and records the line of each path. It also records duplicate fields, of which the
/// library's own parser would silently keep the last.
class LineReader : public nlohmann::json_sax<json>
{
public:
    explicit LineReader(LineCounter &counter)
        : counter_(counter)
    {
    }

    bool null() override
    {
        return add(nullptr);
    }
    bool boolean(bool value) override
    {
        return add(value);
    }
    bool number_integer(number_integer_t value) override // NOLINT(readability-identifier-naming): name of the base class
    {
        return add(value);
    }
    bool number_unsigned(number_unsigned_t value) override // NOLINT(readability-identifier-naming)
    {
        return add(value);
    }
    bool number_float(number_float_t value, const string_t &) override // NOLINT(readability-identifier-naming)
    {
        return add(value);
    }
    bool string(string_t &value) override
    {
        return add(value);
    }
    bool binary(binary_t &) override
    {
        return false;
    }
    bool start_object(std::size_t) override // NOLINT(readability-identifier-naming)
    {
        return open(json::object());
    }
    bool end_object() override // NOLINT(readability-identifier-naming)
    {
        return close();
    }
    bool start_array(std::size_t) override // NOLINT(readability-identifier-naming)
    {
        return open(json::array());
    }
    bool end_array() override // NOLINT(readability-identifier-naming)
    {
        return close();
    }

    bool key(string_t &name) override
    {
        Level &level = levels_.back();
        level.key = name;
        if (level.value->contains(name)) {
            duplicates.emplace_back(counter_.line, Document::join(level.path, name));
        }
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const nlohmann::json::exception &error) override // NOLINT(readability-identifier-naming)
    {
        syntaxLine = counter_.line;
        // Strips the library's error tag in brackets at the start of the message, which is of no use to an operator.
        const std::string text = error.what();
        const auto tag = text.find("] ");
        syntaxError = tag == std::string::npos ? text : text.substr(tag + 2);
        return false;
    }

    json root;
    std::map<std::string, std::size_t> lines;
    std::vector<std::pair<std::size_t, std::string>> duplicates;
    std::string syntaxError;
    std::size_t syntaxLine = 0;

private:
    /// An array or object that is still being read.
    struct Level
    {
        json *value = nullptr;
        std::string path;
        std::string key;
    };

    json *insertValue(json value, std::string &path)
    {
        json *inserted = &root;
        if (levels_.empty()) {
            root = std::move(value);
        } else {
            Level &level = levels_.back();
            if (level.value->is_array()) {
                path = Document::join(level.path, level.value->size());
                level.value->push_back(std::move(value));
                inserted = &level.value->back();
            } else {
                path = Document::join(level.path, level.key);
                inserted = &((*level.value)[level.key] = std::move(value));
            }
        }
        lines[path] = counter_.line;
        return inserted;
    }

    bool add(json value)
    {
        std::string path;
        insertValue(std::move(value), path);
        return true;
    }

    bool open(json value)
    {
        std::string path;
        json *inserted = insertValue(std::move(value), path);
        levels_.push_back({.value = inserted, .path = path, .key = {}});
        return true;
    }

    bool close()
    {
        levels_.pop_back();
        return true;
    }

    LineCounter &counter_;
    std::vector<Level> levels_;
};

} // namespace

class Document::Private
{
public:
    explicit Private(std::string name)
        : fileName(std::move(name))
    {
    }

    std::string fileName;
    json root;
    std::map<std::string, std::size_t> lines;
    std::vector<std::pair<std::size_t, std::string>> problems;

    void add(std::size_t line, const std::string &path, const std::string &problem)
    {
        problems.emplace_back(line, fileName + ":" + std::to_string(line) + ": " + (path.empty() ? "" : path + ": ") + problem);
    }
};

Document::Document(std::string_view text, std::string fileName)
    : d_(std::make_unique<Private>(std::move(fileName)))
{
    LineCounter counter;
    LineReader reader(counter);
    const char *end = text.data() + text.size();
    const bool parsed
        = json::sax_parse(CountingIterator(text.data(), &counter), CountingIterator(end, &counter), &reader, json::input_format_t::json, true, true);
    d_->lines = std::move(reader.lines);
    if (!parsed) {
        d_->add(reader.syntaxLine, "", reader.syntaxError);
        return;
    }
    d_->root = std::move(reader.root);
    for (const auto &[line, path] : reader.duplicates) {
        d_->add(line, path, "field is given twice");
    }
}

Document::~Document() = default;
Document::Document(Document &&) noexcept = default;
Document &Document::operator=(Document &&) noexcept = default;

const json &Document::root() const
{
    return d_->root;
}

void Document::report(const std::string &path, const std::string &problem)
{
    // A missing field has no line of its own, so the line of the nearest enclosing value is used.
    std::string knownPath = path;
    while (!knownPath.empty() && !d_->lines.contains(knownPath)) {
        const auto separator = knownPath.find_last_of(".[");
        knownPath = separator == std::string::npos ? std::string() : knownPath.substr(0, separator);
    }
    const auto found = d_->lines.find(knownPath);
    d_->add(found == d_->lines.end() ? 1 : found->second, path, problem);
}

bool Document::checkFields(const json &object, const std::string &path, std::initializer_list<std::string_view> allowed)
{
    if (!object.is_object()) {
        // After a syntax error the root is null; reporting that as well would only add noise.
        if (!object.is_null() || d_->problems.empty()) {
            report(path, "must be an object");
        }
        return false;
    }
    for (const auto &[field, value] : object.items()) {
        if (std::find(allowed.begin(), allowed.end(), field) == allowed.end()) {
            report(join(path, field), "unknown field");
        }
    }
    return true;
}

const json *Document::require(const json &object, const std::string &path, const char *field)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(field);
    if (found == object.end()) {
        report(join(path, field), "is missing");
        return nullptr;
    }
    return &*found;
}

const json *Document::array(const json &object, const std::string &path, const char *field)
{
    const json *value = require(object, path, field);
    if (value != nullptr && !value->is_array()) {
        report(join(path, field), "must be an array");
        return nullptr;
    }
    return value;
}

std::string Document::text(const json &object, const std::string &path, const char *field)
{
    const json *value = require(object, path, field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        report(join(path, field), "must be a non-empty string");
        return {};
    }
    return value->get<std::string>();
}

std::string Document::name(const json &object, const std::string &path, const char *field)
{
    std::string value = text(object, path, field);
    if (!value.empty() && !isName(value)) {
        report(join(path, field), "must be 1 to 64 letters, digits, '.', '_' or '-'");
        return {};
    }
    return value;
}

std::uint64_t Document::integer(const json &object, const std::string &path, const char *field, std::uint64_t low, std::uint64_t high)
{
    const json *value = require(object, path, field);
    if (value == nullptr) {
        return low;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < low || value->get<std::uint64_t>() > high) {
        report(join(path, field), "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return value->get<std::uint64_t>();
}

double Document::number(const json &object, const std::string &path, const char *field, double low, double high)
{
    const json *value = require(object, path, field);
    if (value == nullptr) {
        return low;
    }
    // The negated comparison also rejects NaN.
    if (!value->is_number() || !(value->get<double>() >= low && value->get<double>() <= high)) {
        std::ostringstream problem;
        problem << "must be a number from " << low << " to " << high;
        report(join(path, field), problem.str());
        return low;
    }
    return value->get<double>();
}

std::optional<Error> Document::error() const
{
    if (d_->problems.empty()) {
        return std::nullopt;
    }
    auto problems = d_->problems;
    std::stable_sort(problems.begin(), problems.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::string detail;
    for (const auto &[line, problem] : problems) {
        detail += (detail.empty() ? "" : "\n") + problem;
    }
    return Error{ResultCode::InvalidDocument, detail, {}};
}

std::string Document::join(const std::string &path, std::string_view field)
{
    return path.empty() ? std::string(field) : path + "." + std::string(field);
}

std::string Document::join(const std::string &path, std::size_t index)
{
    return path + "[" + std::to_string(index) + "]";
}

bool isName(std::string_view text)
{
    const auto allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9') || character == '.'
            || character == '_' || character == '-';
    };
    return !text.empty() && text.size() <= kMaxNameChars && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace daisystream
