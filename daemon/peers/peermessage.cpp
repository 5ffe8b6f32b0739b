#include "daemon/peers/peermessage.h"

#include "daemon/peers/peer.capnp.h"
#include "daemon/store/listtable.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>

namespace daisystream
{
namespace
{

using std::chrono::microseconds;

// No message is more than a few levels deep; deeper nesting is malformed input.
constexpr int kNestingLimit = 16;
// A byte of a message as we write it stands for less than two words; this leaves room for entries that are mostly zeros.
constexpr std::uint64_t kWordsPerByte = 16;
constexpr std::uint64_t kLeastTraversalWords = 1024;
constexpr std::uint64_t kTraversalLimitWords = std::uint64_t{2} * kMaxPeerMessageBytes / sizeof(capnp::word);
// A work request that claims a longer deadline or age is malformed; it also keeps time arithmetic from overflowing.
constexpr microseconds kLongestDuration = std::chrono::hours(24);

microseconds toMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<microseconds>(duration);
}

constexpr std::uint32_t kMaxPercent = 100; // Of a part of something.

Duration readDuration(std::int64_t count)
{
    return std::clamp(microseconds(count), -kLongestDuration, kLongestDuration);
}

capnp::Text::Reader text(const std::string &value)
{
    return {value.c_str(), value.size()};
}

std::string string(capnp::Text::Reader value)
{
    return {value.begin(), value.size()};
}

capnp::Data::Reader data(const std::string &value)
{
    return {reinterpret_cast<const kj::byte *>(value.data()), value.size()};
}

std::string string(capnp::Data::Reader value)
{
    return {reinterpret_cast<const char *>(value.begin()), value.size()};
}

template<class Enum>
Enum readEnum(unsigned value, Enum last)
{
    KJ_REQUIRE(value <= static_cast<unsigned>(last), "value outside its enumeration");
    return static_cast<Enum>(value);
}

std::int64_t writeRetry(const std::optional<std::chrono::milliseconds> &retry)
{
    return retry ? retry->count() : -1;
}

std::optional<std::chrono::milliseconds> readRetry(std::int64_t count)
{
    if (count < 0) {
        return std::nullopt;
    }
    return std::min(std::chrono::milliseconds(count), std::chrono::duration_cast<std::chrono::milliseconds>(kLongestDuration));
}

void write(wire::LimitStatement::Builder out, const LimitStatement &statement)
{
    out.setEndpoint(text(statement.endpoint.value()));
    out.setPerSecond(statement.perSecond);
    out.setAge(toMicroseconds(statement.age).count());
}

void write(wire::Slowness::Builder out, const SlownessReport &report, TimePoint now)
{
    out.setEndpoint(text(report.endpoint.value()));
    out.setPercent(report.percent);
    out.setAge(toMicroseconds(now - report.at).count());
    out.setRelativePercent(report.relativePercent.value_or(0));
    if (report.gainPercent) {
        out.setGainPercent(static_cast<std::uint8_t>(std::min(*report.gainPercent, kMaxPercent)));
    }
}

void write(capnp::List<wire::PartSighting>::Builder out, const std::vector<PartSighting> &sightings)
{
    for (unsigned i = 0; i < sightings.size(); ++i) {
        out[i].setPart(sightings[i].part);
        out[i].setAge(toMicroseconds(sightings[i].age).count());
    }
}

void write(wire::News::Builder out, const QuarantineNews &news)
{
    auto crashes = out.initCrashes(static_cast<unsigned>(news.crashes.size()));
    for (unsigned i = 0; i < news.crashes.size(); ++i) {
        const CrashReport &report = news.crashes[i];
        crashes[i].setEngine(text(report.engine.value()));
        auto parts = crashes[i].initParts(static_cast<unsigned>(report.parts.size()));
        for (unsigned j = 0; j < report.parts.size(); ++j) {
            parts.set(j, report.parts[j]);
        }
        crashes[i].setSentAge(toMicroseconds(report.sentAge).count());
        crashes[i].setCrashAge(toMicroseconds(report.crashAge).count());
    }
    write(out.initBegun(static_cast<unsigned>(news.begun.size())), news.begun);
    write(out.initTrials(static_cast<unsigned>(news.trials.size())), news.trials);
}

void write(wire::Work::Builder out, const CellId &cell, const WorkRequest &work, TimePoint now)
{
    out.setCell(text(cell.value()));
    out.setRequest(text(work.id.value()));
    out.setTeam(text(work.team.value()));
    out.setEntry(text(work.entry.value()));
    out.setRank(static_cast<std::uint8_t>(work.rank));
    out.setModel(text(work.model.value()));
    out.setPromptTokens(work.promptTokens);
    out.setMaxOutputTokens(work.maxOutputTokens);
    out.setWeight(work.weight);
    out.setPace(work.paceTokensPerSecond);
    out.setDeadlineIn(toMicroseconds(work.firstTokenDeadline - now).count());
    out.setAge(toMicroseconds(now - work.arrival).count());
    out.setPrefixHash(work.prefixHash);
    out.setLengthClass(text(work.lengthClass));
    if (work.lastUsefulFirstToken) {
        out.setUsefulIn(std::max<std::int64_t>(0, toMicroseconds(*work.lastUsefulFirstToken - now).count()));
    }
    out.setFixed(!work.mayMove);
    out.setHeldTokens(work.heldTokens);
    out.setOnce(!work.mayRepeat);
    if (work.avoids) {
        out.setAvoids(text(work.avoids->value()));
    }
    auto barred = out.initBarred(static_cast<unsigned>(work.barred.size()));
    for (unsigned i = 0; i < work.barred.size(); ++i) {
        barred.set(i, text(work.barred[i].value()));
    }
    if (work.movesFrom) {
        out.setMovesFrom(text(work.movesFrom->endpoint.value()));
        out.setMovesFromZone(text(work.movesFrom->zone.value()));
    }
}

WorkRequest read(wire::Work::Reader in, TimePoint now)
{
    WorkRequest work;
    work.id = RequestId(string(in.getRequest()));
    work.team = TeamId(string(in.getTeam()));
    work.entry = VmId(string(in.getEntry()));
    work.rank = readEnum(in.getRank(), Rank::Ordinary);
    work.model = ModelId(string(in.getModel()));
    work.promptTokens = in.getPromptTokens();
    work.maxOutputTokens = in.getMaxOutputTokens();
    KJ_REQUIRE(in.getWeight() > 0 && in.getWeight() < 1e9, "weight out of range");
    KJ_REQUIRE(in.getPace() >= 0 && in.getPace() < 1e9, "pace out of range");
    work.weight = in.getWeight();
    work.paceTokensPerSecond = in.getPace();
    work.firstTokenDeadline = now + readDuration(in.getDeadlineIn());
    work.arrival = now - readDuration(in.getAge());
    if (in.getUsefulIn() >= 0) {
        work.lastUsefulFirstToken = now + readDuration(in.getUsefulIn());
    }
    work.prefixHash = in.getPrefixHash();
    work.lengthClass = string(in.getLengthClass());
    work.mayMove = !in.getFixed();
    work.heldTokens = in.getHeldTokens();
    work.mayRepeat = !in.getOnce();
    if (in.getAvoids().size() > 0) {
        work.avoids = EndpointId(string(in.getAvoids()));
    }
    for (const auto endpoint : in.getBarred()) {
        work.barred.emplace_back(string(endpoint));
    }
    if (in.getMovesFrom().size() > 0) {
        work.movesFrom = RunningAt{.endpoint = EndpointId(string(in.getMovesFrom())), .zone = ZoneId(string(in.getMovesFromZone()))};
    }
    return work;
}

template<class Builder, class Headers>
void writeHeaders(Builder out, const Headers &headers)
{
    for (unsigned i = 0; i < headers.size(); ++i) {
        out[i].setName(text(headers[i].first));
        out[i].setValue(text(headers[i].second));
    }
}

std::vector<std::pair<std::string, std::string>> readHeaders(capnp::List<wire::Header>::Reader in)
{
    std::vector<std::pair<std::string, std::string>> headers;
    for (const auto header : in) {
        headers.emplace_back(string(header.getName()), string(header.getValue()));
    }
    return headers;
}

template<class Builder, class Message>
void writeReference(Builder out, const Message &message)
{
    out.setCell(text(message.cell.value()));
    out.setRequest(text(message.request.value()));
}

void writeRequests(capnp::List<capnp::Text>::Builder out, const std::vector<RequestId> &requests)
{
    for (unsigned i = 0; i < requests.size(); ++i) {
        out.set(i, text(requests[i].value()));
    }
}

std::vector<RequestId> readRequests(capnp::List<capnp::Text>::Reader in)
{
    std::vector<RequestId> requests;
    for (const auto request : in) {
        requests.emplace_back(string(request));
    }
    return requests;
}

template<class Message>
Message readReference(wire::Reference::Reader in)
{
    return {.cell = CellId(string(in.getCell())), .request = RequestId(string(in.getRequest()))};
}

/// Writes the versions of the documents. A VM of a build without epochs reads the numbers only.
template<class Builder>
void writeVersions(Builder out, const std::vector<StoreRevision> &versions)
{
    auto numbers = out.initVersions(static_cast<unsigned>(versions.size()));
    for (unsigned i = 0; i < versions.size(); ++i) {
        numbers.set(i, versions[i].number);
    }
    if (std::any_of(versions.begin(), versions.end(), [](const auto &version) { return version.epoch != 0; })) {
        auto epochs = out.initEpochs(static_cast<unsigned>(versions.size()));
        for (unsigned i = 0; i < versions.size(); ++i) {
            epochs.set(i, versions[i].epoch);
        }
    }
}

template<class Reader>
std::vector<StoreRevision> readVersions(Reader in)
{
    const auto numbers = in.getVersions();
    const auto epochs = in.getEpochs();
    KJ_REQUIRE(numbers.size() == kDocumentKinds && (epochs.size() == 0 || epochs.size() == kDocumentKinds), "wrong number of versions");
    std::vector<StoreRevision> versions;
    for (unsigned i = 0; i < numbers.size(); ++i) {
        versions.push_back({.epoch = epochs.size() == 0 ? 0 : epochs[i], .number = numbers[i]});
    }
    return versions;
}

void writeCells(capnp::List<wire::CellDigest>::Builder out, const std::vector<CellDigest> &cells)
{
    for (unsigned i = 0; i < cells.size(); ++i) {
        out[i].setCell(text(cells[i].cell.value()));
        out[i].setQueuedUrgent(cells[i].queuedUrgent);
        out[i].setQueuedOrdinary(cells[i].queuedOrdinary);
        out[i].setRunning(cells[i].running);
    }
}

std::vector<CellDigest> readCells(capnp::List<wire::CellDigest>::Reader in)
{
    std::vector<CellDigest> cells;
    for (const auto cell : in) {
        cells.push_back({.cell = CellId(string(cell.getCell())),
                         .queuedUrgent = cell.getQueuedUrgent(),
                         .queuedOrdinary = cell.getQueuedOrdinary(),
                         .running = cell.getRunning()});
    }
    return cells;
}

void write(wire::EndpointChanges::Builder out, const EndpointChanges &changes)
{
    out.setAfter(changes.after.number);
    out.setAfterEpoch(changes.after.epoch);
    out.setUpTo(changes.upTo.number);
    out.setEpoch(changes.upTo.epoch);
    auto list = out.initChanges(static_cast<unsigned>(changes.changes.size()));
    for (unsigned i = 0; i < changes.changes.size(); ++i) {
        const EndpointChange &change = changes.changes[i];
        list[i].setName(text(change.name));
        list[i].setRevision(change.revision.number);
        list[i].setRemoved(!change.entry);
        if (change.entry) {
            list[i].setService(text(change.entry->service.value()));
            list[i].setAddress(text(change.entry->address));
            list[i].setZone(text(change.entry->zone.value()));
            list[i].setState(static_cast<std::uint8_t>(change.entry->state));
            list[i].setSlots(change.entry->slots);
            list[i].setStartedAt(change.entry->startedAt);
            list[i].setCold(toMicroseconds(change.entry->coldDuration).count());
        }
    }
}

EndpointChanges read(wire::EndpointChanges::Reader in)
{
    const auto epoch = in.getEpoch();
    EndpointChanges changes{.after = {.epoch = in.getAfterEpoch(), .number = in.getAfter()}, .upTo = {.epoch = epoch, .number = in.getUpTo()}, .changes = {}};
    for (const auto change : in.getChanges()) {
        EndpointChange read{.name = string(change.getName()), .entry = {}, .revision = {.epoch = epoch, .number = change.getRevision()}};
        if (!change.getRemoved()) {
            read.entry = EndpointEntry{.name = read.name,
                                       .service = ServiceId(string(change.getService())),
                                       .address = string(change.getAddress()),
                                       .zone = ZoneId(string(change.getZone())),
                                       .state = change.getState() == static_cast<std::uint8_t>(EndpointState::InService) ? EndpointState::InService
                                                                                                                         : EndpointState::Draining,
                                       .slots = change.getSlots(),
                                       .startedAt = change.getStartedAt(),
                                       .coldDuration = std::chrono::duration_cast<std::chrono::milliseconds>(readDuration(change.getCold())),
                                       .revision = read.revision};
        }
        changes.changes.push_back(std::move(read));
    }
    return changes;
}

/// Writes one message of any kind.
class Writer
{
public:
    Writer(wire::Message::Builder root, TimePoint now)
        : root_(root)
        , now_(now)
    {
    }

