#include "daemon/control/settings.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace daisystream
{
namespace
{

using nlohmann::json;

constexpr unsigned kMaxWorkers = 256;

/// Collects faults with file and field path.
class Faults
{
public:
    explicit Faults(std::string fileName)
        : fileName_(std::move(fileName))
    {
    }

    void add(const std::string &path, const std::string &reason)
    {
        text_ += (text_.empty() ? "" : "\n") + fileName_ + ": " + path + ": " + reason;
    }

    [[nodiscard]] const std::string &text() const
    {
        return text_;
    }

private:
    std::string fileName_;
    std::string text_;
};

/// Reads the fields of one JSON object and afterwards reports those that nobody asked for.
class Fields
{
public:
    Fields(const json &object, std::string path, Faults &faults)
        : object_(object)
        , path_(std::move(path))
        , faults_(faults)
    {
        if (!object_.is_object()) {
            faults_.add(path_.empty() ? "document" : path_, "must be an object");
        }
    }

    /// @return the field, or null if it is absent.
    const json *find(const char *name)
    {
        known_.insert(name);
        if (!object_.is_object()) {
            return nullptr;
        }
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }

    const json *require(const char *name)
    {
        const json *value = find(name);
        if (value == nullptr && object_.is_object()) {
            faults_.add(pathOf(name), "is missing");
        }
        return value;
    }

    void text(const char *name, std::string &target, bool required)
    {
        const json *value = required ? require(name) : find(name);
        if (value == nullptr) {
            return;
        }
        if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
            faults_.add(pathOf(name), "must be a non-empty string");
            return;
        }
        target = value->get<std::string>();
    }

    template<class Tag>
    void id(const char *name, Id<Tag> &target, bool required)
    {
        std::string value;
        text(name, value, required);
        target = Id<Tag>(value);
    }

    template<class Number>
    void number(const char *name, Number &target, std::uint64_t least, std::uint64_t most)
    {
        const json *value = find(name);
        if (value == nullptr) {
            return;
        }
        if (!value->is_number_unsigned() || value->get<std::uint64_t>() < least || value->get<std::uint64_t>() > most) {
            faults_.add(pathOf(name), "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
            return;
        }
        target = static_cast<Number>(value->get<std::uint64_t>());
    }

    void milliseconds(const char *name, std::chrono::milliseconds &target)
    {
        constexpr std::uint64_t kMostMilliseconds = 3600000;
        std::uint64_t value = static_cast<std::uint64_t>(target.count());
        number(name, value, 1, kMostMilliseconds);
        target = std::chrono::milliseconds(value);
    }

    void real(const char *name, double &target, double least, double most)
    {
        const json *value = find(name);
        if (value == nullptr) {
            return;
        }
        if (!value->is_number() || value->get<double>() < least || value->get<double>() > most) {
            faults_.add(pathOf(name), "must be a number from " + std::to_string(least) + " to " + std::to_string(most));
            return;
        }
        target = value->get<double>();
    }

    void flag(const char *name, bool &target)
    {
        const json *value = find(name);
        if (value == nullptr) {
            return;
        }
        if (!value->is_boolean()) {
            faults_.add(pathOf(name), "must be true or false");
            return;
        }
        target = value->get<bool>();
    }

    std::optional<SocketAddress> address(const char *name, bool required)
    {
        std::string value;
        text(name, value, required);
        if (value.empty()) {
            return std::nullopt;
        }
        auto parsed = parseSocketAddress(value);
        if (!parsed) {
            faults_.add(pathOf(name), "must be an IP address and port such as \"127.0.0.1:8080\"");
        }
        return parsed;
    }

    /// Calls `each(element, path)` for the elements of an array.
    template<class Each>
    void array(const char *name, Each each)
    {
        const json *value = find(name);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array()) {
            faults_.add(pathOf(name), "must be an array");
            return;
        }
        for (std::size_t i = 0; i < value->size(); ++i) {
            each((*value)[i], pathOf(name) + "[" + std::to_string(i) + "]");
        }
    }

    /// Reports fields that no other call asked for.
    void refuseUnknown()
    {
        if (!object_.is_object()) {
            return;
        }
        for (const auto &[name, value] : object_.items()) {
            if (!known_.contains(name)) {
                faults_.add(pathOf(name), "is not a known field");
            }
        }
    }

    [[nodiscard]] std::string pathOf(const std::string &name) const
    {
        return path_.empty() ? name : path_ + "." + name;
    }

private:
    const json &object_;
    std::string path_;
    Faults &faults_;
    std::set<std::string> known_;
};

EndpointSettings readEndpoint(const json &value, const std::string &path, Faults &faults)
{
    EndpointSettings endpoint;
    Fields fields(value, path, faults);
    fields.id("id", endpoint.id, true);
    std::string kind = "engine";
    fields.text("kind", kind, false);
    if (kind == "service") {
        endpoint.kind = EndpointKind::Service;
    } else if (kind != "engine") {
        faults.add(fields.pathOf("kind"), "must be \"engine\" or \"service\"");
    }
    if (endpoint.kind == EndpointKind::Engine) {
        fields.id("model", endpoint.model, true);
        fields.number("memoryTokens", endpoint.memoryTokens, 1, std::numeric_limits<std::uint32_t>::max());
    } else {
        fields.id("service", endpoint.service, true);
    }
    if (const auto address = fields.address("address", true)) {
        endpoint.address = *address;
    }
    fields.id("zone", endpoint.zone, false);
    fields.flag("honoursFencing", endpoint.honoursFencing);
    fields.flag("checksCaller", endpoint.checksCaller);
    fields.text("authorizationHeader", endpoint.authorizationHeader, false);
    if (endpoint.checksCaller && endpoint.authorizationHeader.empty()) {
        faults.add(fields.pathOf("authorizationHeader"), "is missing for an endpoint that checks its caller");
    }
    fields.refuseUnknown();
    return endpoint;
}

PeerSettings readPeer(const json &value, const std::string &path, Faults &faults)
{
    PeerSettings peer;
    Fields fields(value, path, faults);
    fields.id("vm", peer.vm, true);
    fields.id("zone", peer.zone, false);
    if (const auto address = fields.address("address", true)) {
        peer.address = *address;
    }
    fields.refuseUnknown();
    return peer;
}

std::optional<TlsSettings> readTls(Fields &parent, const char *name, bool withAuthority, Faults &faults)
{
    const json *value = parent.find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    TlsSettings tls;
    Fields fields(*value, parent.pathOf(name), faults);
    fields.text("certificateFile", tls.certificateFile, true);
    fields.text("keyFile", tls.keyFile, true);
    if (withAuthority) {
        fields.text("authorityFile", tls.authorityFile, true);
    }
    fields.refuseUnknown();
    return tls;
}

void readCallerBounds(Fields &parent, CallerBounds &bounds, Faults &faults)
{
    constexpr std::uint64_t kMostBytes = 1U << 30U;
    const json *value = parent.find("callers");
    if (value == nullptr) {
        return;
    }
    Fields fields(*value, parent.pathOf("callers"), faults);
    fields.number("headerBytes", bounds.headerBytes, 1024, kMostBytes);
    fields.number("bodyBytes", bounds.bodyBytes, 1024, kMostBytes);
    fields.number("connections", bounds.connections, 1, 1000000);
    fields.milliseconds("headerMs", bounds.headerTime);
    fields.milliseconds("bodyMs", bounds.bodyTime);
    fields.milliseconds("idleMs", bounds.idleTime);
    fields.milliseconds("writeMs", bounds.writeTime);
    fields.milliseconds("resumeWindowMs", bounds.resumeWindow);
    fields.milliseconds("serviceMs", bounds.serviceTime);
    fields.refuseUnknown();
}

void readStepCost(Fields &parent, StepCost &cost, Faults &faults)
{
    constexpr double kMostMilliseconds = 10000;
    const json *value = parent.find("engineSteps");
    if (value == nullptr) {
        return;
    }
    Fields fields(*value, parent.pathOf("engineSteps"), faults);
    fields.real("baseMs", cost.baseMilliseconds, 0.01, kMostMilliseconds);
    fields.real("perAnswerMs", cost.perSequenceMilliseconds, 0, kMostMilliseconds);
    fields.real("perThousandTokensMs", cost.perThousandTokensMilliseconds, 0, kMostMilliseconds);
    fields.real("promptMsPerThousandTokens", cost.prefillMillisecondsPerThousandTokens, 0, kMostMilliseconds);
    fields.number("promptTokensPerStep", cost.prefillTokensPerStep, 1, std::numeric_limits<std::uint32_t>::max());
    fields.refuseUnknown();
}

void readGateway(Fields &parent, std::optional<GatewaySettings> &target, Faults &faults)
{
    const json *value = parent.find("gateway");
    if (value == nullptr) {
        return;
    }
    GatewaySettings gateway;
    Fields fields(*value, parent.pathOf("gateway"), faults);
    fields.milliseconds("revocationMs", gateway.revocationTime);
    fields.milliseconds("graceMs", gateway.graceTime);
    fields.milliseconds("drainMs", gateway.drainTime);
    fields.real("retryRatio", gateway.retryRatio, 0, 1);
    fields.real("retryAllowance", gateway.retryAllowance, 0, 1000000);
    fields.milliseconds("retryWindowMs", gateway.retryWindow);
    fields.real("memoryQuantile", gateway.memoryQuantile, 0.5, 0.999999);
    fields.real("urgentReserve", gateway.urgentReserve, 0, 0.9);
    readStepCost(fields, gateway.stepCost, faults);
    fields.refuseUnknown();
    target = gateway;
}

void readListFiles(Fields &parent, ListFiles &files, Faults &faults)
{
    const json *value = parent.find("listFiles");
    if (value == nullptr) {
        return;
    }
    Fields fields(*value, parent.pathOf("listFiles"), faults);
    fields.text("plans", files.plans, true);
    fields.text("limits", files.limits, true);
    fields.text("sealKeys", files.sealKeys, false);
    fields.refuseUnknown();
}

/// Reports rules that span several fields.
void checkWhole(const Settings &settings, Faults &faults)
{
    std::set<EndpointId> endpoints;
    for (std::size_t i = 0; i < settings.endpoints.size(); ++i) {
        if (!settings.endpoints[i].id.empty() && !endpoints.insert(settings.endpoints[i].id).second) {
            faults.add("endpoints[" + std::to_string(i) + "].id", "is used twice");
        }
    }
    std::set<VmId> vms{settings.vm};
    for (std::size_t i = 0; i < settings.peers.size(); ++i) {
        if (!settings.peers[i].vm.empty() && !vms.insert(settings.peers[i].vm).second) {
            faults.add("peers[" + std::to_string(i) + "].vm", "is used twice");
        }
    }
    if (!settings.peers.empty() && !settings.listenPeers) {
        faults.add("listenPeers", "is missing, although there are peers");
    }
    if (settings.advertisePeers && !settings.listenPeers) {
        faults.add("advertisePeers", "has no meaning without listenPeers");
    }
    if (settings.advertisePeers && settings.platformProtocol == "own") {
        faults.add("advertisePeers", "has no meaning with the own protocol, whose platform lists the addresses");
    }
    if (settings.listenPeers && *settings.listenPeers == settings.listen && settings.listen.port != 0) {
        faults.add("listenPeers", "must differ from listen");
    }
    if (settings.gateway && !settings.platform) {
        faults.add("platform", "is missing, although requests are forwarded by routes");
    }
    if (settings.platform && !settings.listFiles.plans.empty()) {
        faults.add("listFiles", "cannot be combined with platform");
    }
}

} // namespace

