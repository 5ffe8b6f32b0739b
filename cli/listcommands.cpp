#include "cli/commands.h"
#include "cli/exitcodes.h"

#include "daemon/store/platformclient.h"
#include "daisystream/lists/limitlist.h"
#include "daisystream/lists/listedit.h"
#include "daisystream/lists/planlist.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace daisystream::cli
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

constexpr auto kRetryDelay = std::chrono::milliseconds(300);

/// @return a random id, which no other change has.
std::string newChangeId()
{
    std::random_device device;
    std::ostringstream id;
    id << "c-" << std::hex << device() << device();
    return id.str();
}

std::string otherList(const std::string &list)
{
    return list == "plans" ? "limits" : "plans";
}

/// Runs one command on one list. The actions return the exit code.
class ListSession
{
public:
    ListSession(std::string list, const Options &options, Context &context, asio::yield_context yield)
        : list_(std::move(list))
        , options_(options)
        , context_(context)
        , yield_(yield)
        , platform_(context.io, options.platform)
    {
    }

    int show()
    {
        ListBase row;
        if (const int code = readRow(list_, row); code != Success) {
            return code;
        }
        if (options_.version && *options_.version != row.number) {
            return showOldVersion(row, *options_.version);
        }
        print(row.number, row.row.changes.empty() ? "" : row.row.changes.back(), row.row.text);
        return Success;
    }

    int history()
    {
        ListBase row;
        if (const int code = readRow(list_, row); code != Success) {
            return code;
        }
        json versions = json::array();
        std::uint64_t number = row.number;
        for (auto change = row.row.changes.rbegin(); change != row.row.changes.rend() && number > 0; ++change, --number) {
            versions.push_back({{"version", number}, {"changeId", *change}});
            if (!options_.json) {
                context_.out << number << ' ' << *change << '\n';
            }
        }
        if (options_.json) {
            context_.out << versions.dump(2) << '\n';
        }
        return Success;
    }

    /// Replaces the list by the text of the file or of standard input.
    /// @param baseVersion version that the text was made from; if not set, the version in force.
    int write(const std::optional<std::uint64_t> &baseVersion)
    {
        std::string text;
        if (!readText(text)) {
            return Usage;
        }
        ListBase row;
        if (const int code = readRow(list_, row); code != Success) {
            return code;
        }
        if (const int code = validate(text); code != Success) {
            return code;
        }
        if (baseVersion && *baseVersion != row.number) {
            return reportConflict({.winner = {.number = row.number, .changeId = row.row.changes.empty() ? "" : row.row.changes.back()},
                                   .text = row.row.text,
                                   .fromBase = {},
                                   .fromProposal = differencesBetween(text, row.row.text)});
        }
        return reportOutcome(runEdit(ListEdit(list_, row, text, newChangeId())));
    }

private:
    /// Performs the steps of an edit at the platform, with a delay after each one that failed.
    ListEditOutcome runEdit(ListEdit edit)
    {
        ListEditStep step = edit.start();
        while (const auto *action = std::get_if<TableAction>(&step)) {
            const TableReply reply = platform_.perform(*action, yield_);
            if (std::holds_alternative<TableNoReply>(reply) || std::holds_alternative<TableRefused>(reply)) {
                asio::steady_timer timer(context_.io, kRetryDelay);
                timer.async_wait(yield_);
            }
            step = edit.onReply(reply);
        }
        return std::get<ListEditOutcome>(step);
    }

    int reportOutcome(const ListEditOutcome &outcome)
    {
        if (const auto *accepted = std::get_if<ListAccepted>(&outcome)) {
            if (options_.json) {
                context_.out
                    << json{{"version", accepted->version.number}, {"changeId", accepted->version.changeId}, {"superseded", accepted->superseded}}.dump(2)
                    << '\n';
            } else {
                context_.out << list_ << " version " << accepted->version.number << " accepted, change " << accepted->version.changeId
                             << (accepted->superseded ? ", replaced by a later change since" : "") << '\n';
            }
            return Success;
        }
        if (const auto *conflict = std::get_if<ListConflict>(&outcome)) {
            return reportConflict(*conflict);
        }
        const auto &error = std::get<Error>(outcome);
        context_.err << error.detail << " (code " << static_cast<int>(error.code) << ")\n";
        return error.code == ResultCode::OutcomeOfWriteUnknown ? UnknownOutcome : Unavailable;
    }

    int reportConflict(const ListConflict &conflict)
    {
        context_.err << list_ << " version " << conflict.winner.number << " (change " << conflict.winner.changeId
                     << ") took precedence; nothing was written. It differs from your text in:\n";
        for (const auto &difference : conflict.fromProposal) {
            context_.err << "  " << difference.path << ": yours " << (difference.before.empty() ? "absent" : difference.before) << ", in force "
                         << (difference.after.empty() ? "absent" : difference.after) << '\n';
        }
        return Conflict;
    }