    void operator()(const HelloMessage &message)
    {
        auto out = root_.initHello();
        out.setProtocolVersion(message.protocolVersion);
        out.setVm(text(message.vm.value()));
        out.setIncarnation(message.incarnation);
        out.setZone(text(message.zone.value()));
    }

    void operator()(const HeartbeatMessage &message)
    {
        auto out = root_.initHeartbeat();
        out.setSequence(message.sequence);
        writeVersions(out, message.versions);
        out.setStopping(message.stopping);
        out.setCutOff(message.cutOff);
        out.setReports(message.reports);
        writeCells(out.initCells(static_cast<unsigned>(message.cells.size())), message.cells);
        auto heard = out.initHeard(static_cast<unsigned>(message.heard.size()));
        for (unsigned i = 0; i < message.heard.size(); ++i) {
            heard[i].setVm(text(message.heard[i].vm.value()));
            heard[i].setIncarnation(message.heard[i].incarnation);
            heard[i].setSequence(message.heard[i].sequence);
        }
    }

    void operator()(const AckMessage &message)
    {
        auto out = root_.initAck();
        out.setSequence(message.sequence);
        writeVersions(out, message.view.versions);
        out.setContactAgeMs(writeRetry(message.view.contactAge));
        out.setIssuesPermits(message.view.issuesPermits);
        out.setStoreEpoch(message.view.storeEpoch);
        out.setAnswersChecks(message.view.answersChecks);
    }