std::string toString(const SocketAddress &address)
{
    const bool isV6 = address.ip.find(':') != std::string::npos;
    return (isV6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view ip = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    } else if (ip.find(':') != std::string_view::npos) {
        return std::nullopt;
    }
    SocketAddress address{.ip = std::string(ip), .port = 0};
    boost::system::error_code error;
    boost::asio::ip::make_address(address.ip, error);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error || port.empty() || parsed.ec != std::errc() || parsed.ptr != port.data() + port.size()) {
        return std::nullopt;
    }
    return address;
}

Result<Settings> parseSettings(const std::string &text, const std::string &fileName)
{
    json document;
    try {
        document = json::parse(text, nullptr, true, true);
    } catch (const json::exception &fault) {
        return Error{ResultCode::InvalidDocument, fileName + ": " + fault.what(), {}};
    }
    Faults faults(fileName);
    Settings settings;
    Fields fields(document, "", faults);
    fields.id("vm", settings.vm, true);
    fields.id("zone", settings.zone, true);
    if (const auto address = fields.address("listen", true)) {
        settings.listen = *address;
    }
    settings.listenPeers = fields.address("listenPeers", false);
    settings.advertisePeers = fields.address("advertisePeers", false);
    settings.listenOperators = fields.address("listenOperators", false);
    settings.listenReadiness = fields.address("listenReadiness", false);
    settings.platform = fields.address("platform", false);
    fields.text("platformProtocol", settings.platformProtocol, false);
    readGateway(fields, settings.gateway, faults);
    fields.number("workers", settings.workers, 1, kMaxWorkers);
    fields.array("peers", [&](const json &value, const std::string &path) { settings.peers.push_back(readPeer(value, path, faults)); });
    // One settings file can list all VMs, this one included.
    std::erase_if(settings.peers, [&](const PeerSettings &peer) { return !peer.vm.empty() && peer.vm == settings.vm; });
    fields.array("endpoints", [&](const json &value, const std::string &path) { settings.endpoints.push_back(readEndpoint(value, path, faults)); });
    settings.callerTls = readTls(fields, "callerTls", false, faults);
    settings.peerTls = readTls(fields, "peerTls", true, faults);
    readListFiles(fields, settings.listFiles, faults);
    readCallerBounds(fields, settings.callers, faults);
    fields.refuseUnknown();
    checkWhole(settings, faults);
    if (!faults.text().empty()) {
        return Error{ResultCode::InvalidDocument, faults.text(), {}};
    }
    return settings;
}

Result<Settings> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error{ResultCode::InvalidDocument, path + ": cannot be opened", {}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace daisystream
