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

/// Collects error messages, each with the file name and the path of a field.
class ValidationErrors
{
public:
    explicit ValidationErrors(std::string fileName)
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

/// Reads the fields of one JSON object, adds an error for each invalid field, and can report unknown fields at the end.
class FieldReader
{
public:
    FieldReader(const json &object, std::string path, ValidationErrors &errors)
        : object_(object)
        , path_(std::move(path))
        , errors_(errors)
    {
        if (!object_.is_object()) {
            errors_.add(path_.empty() ? "document" : path_, "must be an object");
        }
    }

    /// @return the field, or null if it is absent. Marks the name as known.
    const json *find(const char *name)
    {
        known_.insert(name);
        if (!object_.is_object()) {
            return nullptr;
        }
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }

    /// Like `find`, but reports an absent field.
    const json *require(const char *name)
    {
        const json *value = find(name);
        if (value == nullptr && object_.is_object()) {
            errors_.add(pathOf(name), "is missing");
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
            errors_.add(pathOf(name), "must be a non-empty string");
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
    void number(const char *name, Number &target, std::uint64_t minimum, std::uint64_t maximum)
    {
        const json *value = find(name);
        if (value == nullptr) {
            return;
        }
        if (!value->is_number_unsigned() || value->get<std::uint64_t>() < minimum || value->get<std::uint64_t>() > maximum) {
            errors_.add(pathOf(name), "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return;
        }
        target = static_cast<Number>(value->get<std::uint64_t>());
    }

    void milliseconds(const char *name, std::chrono::milliseconds &target)
    {
        constexpr std::uint64_t kMaxMilliseconds = 3600000;
        std::uint64_t value = static_cast<std::uint64_t>(target.count());
        number(name, value, 1, kMaxMilliseconds);
        target = std::chrono::milliseconds(value);
    }

    void realNumber(const char *name, double &target, double minimum, double maximum)
    {
        const json *value = find(name);
        if (value == nullptr) {
            return;
        }
        if (!value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
            errors_.add(pathOf(name), "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
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
            errors_.add(pathOf(name), "must be true or false");
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
            errors_.add(pathOf(name), "must be an IP address and port such as \"127.0.0.1:8080\"");
        }
        return parsed;
    }

    /// Calls `each(element, path)` for every element of an array field.
    template<class Each>
    void array(const char *name, Each each)
    {
        const json *value = find(name);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array()) {
            errors_.add(pathOf(name), "must be an array");
            return;
        }
        for (std::size_t i = 0; i < value->size(); ++i) {
            each((*value)[i], pathOf(name) + "[" + std::to_string(i) + "]");
        }
    }

    /// Reports all fields whose names were not passed to any other function before.
    void reportUnknownFields()
    {
        if (!object_.is_object()) {
            return;
        }
        for (const auto &[name, value] : object_.items()) {
            if (!known_.contains(name)) {
                errors_.add(pathOf(name), "is not a known field");
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
    ValidationErrors &errors_;
    std::set<std::string> known_;
};

EndpointSettings readEndpoint(const json &value, const std::string &path, ValidationErrors &errors)
{
    EndpointSettings endpoint;
    FieldReader fields(value, path, errors);
    fields.id("id", endpoint.id, true);
    std::string kind = "engine";
    fields.text("kind", kind, false);
    if (kind == "service") {
        endpoint.kind = EndpointKind::Service;
    } else if (kind != "engine") {
        errors.add(fields.pathOf("kind"), "must be \"engine\" or \"service\"");
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
        errors.add(fields.pathOf("authorizationHeader"), "is missing for an endpoint that checks its caller");
    }
    fields.reportUnknownFields();
    return endpoint;
}

PeerSettings readPeer(const json &value, const std::string &path, ValidationErrors &errors)
{
    PeerSettings peer;
    FieldReader fields(value, path, errors);
    fields.id("vm", peer.vm, true);
    fields.id("zone", peer.zone, false);
    if (const auto address = fields.address("address", true)) {
        peer.address = *address;
    }
    fields.reportUnknownFields();
    return peer;
}

std::optional<TlsSettings> readTls(FieldReader &parent, const char *name, bool withAuthority, ValidationErrors &errors)
{
    const json *value = parent.find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    TlsSettings tls;
    FieldReader fields(*value, parent.pathOf(name), errors);
    fields.text("certificateFile", tls.certificateFile, true);
    fields.text("keyFile", tls.keyFile, true);
    if (withAuthority) {
        fields.text("authorityFile", tls.authorityFile, true);
    }
    fields.reportUnknownFields();
    return tls;
}

void readCallerBounds(FieldReader &parent, CallerResourceLimits &bounds, ValidationErrors &errors)
{
    constexpr std::uint64_t kMaxBytes = 1U << 30U;
    const json *value = parent.find("callers");
    if (value == nullptr) {
        return;
    }
    FieldReader fields(*value, parent.pathOf("callers"), errors);
    fields.number("headerBytes", bounds.headerBytes, 1024, kMaxBytes);
    fields.number("bodyBytes", bounds.bodyBytes, 1024, kMaxBytes);
    fields.number("connections", bounds.connections, 1, 1000000);
    fields.number("fields", bounds.fields, 16, 65536);
    fields.number("receiveBufferBytes", bounds.receiveBufferBytes, 0, kMaxBytes);
    fields.number("bodyBytesPerSecond", bounds.bodyBytesPerSecond, 0, kMaxBytes);
    fields.milliseconds("bodyStallMs", bounds.bodyStallTime);
    fields.milliseconds("headerMs", bounds.headerTime);
    fields.milliseconds("bodyMs", bounds.bodyTime);
    fields.milliseconds("idleMs", bounds.idleTime);
    fields.milliseconds("writeMs", bounds.writeTime);
    fields.milliseconds("resumeWindowMs", bounds.resumeWindow);
    fields.milliseconds("serviceMs", bounds.serviceTime);
    fields.reportUnknownFields();
}

void readStepCost(FieldReader &parent, StepCost &cost, ValidationErrors &errors)
{
    constexpr double kMaxMilliseconds = 10000;
    const json *value = parent.find("engineSteps");
    if (value == nullptr) {
        return;
    }
    FieldReader fields(*value, parent.pathOf("engineSteps"), errors);
    fields.realNumber("baseMs", cost.baseMilliseconds, 0.01, kMaxMilliseconds);
    fields.realNumber("perAnswerMs", cost.perSequenceMilliseconds, 0, kMaxMilliseconds);
    fields.realNumber("perThousandTokensMs", cost.perThousandTokensMilliseconds, 0, kMaxMilliseconds);
    fields.realNumber("promptMsPerThousandTokens", cost.prefillMillisecondsPerThousandTokens, 0, kMaxMilliseconds);
    fields.number("promptTokensPerStep", cost.prefillTokensPerStep, 1, std::numeric_limits<std::uint32_t>::max());
    fields.reportUnknownFields();
}

void readGateway(FieldReader &parent, std::optional<GatewaySettings> &target, ValidationErrors &errors)
{
    const json *value = parent.find("gateway");
    if (value == nullptr) {
        return;
    }
    GatewaySettings gateway;
    FieldReader fields(*value, parent.pathOf("gateway"), errors);
    fields.milliseconds("revocationMs", gateway.revocationTime);
    fields.milliseconds("graceMs", gateway.graceTime);
    fields.milliseconds("drainMs", gateway.drainTime);
    fields.realNumber("retryRatio", gateway.retryRatio, 0, 1);
    fields.realNumber("retryAllowance", gateway.retryAllowance, 0, 1000000);
    fields.milliseconds("retryWindowMs", gateway.retryWindow);
    fields.realNumber("memoryQuantile", gateway.memoryQuantile, 0.5, 0.999999);
    fields.realNumber("urgentReserve", gateway.urgentReserve, 0, 0.9);
    readStepCost(fields, gateway.stepCost, errors);
    fields.reportUnknownFields();
    target = gateway;
}

void readListFiles(FieldReader &parent, ListFiles &files, ValidationErrors &errors)
{
    const json *value = parent.find("listFiles");
    if (value == nullptr) {
        return;
    }
    FieldReader fields(*value, parent.pathOf("listFiles"), errors);
    fields.text("plans", files.plans, true);
    fields.text("limits", files.limits, true);
    fields.text("sealKeys", files.sealKeys, false);
    fields.reportUnknownFields();
}

/// Checks the rules that involve several fields.
void checkCrossFieldRules(const Settings &settings, ValidationErrors &errors)
{
    std::set<EndpointId> endpoints;
    for (std::size_t i = 0; i < settings.endpoints.size(); ++i) {
        if (!settings.endpoints[i].id.empty() && !endpoints.insert(settings.endpoints[i].id).second) {
            errors.add("endpoints[" + std::to_string(i) + "].id", "is used twice");
        }
    }
    std::set<VmId> vms{settings.vm};
    for (std::size_t i = 0; i < settings.peers.size(); ++i) {
        if (!settings.peers[i].vm.empty() && !vms.insert(settings.peers[i].vm).second) {
            errors.add("peers[" + std::to_string(i) + "].vm", "is used twice");
        }
    }
    if (!settings.peers.empty() && !settings.listenPeers) {
        errors.add("listenPeers", "is missing, but is required if there are peers");
    }
    if (settings.advertisePeers && !settings.listenPeers) {
        errors.add("advertisePeers", "has no effect without listenPeers");
    }
    if (settings.advertisePeers && settings.platformProtocol == "own") {
        errors.add("advertisePeers", "has no effect with platformProtocol \"own\", because that platform lists the addresses");
    }
    if (settings.listenPeers && *settings.listenPeers == settings.listen && settings.listen.port != 0) {
        errors.add("listenPeers", "must differ from listen");
    }
    if (settings.gateway && !settings.platform) {
        errors.add("platform", "is missing, but is required by gateway");
    }
    if (settings.platform && !settings.listFiles.plans.empty()) {
        errors.add("listFiles", "cannot be combined with platform");
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
    } catch (const json::exception &parseError) {
        return Error{ResultCode::InvalidDocument, fileName + ": " + parseError.what(), {}};
    }
    ValidationErrors errors(fileName);
    Settings settings;
    FieldReader fields(document, "", errors);
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
    readGateway(fields, settings.gateway, errors);
    fields.number("workers", settings.workers, 1, kMaxWorkers);
    fields.array("peers", [&](const json &value, const std::string &path) { settings.peers.push_back(readPeer(value, path, errors)); });
    // All VMs may share one list of peers, which then includes this VM.
    std::erase_if(settings.peers, [&](const PeerSettings &peer) { return !peer.vm.empty() && peer.vm == settings.vm; });
    fields.array("endpoints", [&](const json &value, const std::string &path) { settings.endpoints.push_back(readEndpoint(value, path, errors)); });
    settings.callerTls = readTls(fields, "callerTls", false, errors);
    settings.peerTls = readTls(fields, "peerTls", true, errors);
    readListFiles(fields, settings.listFiles, errors);
    readCallerBounds(fields, settings.callers, errors);
    fields.number("memoryMb", settings.memoryMegabytes, 0, 1U << 20U);
    fields.number("descriptors", settings.descriptors, 0, 1U << 20U);
    fields.reportUnknownFields();
    checkCrossFieldRules(settings, errors);
    if (!errors.text().empty()) {
        return Error{ResultCode::InvalidDocument, errors.text(), {}};
    }
    return settings;
}

TotalCallerLimits totalCallerLimits(const Settings &settings, const MachineLimits &machine)
{
    constexpr std::uint64_t kMegabyte = 1'000'000;
    // For the program, its lists and the traffic between VMs.
    constexpr std::uint64_t kProgramBytes = 40 * kMegabyte;
    // A body of 4 MB, twice because it is forwarded, and the reserve for small requests.
    constexpr std::uint64_t kMinBytes = 12 * kMegabyte;
    // For endpoints, other VMs, the store, operators, readiness checks and files.
    constexpr std::uint64_t kInternalDescriptors = 256;
    constexpr std::uint64_t kMinConnections = 16;
    const auto memory = settings.memoryMegabytes > 0 ? settings.memoryMegabytes * kMegabyte : machine.memoryBytes;
    const auto descriptors = settings.descriptors > 0 ? settings.descriptors : machine.descriptors;
    TotalCallerLimits limits;
    // A fifth is left to the allocator and to what the kernel has received.
    limits.memoryBytes = std::max(kMinBytes, memory > kProgramBytes ? (memory - kProgramBytes) / 5 * 4 : 0);
    // Half as many again are left to the connections to endpoints of requests that run.
    const auto connections = descriptors > kInternalDescriptors ? (descriptors - kInternalDescriptors) / 3 * 2 : 0;
    limits.connections = std::min<std::uint64_t>(settings.callers.connections, std::max(kMinConnections, connections));
    return limits;
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