    /// Reads a list from the platform; an absent list reads as an empty one with number 0.
    /// @return the exit code.
    int readRow(const std::string &list, ListBase &row)
    {
        const auto reply = platform_.perform(TableRead{"lists/" + list}, yield_);
        if (const auto *found = std::get_if<RowFound>(&reply)) {
            const auto decoded = decodeVersionedRow(found->value);
            if (!decoded) {
                context_.err << "the row lists/" << list << " cannot be decoded as a list\n";
                return Failure;
            }
            row = {.number = found->number, .row = *decoded};
            return Success;
        }
        if (std::holds_alternative<RowAbsent>(reply)) {
            row = {};
            return Success;
        }
        context_.err << "the platform cannot be reached (code " << static_cast<int>(ResultCode::PlatformUnavailable) << ")\n";
        return Unavailable;
    }

    /// Prints a version that is no longer in force, from the object store.
    int showOldVersion(const ListBase &row, std::uint64_t number)
    {
        const std::uint64_t age = row.number - number;
        if (number == 0 || number > row.number || age >= row.row.changes.size()) {
            context_.err << "version " << number << " is not in the history\n";
            return Failure;
        }
        const std::string change = row.row.changes[row.row.changes.size() - 1 - age];
        const auto object = platform_.getObject(historyKey(list_, number, change), yield_);
        if (const auto *error = std::get_if<Error>(&object)) {
            context_.err << error->detail << '\n';
            return Unavailable;
        }
        const auto &content = std::get<std::optional<std::string>>(object);
        const auto decoded = content ? decodeVersionedRow(*content) : std::nullopt;
        if (!decoded) {
            context_.err << "version " << number << " is not in the object store\n";
            return Failure;
        }
        print(number, change, decoded->text);
        return Success;
    }

    void print(std::uint64_t number, const std::string &change, const std::string &text)
    {
        if (options_.json) {
            context_.out << json{{"version", number}, {"changeId", change}, {"text", text}}.dump(2) << '\n';
            return;
        }
        // The version goes to standard error, so that standard output has only the text, which can be edited and written
        // back with --base.
        context_.err << list_ << " version " << number << " change " << change << '\n';
        context_.out << text;
        if (!text.empty() && text.back() != '\n') {
            context_.out << '\n';
        }
    }

    /// @return false if the file cannot be opened; a message was printed.
    bool readText(std::string &text)
    {
        std::ostringstream content;
        if (options_.file.empty() || options_.file == "-") {
            content << context_.in.rdbuf();
        } else {
            const std::ifstream file(options_.file);
            if (!file) {
                context_.err << options_.file << ": cannot be opened\n";
                return false;
            }
            content << file.rdbuf();
        }
        text = content.str();
        return true;
    }

    /// Validates the text by itself and, if the other list exists, against it.
    /// @return the exit code.
    int validate(const std::string &text)
    {
        const std::string name = options_.file.empty() ? "standard input" : options_.file;
        ListBase other;
        if (const int code = readRow(otherList(list_), other); code != Success) {
            return code;
        }
        const std::string &plansText = list_ == "plans" ? text : other.row.text;
        const std::string &limitsText = list_ == "plans" ? other.row.text : text;
        const auto plans = PlanList::parse(plansText, list_ == "plans" ? name : "lists/plans");
        const auto limits = LimitList::parse(limitsText, list_ == "limits" ? name : "lists/limits");
        const auto *parseError = list_ == "plans" ? std::get_if<Error>(&plans) : std::get_if<Error>(&limits);
        std::optional<Error> error = parseError != nullptr ? std::optional(*parseError) : std::nullopt;
        if (!error && other.number > 0 && plans.index() == 0 && limits.index() == 0) {
            error = crossCheck(std::get<PlanList>(plans), std::get<LimitList>(limits));
        }
        if (error) {
            context_.err << error->detail << '\n';
            return InvalidText;
        }
        return Success;
    }

    std::string list_;
    const Options &options_;
    Context &context_;
    asio::yield_context yield_;
    PlatformClient platform_;
};

} // namespace

int runListCommand(const std::string &list, const std::vector<std::string> &arguments, const Options &options, Context &context, asio::yield_context yield)
{
    const std::string action = arguments.empty() ? "" : arguments[0];
    if (!options.platform) {
        context.err << "--platform is missing\n";
        return Usage;
    }
    Options effectiveOptions = options;
    if (arguments.size() > 1 && action == "apply") {
        effectiveOptions.file = arguments[1];
    }
    ListSession session(list, effectiveOptions, context, yield);
    if (action == "show") {
        return session.show();
    }
    if (action == "history") {
        return session.history();
    }
    if (action == "apply") {
        return session.write(options.baseVersion);
    }
    if (action == "edit") {
        if (!options.baseVersion) {
            context.err << "--base is missing: the version that the text was made from, as shown by `" << list << " show`\n";
            return Usage;
        }
        return session.write(options.baseVersion);
    }
    context.err << "usage: daisystream " << list << " show|edit|apply|history\n";
    return Usage;
}

} // namespace daisystream::cli
