#include "deploy/standins/fleetstore.h"

#include "daisystream/base/base64.h"
#include "platform/names.h"
#include "soak/observation.h"
#include "standins/http/standinserver.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <tuple>

namespace daisystream::standins
{

namespace names = platform::names;

namespace asio = boost::asio;
using nlohmann::json;
using soak::Moment;
using std::chrono::milliseconds;
using Stream = boost::beast::tcp_stream;

namespace
{

// Small beside the bounds that a soak checks, the least of which is 200 ms.
constexpr milliseconds kFeedCheck{10};
constexpr milliseconds kLapseCheck{100};
constexpr std::size_t kRowsOfPage = 500; // The platform's limit.
constexpr unsigned kGone = 410;
constexpr unsigned kConditionFailed = 412;
constexpr unsigned kForbidden = 403;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kUnknownCall = 404;

struct RowKey
{
    std::string table;
    std::string key;

    friend auto operator<=>(const RowKey &, const RowKey &) = default;
};

struct Row
{
    std::string value; // base64
    std::uint64_t version = 0;
    std::optional<Moment> lapsesAt;
};

struct Change
{
    std::uint64_t version;
    RowKey row;
};

/// @return the value of a parameter of a target, decoded.
std::string queryText(const std::string &target, const std::string &name)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        ++at;
        const auto end = target.find('&', at);
        const std::string item = target.substr(at, end == std::string::npos ? end : end - at);
        if (item.starts_with(name + "=")) {
            std::string text;
            for (std::size_t i = name.size() + 1; i < item.size(); ++i) {
                if (item[i] == '%' && i + 2 < item.size()) {
                    text += static_cast<char>(std::stoi(item.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    text += item[i];
                }
            }
            return text;
        }
        at = end;
    }
    return {};
}

} // namespace

class FleetStore::Private
{
public:
    Private(asio::io_context &io, std::uint16_t port)
        : server_(io, port, [this](Stream &stream, const StandInRequest &request, asio::yield_context yield) { return handle(stream, request, yield); })
    {
        server_.spawn([this](asio::yield_context yield) { removeLapsed(yield); });
    }

    bool handle(Stream &stream, const StandInRequest &request, asio::yield_context yield)
    {
        const std::string target(request.target());
        if (target == "/standin/faults") {
            setFaults(json::parse(request.body()));
            return sendJson(stream, request, 200, "{}", yield);
        }
        if (faults_.outage != FleetStoreFaults::Outage::None) {
            return failCall(stream, request, yield);
        }
        pause(stream, faults_.slow, yield);
        const auto [status, body] = target == "/standin/row" ? writeStandIn(json::parse(request.body())) : call(stream, request, target, yield);
        if (faults_.loseReplies > 0 && !target.starts_with("/standin/")) {
            --faults_.loseReplies;
            return false;
        }
        return sendJson(stream, request, status, body.dump(), yield);
    }

    StandInServer server_;

private:
    struct Reply
    {
        unsigned status = 200;
        json body;
    };

    static void pause(const Stream &stream, milliseconds time, asio::yield_context yield)
    {
        if (time.count() > 0) {
            boost::system::error_code ignored;
            asio::steady_timer timer(const_cast<Stream &>(stream).get_executor(), time);
            timer.async_wait(yield[ignored]);
        }
    }

    void setFaults(const json &object)
    {
        faults_.outage = object.value("outage", FleetStoreFaults::Outage::None);
        faults_.slow = milliseconds(object.value("slowMs", 0));
        faults_.loseReplies = object.value("loseReplies", 0U);
        faults_.clockStep += milliseconds(object.value("clockStepMs", 0));
        if (object.value("forgetHistory", false)) {
            changes_.clear();
            forgottenUpTo_ = version_;
        }
    }

    bool failCall(Stream &stream, const StandInRequest &request, asio::yield_context yield)
    {
        switch (faults_.outage) {
        case FleetStoreFaults::Outage::Refusing:
            return sendJson(stream, request, kUnavailable, "{}", yield);
        case FleetStoreFaults::Outage::Silent:
            while (faults_.outage == FleetStoreFaults::Outage::Silent) {
                pause(stream, kLapseCheck, yield);
            }
            return false;
        default:
            return false;
        }
    }

    Reply call(Stream &stream, const StandInRequest &request, const std::string &target, asio::yield_context yield)
    {
        if (target.starts_with(names::kTransactionCall)) {
            return transact(json::parse(request.body()));
        }
        if (target.starts_with(names::kFeedCall)) {
            return feed(stream, target, yield);
        }
        return target.starts_with(names::kRowsCall) ? rows(target) : Reply{kUnknownCall, json::object()};
    }

    [[nodiscard]] json stamped() const
    {
        return {{"ver", version_}, {"now_ms", (soak::now() + faults_.clockStep).count()}, {"rows", json::array()}};
    }

    static json encodeRow(const RowKey &key, const Row *row, std::uint64_t version)
    {
        json object{{"table", key.table}, {"part", ""}, {"key", key.key}, {"ver", version}};
        if (row == nullptr) {
            object["deleted"] = true;
        } else {
            object["value"] = row->value;
        }
        return object;
    }

