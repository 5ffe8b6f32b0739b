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

constexpr auto kPauseAfterFailure = std::chrono::milliseconds(300);

/// @return an id that no other change has.
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

/// Reads and writes one list for one command.
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
            return showOld(row, *options_.version);
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

    /// @param base the version that the text was made from; nothing for the one in force now.
    int write(const std::optional<std::uint64_t> &base)
    {
        std::string text;
        if (!readText(text)) {
            return Usage;
        }
        ListBase row;
        if (const int code = readRow(list_, row); code != Success) {
            return code;
        }
        if (const int code = check(text); code != Success) {
            return code;
        }
        if (base && *base != row.number) {
            return reportConflict({.winner = {.number = row.number, .changeId = row.row.changes.empty() ? "" : row.row.changes.back()},
                                   .text = row.row.text,
                                   .fromBase = {},
                                   .fromProposal = differencesBetween(text, row.row.text)});
        }
        return report(perform(ListEdit(list_, row, text, newChangeId())));
    }

private:
    ListEditOutcome perform(ListEdit edit)
    {
        ListEditStep step = edit.start();
        while (const auto *action = std::get_if<TableAction>(&step)) {
            const TableReply reply = platform_.perform(*action, yield_);
            if (std::holds_alternative<TableLost>(reply) || std::holds_alternative<TableRefused>(reply)) {
                asio::steady_timer timer(context_.io, kPauseAfterFailure);
                timer.async_wait(yield_);
            }
            step = edit.onReply(reply);
        }
        return std::get<ListEditOutcome>(step);
    }

    int report(const ListEditOutcome &outcome)
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

    int readRow(const std::string &list, ListBase &row)
    {
        const auto reply = platform_.perform(TableRead{"lists/" + list}, yield_);
        if (const auto *found = std::get_if<RowFound>(&reply)) {
            const auto decoded = decodeVersionedRow(found->value);
            if (!decoded) {
                context_.err << "the row lists/" << list << " is not a list\n";
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

    int showOld(const ListBase &row, std::uint64_t number)
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
        // The version goes to the other stream, so that the output can be edited and given back with --base.
        context_.err << list_ << " version " << number << " change " << change << '\n';
        context_.out << text;
        if (!text.empty() && text.back() != '\n') {
            context_.out << '\n';
        }
    }

    bool readText(std::string &text)
    {
        std::ostringstream read;
        if (options_.file.empty() || options_.file == "-") {
            read << context_.in.rdbuf();
        } else {
            const std::ifstream file(options_.file);
            if (!file) {
                context_.err << options_.file << ": cannot be opened\n";
                return false;
            }
            read << file.rdbuf();
        }
        text = read.str();
        return true;
    }

    /// Checks the text by itself and against the other list, whose absence is no fault.
    int check(const std::string &text)
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
        const auto *fault = list_ == "plans" ? std::get_if<Error>(&plans) : std::get_if<Error>(&limits);
        std::optional<Error> error = fault != nullptr ? std::optional(*fault) : std::nullopt;
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
    Options used = options;
    if (arguments.size() > 1 && action == "apply") {
        used.file = arguments[1];
    }
    ListSession session(list, used, context, yield);
    if (action == "show") {
        return session.show();
    }
    if (action == "history") {
        return session.history();
    }
    if (action == "apply") {
        return session.write(options.base);
    }
    if (action == "edit") {
        if (!options.base) {
            context.err << "--base is missing: the version that the text was made from, as shown by `" << list << " show`\n";
            return Usage;
        }
        return session.write(options.base);
    }
    context.err << "usage: daisystream " << list << " show|edit|apply|history\n";
    return Usage;
}

} // namespace daisystream::cli