    void operator()(const PingMessage &message)
    {
        root_.setPing(message.sequence);
    }

    void operator()(const DocumentRequestMessage &message)
    {
        root_.setDocumentRequest(message.kind);
    }

    void operator()(const DocumentMessage &message)
    {
        auto out = root_.initDocument();
        out.setKind(message.kind);
        out.setNumber(message.version.number);
        out.setEpoch(message.version.epoch);
        out.setChangeId(text(message.changeId));
        out.setText(data(message.text));
        auto vms = out.initVms(static_cast<unsigned>(message.vms.size()));
        for (unsigned i = 0; i < message.vms.size(); ++i) {
            vms.set(i, text(message.vms[i].value()));
        }
    }

    void operator()(const AskMessage &message)
    {
        write(root_.initAsk(), message.cell, message.work, now_);
    }

    void operator()(const QueuedMessage &message)
    {
        writeReference(root_.initQueued(), message);
    }

    void operator()(const AssignMessage &message)
    {
        auto out = root_.initAssign();
        out.setCell(text(message.cell.value()));
        out.setRequest(text(message.assign.request.value()));
        out.setEndpoint(text(message.assign.endpoint.value()));
        out.setPriority(message.assign.priority);
    }

    void operator()(const RefuseMessage &message)
    {
        auto out = root_.initRefuse();
        out.setCell(text(message.cell.value()));
        out.setRequest(text(message.refuse.request.value()));
        out.setCode(static_cast<std::uint16_t>(message.refuse.error.code));
        out.setDetail(text(message.refuse.error.detail));
        out.setRetryAfterMs(writeRetry(message.refuse.error.retryAfter));
    }

