#include "daemon/store/owndialect.h"

#include "daisystream/base/overloaded.h"

#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace daisystream
{

namespace http = boost::beast::http;

namespace
{

using Request = StoreDialect::Request;
using Response = StoreDialect::Response;

std::string rowTarget(const std::string &table, const std::string &key)
{
    return "/v1/tables/" + table + "/rows/" + key;
}

std::string objectTarget(const std::string &key)
{
    return "/v1/objects/" + key;
}

std::string encodeEtag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

std::uint64_t versionOf(const Response &response)
{
    const auto etag = response[http::field::etag];
    std::uint64_t version = 0;
    if (etag.size() > 2) {
        std::from_chars(etag.data() + 1, etag.data() + etag.size() - 1, version);
    }
    return version;
}

std::string statusText(const Response &response)
{
    return "status " + std::to_string(response.result_int());
}

StoreReply readReply(const ReadRow &call, const Response &response)
{
    if (response.result() == http::status::not_found) {
        return StoreRows{};
    }
    if (response.result() != http::status::ok) {
        return StoreRefused{statusText(response)};
    }
    return StoreRows{.rows = {{.key = call.key, .text = response.body(), .version = versionOf(response)}}, .storeTime = {}};
}

StoreReply writeReply(const Response &response)
{
    if (response.result() == http::status::ok) {
        return StoreWritten{versionOf(response)};
    }
    if (response.result() == http::status::precondition_failed) {
        return StoreConflict{};
    }
    // The platform rejects a write before it begins with the other client errors. After all other statuses the write may have taken effect.
    const bool isClientError = http::to_status_class(response.result()) == http::status_class::client_error;
    const bool isRefused = isClientError && response.result() != http::status::request_timeout;
    return isRefused ? StoreReply(StoreRefused{statusText(response)}) : StoreReply(StoreUnclear{statusText(response)});
}

StoreReply objectReply(const Response &response)
{
    if (response.result() == http::status::not_found) {
        return StoreObject{};
    }
    if (response.result() != http::status::ok) {
        return StoreRefused{statusText(response)};
    }
    return StoreObject{response.body()};
}

StoreReply vmsReply(const Response &response)
{
    if (response.result() != http::status::ok) {
        return StoreRefused{statusText(response)};
    }
    const auto list = nlohmann::json::parse(response.body(), nullptr, false);
    if (!list.is_array()) {
        return StoreRefused{"the list of VMs is malformed"};
    }
    StoreRows rows;
    for (const auto &entry : list) {
        rows.rows.push_back({.key = {}, .text = entry.dump()});
    }
    return rows;
}

class OwnStoreDialect : public StoreDialect
{
public:
    [[nodiscard]] std::optional<Request> encode(const StoreCall &call) const override
    {
        return std::visit(
            Overloaded{
                [](const ReadRow &read) -> std::optional<Request> { return Request(http::verb::get, rowTarget(read.table, read.key), 11); },
                [](const WriteRow &write) -> std::optional<Request> {
                    Request request(http::verb::put, rowTarget(write.table, write.key), 11, write.text);
                    if (const auto *match = std::get_if<IfMatch>(&write.condition)) {
                        request.set(http::field::if_match, encodeEtag(match->version));
                    } else if (std::holds_alternative<IfNoneMatch>(write.condition)) {
                        request.set(http::field::if_none_match, "*");
                    }
                    return request;
                },
                [](const DeleteRow &row) -> std::optional<Request> {
                    Request request(http::verb::delete_, rowTarget(row.table, row.key), 11);
                    request.set(http::field::if_match, encodeEtag(row.condition.version));
                    return request;
                },
                [](const ReadObject &object) -> std::optional<Request> { return Request(http::verb::get, objectTarget(object.key), 11); },
                [](const WriteObject &object) -> std::optional<Request> { return Request(http::verb::put, objectTarget(object.key), 11, object.content); },
                [](const ListVms &) -> std::optional<Request> { return Request(http::verb::get, "/v1/vms", 11); },
                [](const auto &) -> std::optional<Request> { return std::nullopt; },
            },
            call);
    }

    [[nodiscard]] StoreReply decode(const StoreCall &call, const Response &response) const override
    {
        return std::visit(Overloaded{
                              [&](const ReadRow &read) { return readReply(read, response); },
                              [&](const ReadObject &) { return objectReply(response); },
                              [&](const ListVms &) { return vmsReply(response); },
                              [&](const auto &) { return writeReply(response); },
                          },
                          call);
    }

    [[nodiscard]] std::uint64_t epochOf(const Response & /*response*/) const override
    {
        return 0; // This protocol has no restored stores.
    }
};

} // namespace

std::shared_ptr<const StoreDialect> ownStoreDialect()
{
    static const auto dialect = std::make_shared<const OwnStoreDialect>();
    return dialect;
}

bool isRead(const StoreCall &call)
{
    return !std::holds_alternative<WriteRow>(call) && !std::holds_alternative<DeleteRow>(call) && !std::holds_alternative<WriteObject>(call);
}

} // namespace daisystream
