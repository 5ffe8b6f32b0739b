#include "daemon/control/controlpart.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace daisystream
{
namespace
{

/// Puts a list from a file in force as version 1.
std::optional<Error> offerFile(ListTable &lists, DocumentKind kind, const std::string &path)
{
    if (path.empty()) {
        return std::nullopt;
    }
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || !lists.offer(kind, {.number = 1, .changeId = "file"}, text.str())) {
        return Error{ResultCode::InvalidDocument, path + ": cannot be read or is not valid", {}};
    }
    return std::nullopt;
}

} // namespace

class ControlPart::Private
{
public:
    Private(boost::asio::io_context &io, const Settings &with, const Clock &clock, const ControlOptions &options)
        : settings(with)
        , platform(io, with.platform)
        , peers(io, {.vm = with.vm, .zone = with.zone, .incarnation = options.incarnation}, clock, metrics, options.peers)
        , dispatcher(
              io, with, clock, metrics, [this](const VmId &to, const PeerMessage &message) { return peers.send(to, message); }, options.seed)
        , monitor(
              io, with, {.lists = lists, .platform = platform, .peers = peers, .dispatcher = dispatcher, .metrics = metrics, .clock = clock}, options.monitor)
        , load(io, dispatcher, clock, metrics, options.load)
    {
    }

    const Settings settings;
    Metrics metrics;
    ListTable lists;
    PlatformClient platform;
    PeerLink peers;
    CellDispatcher dispatcher;
    VmMonitor monitor;
    LoadPoller load;
};

ControlPart::ControlPart(boost::asio::io_context &io, const Settings &settings, const Clock &clock, const ControlOptions &options)
    : d_(std::make_unique<Private>(io, settings, clock, options))
{
}

ControlPart::~ControlPart() = default;

std::optional<Error> ControlPart::start()
{
    const ListFiles &files = d_->settings.listFiles;
    for (const auto &[kind, path] :
         {std::pair(DocumentKind::Plans, files.plans), std::pair(DocumentKind::Limits, files.limits), std::pair(DocumentKind::SealKeys, files.sealKeys)}) {
        if (auto error = offerFile(d_->lists, kind, path)) {
            return error;
        }
    }
    d_->peers.setMessageHandler([this](const VmId &from, std::uint64_t incarnation, const PeerMessage &message) {
        d_->monitor.onMessage(from, incarnation, message);
        d_->dispatcher.onMessage(from, message);
    });
    d_->peers.setAckHandler(
        [this](const VmId &from, TimePoint sentAt, const std::vector<std::uint64_t> &versions) { d_->monitor.onAck(from, sentAt, versions); });
    d_->peers.setVersionSource([this] { return d_->lists.versions(); });
    d_->dispatcher.setAssignmentCheck([this] { return d_->monitor.assignment(); });
    if (auto error = d_->peers.start(d_->settings.listenPeers, d_->settings.peerTls)) {
        return error;
    }
    d_->monitor.start();
    d_->load.start();
    return std::nullopt;
}

void ControlPart::beginShutdown()
{
    d_->lists.setStopping();
    d_->monitor.setLeaving();
}

void ControlPart::stop()
{
    d_->load.stop();
    d_->monitor.stop();
    d_->peers.stop();
}

ListTable &ControlPart::lists()
{
    return d_->lists;
}

CellDispatcher &ControlPart::dispatcher()
{
    return d_->dispatcher;
}

PeerLink &ControlPart::peers()
{
    return d_->peers;
}

PlatformClient &ControlPart::platform()
{
    return d_->platform;
}

VmMonitor &ControlPart::monitor()
{
    return d_->monitor;
}

Metrics &ControlPart::metrics()
{
    return d_->metrics;
}

nlohmann::json ControlPart::status() const
{
    nlohmann::json status = d_->dispatcher.status();
    status["vm"] = d_->settings.vm.value();
    status["vms"] = d_->monitor.status();
    const auto refusal = d_->lists.admission();
    status["admission"] = refusal ? toString(refusal->code) : "open";
    return status;
}

} // namespace daisystream