    void put(const RowKey &key, std::string value, std::optional<Moment> lapsesAt = std::nullopt)
    {
        rows_[key] = {.value = std::move(value), .version = version_, .lapsesAt = lapsesAt};
        changes_.push_back({version_, key});
    }

    void remove(const RowKey &key)
    {
        if (rows_.erase(key) > 0) {
            changes_.push_back({version_, key});
        }
    }

    Reply writeStandIn(const json &object)
    {
        const RowKey key{object.at("table").get<std::string>(), object.at("key").get<std::string>()};
        const auto known = rows_.find(key);
        const std::string value = toBase64(object.value("text", std::string()));
        const auto lapse = object.value("lapseMs", 0);
        const auto lapsesAt = lapse > 0 ? std::optional(soak::now() + milliseconds(lapse)) : std::nullopt;
        if (object.value("remove", false)) {
            ++version_;
            remove(key);
        } else if (known != rows_.end() && known->second.value == value) {
            known->second.lapsesAt = lapsesAt;
        } else {
            ++version_;
            put(key, value, lapsesAt);
        }
        return {200, stamped()};
    }

    Reply transact(const json &transaction)
    {
        const auto keyOf = [](const json &entry) {
            return RowKey{entry.at("table").get<std::string>(), entry.at("key").get<std::string>()};
        };
        Reply conflict{kConditionFailed, stamped()};
        bool holds = true;
        for (const auto &condition : transaction.value("expected_revision", json::array())) {
            const auto row = rows_.find(keyOf(condition));
            const auto version = row == rows_.end() ? 0 : row->second.version;
            holds = holds && version == condition.at("ver").get<std::uint64_t>();
            if (row != rows_.end()) {
                conflict.body["rows"].push_back(encodeRow(row->first, &row->second, version));
            }
        }
        for (const char *list : {"put", "remove"}) {
            for (const auto &entry : transaction.value(list, json::array())) {
                if (const auto table = keyOf(entry).table; table == names::kConfigTable || table == names::kEndpointTable) {
                    return {kForbidden, json::object()};
                }
            }
        }
        if (!holds) {
            return conflict;
        }
        ++version_;
        for (const auto &entry : transaction.value("put", json::array())) {
            put(keyOf(entry), entry.at("value").get<std::string>());
        }
        for (const auto &entry : transaction.value("remove", json::array())) {
            remove(keyOf(entry));
        }
        return {200, stamped()};
    }

    Reply rows(const std::string &target)
    {
        const RowKey from{queryText(target, "table"), queryText(target, "from")};
        const auto limit = std::min<std::uint64_t>(queryNumber(target, "limit", kRowsOfPage), kRowsOfPage);
        Reply reply{200, stamped()};
        reply.body["more_pages"] = false;
        for (auto row = rows_.lower_bound(from); row != rows_.end() && row->first.table == from.table; ++row) {
            if (reply.body["rows"].size() == limit) {
                reply.body["more_pages"] = true;
                break;
            }
            reply.body["rows"].push_back(encodeRow(row->first, &row->second, row->second.version));
        }
        return reply;
    }

    Reply feed(Stream &stream, const std::string &target, asio::yield_context yield)
    {
        const auto table = queryText(target, "table");
        const auto after = queryNumber(target, "after_revision", 0);
        const auto until = soak::now() + milliseconds(queryNumber(target, "wait_ms", 0));
        for (;;) {
            if (after < forgottenUpTo_) {
                return {kGone, json::object()};
            }
            Reply reply{200, stamped()};
            for (const auto &change : changes_) {
                if (change.version > after && change.row.table == table) {
                    const auto row = rows_.find(change.row);
                    reply.body["rows"].push_back(encodeRow(change.row, row == rows_.end() ? nullptr : &row->second, change.version));
                }
            }
            const bool isInterrupted = faults_.outage != FleetStoreFaults::Outage::None;
            if (!reply.body["rows"].empty() || soak::now() >= until || isInterrupted) {
                return reply;
            }
            pause(stream, kFeedCheck, yield);
        }
    }

    /// Entries of endpoints lapse also while the store serves no calls.
    void removeLapsed(asio::yield_context yield)
    {
        asio::steady_timer timer(yield.get_executor());
        boost::system::error_code ignored;
        for (;;) {
            timer.expires_after(kLapseCheck);
            timer.async_wait(yield[ignored]);
            std::vector<RowKey> lapsed;
            for (const auto &[key, row] : rows_) {
                if (row.lapsesAt && *row.lapsesAt < soak::now()) {
                    lapsed.push_back(key);
                }
            }
            for (const auto &key : lapsed) {
                ++version_;
                remove(key);
            }
        }
    }

    std::map<RowKey, Row> rows_;
    std::deque<Change> changes_;
    std::uint64_t version_ = 1;
    std::uint64_t forgottenUpTo_ = 0;
    FleetStoreFaults faults_;
};

FleetStore::FleetStore(asio::io_context &io, std::uint16_t port)
    : d_(std::make_unique<Private>(io, port))
{
}

FleetStore::~FleetStore() = default;

std::uint16_t FleetStore::port() const
{
    return d_->server_.port();
}

} // namespace daisystream::standins