    void operator()(const WithdrawMessage &message)
    {
        writeReference(root_.initWithdraw(), message);
    }

    void operator()(const CancelMessage &message)
    {
        auto out = root_.initCancel();
        out.setCell(text(message.cell.value()));
        out.setRequest(text(message.cancel.request.value()));
        out.setEndpoint(text(message.cancel.endpoint.value()));
    }

    void operator()(const FirstTokenMessage &message)
    {
        auto out = root_.initFirstToken();
        writeReference(out, message);
        out.setSlownessPercent(message.slownessPercent);
        out.setSlownessAge(toMicroseconds(message.slownessAge).count());
    }

    void operator()(const ProgressMessage &message)
    {
        auto out = root_.initProgress();
        out.setCell(text(message.cell.value()));
        const auto count = static_cast<unsigned>(message.requests.size());
        auto requests = out.initRequests(count);
        auto tokens = out.initTokens(count);
        for (unsigned i = 0; i < count; ++i) {
            requests.set(i, text(message.requests[i].request.value()));
            tokens.set(i, message.requests[i].tokens);
        }
    }

    void operator()(const DoneMessage &message)
    {
        auto out = root_.initDone();
        out.setCell(text(message.cell.value()));
        out.setRequest(text(message.request.value()));
        out.setTokens(message.tokens);
        out.setReason(static_cast<std::uint8_t>(message.reason));
    }

    void operator()(const ResyncMessage &message)
    {
        auto out = root_.initResync();
        out.setCell(text(message.cell.value()));
        auto running = out.initRunning(static_cast<unsigned>(message.running.size()));
        for (unsigned i = 0; i < message.running.size(); ++i) {
            write(running[i].initWork(), message.cell, message.running[i].work, now_);
            running[i].setEndpoint(text(message.running[i].endpoint.value()));
            running[i].setTokens(message.running[i].tokens);
            running[i].setHasFirstToken(message.running[i].hasFirstToken);
        }
    }

    void operator()(const ShareRequestMessage &message)
    {
        auto out = root_.initShareRequest();
        out.setTeam(text(message.team.value()));
        out.setConcurrency(message.concurrency);
        out.setTokensPerSecond(message.tokensPerSecond);
        out.setHeldGrant(message.heldGrant);
    }

