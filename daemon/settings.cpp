#include "daemon/settings.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace daisystream
{
namespace
{

SocketAddress readAddress(const nlohmann::json &value)
{
    return {.ip = value.at("ip").get<std::string>(), .port = value.at("port").get<std::uint16_t>()};
}

} // namespace

Result<Settings> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error{ResultCode::InvalidDocument, path + ": cannot be opened", {}};
    }
    try {
        const auto document = nlohmann::json::parse(file, nullptr, true, true);
        Settings settings;
        settings.vm = VmId(document.at("vm").get<std::string>());
        settings.zone = ZoneId(document.at("zone").get<std::string>());
        settings.listen = readAddress(document.at("listen"));
        settings.workers = document.value("workers", settings.workers);
        for (const auto &endpoint : document.at("endpoints")) {
            settings.endpoints.push_back({.id = EndpointId(endpoint.at("id").get<std::string>()),
                                          .address = readAddress(endpoint),
                                          .model = ModelId(endpoint.at("model").get<std::string>())});
        }
        return settings;
    } catch (const nlohmann::json::exception &fault) {
        return Error{ResultCode::InvalidDocument, path + ": " + fault.what(), {}};
    }
}

} // namespace daisystream