    void operator()(const ShareGrantMessage &message)
    {
        auto out = root_.initShareGrant();
        out.setTeam(text(message.team.value()));
        out.setGrant(message.grant);
        out.setConcurrency(message.concurrency);
        out.setTokensPerSecond(message.tokensPerSecond);
        out.setValidFor(message.validFor.count());
    }

    void operator()(const OrderMessage &message)
    {
        auto out = root_.initOrder();
        out.setNumber(message.number);
        out.setIncarnation(message.incarnation);
        out.setTicket(text(message.order.ticket));
        out.setTeam(text(message.order.team.value()));
        out.setService(text(message.order.service.value()));
        out.setMethod(text(message.order.method));
        out.setTarget(text(message.order.target));
        writeHeaders(out.initHeaders(static_cast<unsigned>(message.order.headers.size())), message.order.headers);
        out.setBody(data(message.order.body));
    }

    void operator()(const NewsMessage &message)
    {
        auto out = root_.initNews();
        out.setOrigin(text(message.origin.value()));
        out.setRelay(message.relay);
        auto reports = out.initReports(static_cast<unsigned>(message.reports.size()));
        for (unsigned i = 0; i < message.reports.size(); ++i) {
            const VmReport &report = message.reports[i];
            reports[i].setVm(text(report.vm.value()));
            reports[i].setReporter(text(report.reporter.value()));
            reports[i].setKind(static_cast<std::uint8_t>(report.kind));
            reports[i].setIncarnation(report.incarnation);
            reports[i].setSequence(report.sequence);
            reports[i].setCutOff(report.cutOff);
        }
        if (message.endpoints) {
            write(out.initEndpoints(), *message.endpoints);
        }
        auto documents = out.initDocuments(static_cast<unsigned>(message.documents.size()));
        for (unsigned i = 0; i < message.documents.size(); ++i) {
            documents[i].setKind(message.documents[i].kind);
            documents[i].setNumber(message.documents[i].version.number);
            documents[i].setEpoch(message.documents[i].version.epoch);
        }
        auto leaving = out.initLeaving(static_cast<unsigned>(message.leaving.size()));
        for (unsigned i = 0; i < message.leaving.size(); ++i) {
            leaving.set(i, text(message.leaving[i].value()));
        }
        writeCells(out.initCells(static_cast<unsigned>(message.cells.size())), message.cells);
        auto limits = out.initLimits(static_cast<unsigned>(message.limits.size()));
        for (unsigned i = 0; i < message.limits.size(); ++i) {
            write(limits[i], message.limits[i]);
        }
        write(out, message.quarantine);
        auto slowness = out.initSlowness(static_cast<unsigned>(message.slowness.size()));
        for (unsigned i = 0; i < message.slowness.size(); ++i) {
            write(slowness[i], message.slowness[i], now_);
        }
    }

    void operator()(const SlownessMessage &message)
    {
        write(root_.initSlowness(), message.report, now_);
    }

    void operator()(const CheckMessage &message)
    {
        auto out = root_.initCheck();
        out.setCell(text(message.cell.value()));
        writeRequests(out.initRunning(static_cast<unsigned>(message.running.size())), message.running);
        writeRequests(out.initUnknown(static_cast<unsigned>(message.unknown.size())), message.unknown);
    }

    void operator()(const PermitAskMessage &message)
    {
        auto out = root_.initPermitAsk();
        const auto &request = message.ask.request;
        out.setNumber(message.ask.number);
        out.setVm(text(request.vm.value()));
        out.setAttempt(request.attempt);
        out.setRequest(request.request);
        out.setUrgent(request.isUrgent);
        out.setPatience(toMicroseconds(request.patience).count());
        write(out.initStatement(), message.ask.statement);
        out.setColdPerSecond(message.ask.coldPerSecond);
    }

    void operator()(const PermitReplyMessage &message)
    {
        auto out = root_.initPermitReply();
        out.setNumber(message.reply.number);
        write(out.initStatement(), message.reply.statement);
        const auto *denied = std::get_if<PermitDenied>(&message.reply.outcome);
        out.setGranted(denied == nullptr);
        if (denied != nullptr) {
            out.setRetryAfter(toMicroseconds(denied->retryAfter).count());
            out.setPlaceKept(denied->isPlaceKept);
            out.setFullFor(toMicroseconds(denied->fullFor).count());
            out.setPause(toMicroseconds(denied->pause).count());
        }
    }

    void operator()(const OrderReplyMessage &message)
    {
        auto out = root_.initOrderReply();
        out.setNumber(message.number);
        if (const auto *error = std::get_if<Error>(&message.reply)) {
            out.setCode(static_cast<std::uint16_t>(error->code));
            out.setDetail(text(error->detail));
            out.setRetryAfterMs(writeRetry(error->retryAfter));
            return;
        }
        const auto &reply = std::get<OrderReply>(message.reply);
        out.setStatus(reply.status);
        writeHeaders(out.initHeaders(static_cast<unsigned>(reply.headers.size())), reply.headers);
        out.setBody(data(reply.body));
    }

private:
    wire::Message::Builder root_;
    TimePoint now_;
};

HeartbeatMessage read(wire::Heartbeat::Reader in)
{
    HeartbeatMessage message{.sequence = in.getSequence(), .versions = {}, .stopping = in.getStopping(), .cells = {}, .heard = {}, .cutOff = in.getCutOff()};
    message.versions = readVersions(in);
    message.cells = readCells(in.getCells());
    message.reports = in.getReports();
    for (const auto vm : in.getHeard()) {
        message.heard.push_back({.vm = VmId(string(vm.getVm())), .incarnation = vm.getIncarnation(), .sequence = vm.getSequence()});
    }
    return message;
}

ProgressMessage read(wire::Progress::Reader in)
{
    ProgressMessage message{.cell = CellId(string(in.getCell())), .requests = {}};
    const auto requests = in.getRequests();
    const auto tokens = in.getTokens();
    KJ_REQUIRE(requests.size() == tokens.size(), "lists of progress differ in length");
    for (unsigned i = 0; i < requests.size(); ++i) {
        message.requests.push_back({.request = RequestId(string(requests[i])), .tokens = tokens[i]});
    }
    return message;
}

ResyncMessage read(wire::Resync::Reader in, TimePoint now)
{
    ResyncMessage message{.cell = CellId(string(in.getCell())), .running = {}};
    for (const auto running : in.getRunning()) {
        message.running.push_back({.work = read(running.getWork(), now),
                                   .endpoint = EndpointId(string(running.getEndpoint())),
                                   .tokens = running.getTokens(),
                                   .hasFirstToken = running.getHasFirstToken()});
    }
    return message;
}

OrderMessage read(wire::Order::Reader in)
{
    return {.number = in.getNumber(),
            .incarnation = in.getIncarnation(),
            .order = {.ticket = string(in.getTicket()),
                      .team = TeamId(string(in.getTeam())),
                      .service = ServiceId(string(in.getService())),
                      .method = string(in.getMethod()),
                      .target = string(in.getTarget()),
                      .headers = readHeaders(in.getHeaders()),
                      .body = string(in.getBody())}};
}

OrderReplyMessage read(wire::OrderReply::Reader in)
{
    OrderReplyMessage message{.number = in.getNumber(), .reply = OrderReply{}};
    if (in.getCode() != 0) {
        message.reply = Error{static_cast<ResultCode>(in.getCode()), string(in.getDetail()), readRetry(in.getRetryAfterMs())};
        return message;
    }
    message.reply = OrderReply{.status = in.getStatus(), .headers = readHeaders(in.getHeaders()), .body = string(in.getBody())};
    return message;
}

RefuseMessage read(wire::Refuse::Reader in)
{
    const Error error{static_cast<ResultCode>(in.getCode()), string(in.getDetail()), readRetry(in.getRetryAfterMs())};
    return {.cell = CellId(string(in.getCell())), .refuse = {.request = RequestId(string(in.getRequest())), .error = error}};
}

ShareGrantMessage read(wire::ShareGrant::Reader in)
{
    KJ_REQUIRE(in.getTokensPerSecond() >= 0 && in.getTokensPerSecond() < 1e12, "share out of range");
    return {.team = TeamId(string(in.getTeam())),
            .grant = in.getGrant(),
            .concurrency = in.getConcurrency(),
            .tokensPerSecond = in.getTokensPerSecond(),
            .validFor = std::chrono::duration_cast<microseconds>(readDuration(in.getValidFor()))};
}

ShareRequestMessage read(wire::ShareRequest::Reader in)
{
    KJ_REQUIRE(in.getTokensPerSecond() >= 0 && in.getTokensPerSecond() < 1e12, "demand out of range");
    return {
        .team = TeamId(string(in.getTeam())), .concurrency = in.getConcurrency(), .tokensPerSecond = in.getTokensPerSecond(), .heldGrant = in.getHeldGrant()};
}

std::uint8_t readKind(std::uint8_t kind)
{
    KJ_REQUIRE(kind < kDocumentKinds, "unknown kind of document");
    return kind;
}

LimitStatement read(wire::LimitStatement::Reader in)
{
    KJ_REQUIRE(in.getPerSecond() >= 0 && in.getPerSecond() < 1e12, "request limit out of range");
    return {.endpoint = EndpointId(string(in.getEndpoint())), .perSecond = in.getPerSecond(), .age = readDuration(in.getAge())};
}

std::vector<PartSighting> read(capnp::List<wire::PartSighting>::Reader in)
{
    std::vector<PartSighting> sightings;
    for (const auto sighting : in) {
        sightings.push_back({.part = sighting.getPart(), .age = readDuration(sighting.getAge())});
    }
    return sightings;
}

QuarantineNews readQuarantine(wire::News::Reader in)
{
    QuarantineNews news{.crashes = {}, .begun = read(in.getBegun()), .trials = read(in.getTrials())};
    for (const auto crash : in.getCrashes()) {
        CrashReport report{.engine = EndpointId(string(crash.getEngine())),
                           .parts = {},
                           .sentAge = readDuration(crash.getSentAge()),
                           .crashAge = readDuration(crash.getCrashAge())};
        for (const auto part : crash.getParts()) {
            report.parts.push_back(part);
        }
        news.crashes.push_back(std::move(report));
    }
    return news;
}

SlownessReport read(wire::Slowness::Reader in, TimePoint now)
{
    SlownessReport report{
        .endpoint = EndpointId(string(in.getEndpoint())), .percent = in.getPercent(), .at = now - std::max(readDuration(in.getAge()), Duration::zero())};
    if (in.getRelativePercent() > 0) {
        report.relativePercent = in.getRelativePercent();
    }
    if (in.getGainPercent() <= kMaxPercent) {
        report.gainPercent = in.getGainPercent();
    }
    return report;
}

NewsMessage read(wire::News::Reader in, TimePoint now)
{
    NewsMessage message{.origin = VmId(string(in.getOrigin())), .relay = in.getRelay()};
    for (const auto report : in.getReports()) {
        message.reports.push_back({.vm = VmId(string(report.getVm())),
                                   .reporter = VmId(string(report.getReporter())),
                                   .kind = readEnum(report.getKind(), VmReport::Kind::Leaving),
                                   .incarnation = report.getIncarnation(),
                                   .sequence = report.getSequence(),
                                   .cutOff = report.getCutOff()});
    }
    if (in.hasEndpoints()) {
        message.endpoints = read(in.getEndpoints());
    }
    for (const auto document : in.getDocuments()) {
        message.documents.push_back({.kind = readKind(document.getKind()), .version = {.epoch = document.getEpoch(), .number = document.getNumber()}});
    }
    for (const auto endpoint : in.getLeaving()) {
        message.leaving.emplace_back(string(endpoint));
    }
    message.cells = readCells(in.getCells());
    for (const auto statement : in.getLimits()) {
        message.limits.push_back(read(statement));
    }
    message.quarantine = readQuarantine(in);
    for (const auto report : in.getSlowness()) {
        message.slowness.push_back(read(report, now));
    }
    return message;
}

PermitAskMessage read(wire::PermitAsk::Reader in)
{
    auto statement = read(in.getStatement());
    PermitRequest request{.endpoint = statement.endpoint,
                          .vm = VmId(string(in.getVm())),
                          .attempt = in.getAttempt(),
                          .request = in.getRequest(),
                          .isUrgent = in.getUrgent(),
                          .patience = readDuration(in.getPatience())};
    return {.ask = {.number = in.getNumber(), .request = std::move(request), .statement = std::move(statement), .coldPerSecond = in.getColdPerSecond()}};
}

PermitReplyMessage read(wire::PermitReply::Reader in)
{
    PermitReply reply{.number = in.getNumber(), .endpoint = {}, .outcome = PermitGranted{}, .statement = read(in.getStatement())};
    reply.endpoint = reply.statement.endpoint;
    if (!in.getGranted()) {
        reply.outcome = PermitDenied{.retryAfter = readDuration(in.getRetryAfter()),
                                     .isPlaceKept = in.getPlaceKept(),
                                     .fullFor = readDuration(in.getFullFor()),
                                     .pause = readDuration(in.getPause())};
    }
    return {.reply = std::move(reply)};
}

DocumentMessage read(wire::Document::Reader in)
{
    DocumentMessage message{.kind = readKind(in.getKind()),
                            .version = {.epoch = in.getEpoch(), .number = in.getNumber()},
                            .changeId = string(in.getChangeId()),
                            .text = string(in.getText())};
    for (const auto vm : in.getVms()) {
        message.vms.emplace_back(string(vm));
    }
    return message;
}

DoneMessage read(wire::Done::Reader in)
{
    return {.cell = CellId(string(in.getCell())),
            .request = RequestId(string(in.getRequest())),
            .tokens = in.getTokens(),
            .reason = readEnum(in.getReason(), FinishReason::MovedAway)};
}

PeerMessage read(wire::Message::Reader in, TimePoint now)
{
    switch (in.which()) {
    case wire::Message::HELLO: {
        const auto hello = in.getHello();
        return HelloMessage{.protocolVersion = hello.getProtocolVersion(),
                            .vm = VmId(string(hello.getVm())),
                            .incarnation = hello.getIncarnation(),
                            .zone = ZoneId(string(hello.getZone()))};
    }
    case wire::Message::HEARTBEAT:
        return read(in.getHeartbeat());
    case wire::Message::ACK:
        return AckMessage{.sequence = in.getAck().getSequence(),
                          .view = {.versions = readVersions(in.getAck()),
                                   .contactAge = readRetry(in.getAck().getContactAgeMs()),
                                   .issuesPermits = in.getAck().getIssuesPermits(),
                                   .storeEpoch = in.getAck().getStoreEpoch(),
                                   .answersChecks = in.getAck().getAnswersChecks()}};
    case wire::Message::PING:
        return PingMessage{in.getPing()};
    case wire::Message::DOCUMENT_REQUEST:
        return DocumentRequestMessage{readKind(in.getDocumentRequest())};
    case wire::Message::DOCUMENT:
        return read(in.getDocument());
    case wire::Message::ASK:
        return AskMessage{.cell = CellId(string(in.getAsk().getCell())), .work = read(in.getAsk(), now)};
    case wire::Message::QUEUED:
        return readReference<QueuedMessage>(in.getQueued());
    case wire::Message::ASSIGN: {
        const auto assign = in.getAssign();
        return AssignMessage{
            .cell = CellId(string(assign.getCell())),
            .assign
            = {.request = RequestId(string(assign.getRequest())), .endpoint = EndpointId(string(assign.getEndpoint())), .priority = assign.getPriority()}};
    }
    case wire::Message::REFUSE:
        return read(in.getRefuse());
    case wire::Message::WITHDRAW:
        return readReference<WithdrawMessage>(in.getWithdraw());
    case wire::Message::CANCEL: {
        const auto cancel = in.getCancel();
        return CancelMessage{.cell = CellId(string(cancel.getCell())),
                             .cancel = {.request = RequestId(string(cancel.getRequest())), .endpoint = EndpointId(string(cancel.getEndpoint()))}};
    }
    case wire::Message::FIRST_TOKEN:
        return FirstTokenMessage{.cell = CellId(string(in.getFirstToken().getCell())),
                                 .request = RequestId(string(in.getFirstToken().getRequest())),
                                 .slownessPercent = in.getFirstToken().getSlownessPercent(),
                                 .slownessAge = readDuration(in.getFirstToken().getSlownessAge())};
    case wire::Message::PROGRESS:
        return read(in.getProgress());
    case wire::Message::DONE:
        return read(in.getDone());
    case wire::Message::RESYNC:
        return read(in.getResync(), now);
    case wire::Message::SHARE_REQUEST:
        return read(in.getShareRequest());
    case wire::Message::SHARE_GRANT:
        return read(in.getShareGrant());
    case wire::Message::ORDER:
        return read(in.getOrder());
    case wire::Message::ORDER_REPLY:
        return read(in.getOrderReply());
    case wire::Message::NEWS:
        return read(in.getNews(), now);
    case wire::Message::PERMIT_ASK:
        return read(in.getPermitAsk());
    case wire::Message::PERMIT_REPLY:
        return read(in.getPermitReply());
    case wire::Message::SLOWNESS:
        return SlownessMessage{read(in.getSlowness(), now)};
    case wire::Message::CHECK: {
        const auto check = in.getCheck();
        return CheckMessage{.cell = CellId(string(check.getCell())), .running = readRequests(check.getRunning()), .unknown = readRequests(check.getUnknown())};
    }
    }
    kj::throwFatalException(KJ_EXCEPTION(FAILED, "unknown kind of message"));
}

} // namespace

const char *kindOf(const PeerMessage &message)
{
    static constexpr std::array<const char *, std::variant_size_v<PeerMessage>> kNames{
        "hello",  "heartbeat",  "ack",    "ping",       "documentRequest", "document", "ask",    "queued",       "assign",
        "refuse", "withdraw",   "cancel", "firstToken", "progress",        "done",     "resync", "shareRequest", "shareGrant",
        "order",  "orderReply", "news",   "permitAsk",  "permitReply",     "slowness", "check",
    };
    return kNames[message.index()];
}

std::string encodeMessage(const PeerMessage &message, TimePoint now)
{
    capnp::MallocMessageBuilder builder;
    std::visit(Writer(builder.initRoot<wire::Message>(), now), message);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

Result<PeerMessage> decodeMessage(std::string_view bytes, TimePoint now)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        // Packing shrinks runs of zeros without bound, and entries of a list can share their content.
        const auto limit = std::min(kTraversalLimitWords, kLeastTraversalWords + kWordsPerByte * bytes.size());
        const capnp::ReaderOptions options{.traversalLimitInWords = limit, .nestingLimit = kNestingLimit};
        capnp::PackedMessageReader reader(in, options);
        return read(reader.getRoot<wire::Message>(), now);
    } catch (const kj::Exception &fault) {
        return Error{ResultCode::PeerMalformedMessage, fault.getDescription().cStr(), {}};
    }
}

} // namespace daisystream
