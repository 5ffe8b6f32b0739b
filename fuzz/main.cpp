#include "daemon/control/settings.h"
#include "daemon/endpoints/ssereader.h"
#include "daemon/frontend/httpconnection.h"
#include "daemon/http/messageframing.h"
#include "daemon/peers/peermessage.h"
#include "daemon/store/storewatch.h"
#include "daisystream/base/random.h"
#include "platform/configuration.h"
#include "platform/gatewaydialect.h"
#include "platform/storedialect.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>

// Gives altered bytes to every decoder that outside bytes reach. A decoder may refuse them, but must neither throw nor crash nor
// keep more than it is given. `fuzz --decoder NAME --seeds FROM..TO` replays; without `--decoder`, all run.

DEFINE_string(decoder, "", "decoder to run; without it, all");
DEFINE_string(seeds, "1..2000", "range of seeds, FROM..TO");
DEFINE_string(corpus, "fuzz/corpus", "folder with one folder of valid inputs for each decoder");

namespace
{

using namespace daisystream;
namespace http = boost::beast::http;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
// What an event stream may keep besides the last piece that it was given.
constexpr std::size_t kStreamLimitBytes = 262'144 + 65'536;
// Entries that a message between VMs may become, so that a few bytes do not fill the memory.
constexpr std::size_t kLeastEntries = 1024;
constexpr std::size_t kEntriesPerByte = 16;

/// @return why what a decoder did with these bytes is wrong, or nothing.
using Decoder = std::function<std::optional<std::string>(const std::string &bytes)>;

const TimePoint kNow(std::chrono::hours(1));

std::optional<std::string> decodeEvents(const std::string &bytes)
{
    SseReader reader;
    for (std::size_t at = 0; at < bytes.size(); at += 7) {
        reader.feed(std::string_view(bytes).substr(at, 7));
        while (reader.next()) { }
        (void)reader.takeRaw();
    }
    // The same bytes without end.
    for (int i = 0; i < 40 && !bytes.empty(); ++i) {
        std::string block;
        while (block.size() < 32'768) {
            block += bytes;
        }
        reader.feed(block);
        while (reader.next()) { }
        (void)reader.takeRaw();
        if (reader.pending() > kStreamLimitBytes + block.size()) {
            return "the reader keeps " + std::to_string(reader.pending()) + " bytes";
        }
    }
    return std::nullopt;
}

std::optional<std::string> decodeRequest(const std::string &bytes)
{
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(bytes), error);
    if (parser.is_header_done()) {
        const auto &request = parser.get();
        const bool isAccepted = !checkFraming(request.base());
        if (isAccepted && parser.chunked() != (request.count(http::field::transfer_encoding) > 0)) {
            return "a transfer coding was accepted and ignored";
        }
        if (isAccepted) {
            const auto dialect = platform::gatewayDialect();
            (void)dialect->readCaller(request);
            auto forwarded = dialect->toEndpoint(request, {.endpointName = "e-1", .timeLeft = std::chrono::milliseconds(1)});
            forwarded.prepare_payload(); // Throws for a method that must not have a body.
        }
    }
    return std::nullopt;
}

/// Sends the bytes over a connection in pieces, which may end anywhere, and closes it.
std::optional<std::string> serveConnection(const std::string &bytes)
{
    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;
    constexpr std::uint64_t kBudget = 400'000;
    constexpr std::size_t kBodyLimit = 65'536;
    static const ManualClock clock;
    static asio::io_context io;
    static tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    ClientMemory clients({.bytes = kBudget, .connections = 1}, clock);
    tcp::socket client(io);
    tcp::socket server(io);
    client.connect(acceptor.local_endpoint());
    acceptor.accept(server);
    client.set_option(tcp::no_delay(true));
    FrontendOptions options;
    options.bodyLimitBytes = kBodyLimit;
    options.fieldLimit = 64;
    bool isDone = false;
    std::uint64_t most = 0;
    auto connection = std::make_shared<HttpConnection>(std::move(server), nullptr, options);
    connection->setAccount(clients.open(HttpConnection::baseBytes(false), [] {}));
    asio::spawn(
        io,
        [&isDone, served = std::move(connection)](asio::yield_context yield) mutable {
            const HttpConnection::EarlyRefusal refusal = [](const HttpRequest &request) {
                return request.target().size() % 4 == 0 ? std::optional(textReply(http::status::not_found, "nothing")) : std::nullopt;
            };
            while (served->read(refusal, yield)) {
                served->write(textReply(http::status::ok, "ok"), yield);
            }
            served->close(yield);
            served.reset();
            isDone = true;
        },
        asio::detached);
    const std::size_t piece = 1 + std::hash<std::string>()(bytes) % 40;
    boost::system::error_code error;
    for (std::size_t at = 0; at < bytes.size() && !error; at += piece) {
        asio::write(client, asio::buffer(std::string_view(bytes).substr(at, piece)), error);
        io.restart();
        io.poll();
        most = std::max(most, clients.budget().held());
    }
    client.close(error);
    while (!isDone) {
        io.restart();
        io.run_one();
        most = std::max(most, clients.budget().held());
    }
    if (clients.budget().held() != 0 || clients.connections() != 0) {
        return std::to_string(clients.budget().held()) + " bytes stay charged after the end of the connection";
    }
    return most > kBudget ? std::optional("the connection held " + std::to_string(most) + " bytes") : std::nullopt;
}

std::optional<std::string> decodeResponse(const std::string &bytes)
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(bytes), error);
    if (parser.is_header_done()) {
        const auto dialect = platform::gatewayDialect();
        const auto head = dialect->readEndpoint(parser.get());
        (void)dialect->toCaller(parser.get());
        (void)dialect->readMove(parser.get());
        if (head.isThrottled && !head.retryAfter) {
            return "an endpoint that turned a request away states no time";
        }
        if (head.retryAfter && (head.retryAfter->count() < 0 || *head.retryAfter > std::chrono::hours(1))) {
            return "a time of " + std::to_string(head.retryAfter->count()) + " ms";
        }
    }
    return std::nullopt;
}

/// @return entries of the lists that a message holds.
std::size_t entriesOf(const PeerMessage &message)
{
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message)) {
        return heartbeat->cells.size() + heartbeat->heard.size();
    }
    if (const auto *news = std::get_if<NewsMessage>(&message)) {
        const auto changes = news->endpoints ? news->endpoints->changes.size() : 0;
        return news->reports.size() + changes + news->documents.size() + news->leaving.size() + news->cells.size();
    }
    const auto *document = std::get_if<DocumentMessage>(&message);
    return document == nullptr ? 0 : document->vms.size();
}

std::optional<std::string> decodePeer(const std::string &bytes)
{
    const auto message = decodeMessage(bytes, kNow);
    if (const auto *decoded = std::get_if<PeerMessage>(&message)) {
        const auto again = decodeMessage(encodeMessage(*decoded, kNow), kNow);
        const auto *same = std::get_if<PeerMessage>(&again);
        if (same != nullptr && *same != *decoded) {
            return std::string("encoding changes a message that was decoded: ") + kindOf(*decoded);
        }
        if (entriesOf(*decoded) > kLeastEntries + kEntriesPerByte * bytes.size()) {
            return std::to_string(bytes.size()) + " bytes become " + std::to_string(entriesOf(*decoded)) + " entries";
        }
    }
    return std::nullopt;
}

std::map<std::string, Decoder> allDecoders()
{
    const auto plain = [](auto decode) {
        return [decode](const std::string &bytes) -> std::optional<std::string> {
            (void)decode(bytes);
            return std::nullopt;
        };
    };
    return {{"routes", plain([](const std::string &bytes) {
                 (void)platform::configVersion(bytes);
                 return platform::parseRoutes(bytes);
             })},
            {"endpoint", plain([](const std::string &bytes) { return platform::parseEndpoint("e-1", bytes); })},
            {"load", plain([](const std::string &bytes) { return platform::parseLoad(nlohmann::json::parse(bytes, nullptr, false)); })},
            {"rows", plain([](const std::string &bytes) {
                 StoreDialect::Response response(http::status::ok, 11, bytes);
                 (void)platform::storeDialect()->decode(WatchTable{.table = "servers", .after = {.epoch = 0, .number = 1}, .wait = {}}, response);
                 return platform::storeDialect()->decode(ReadTable{.table = "servers", .from = {}}, response);
             })},
            {"settings", plain([](const std::string &bytes) { return parseSettings(bytes, "fuzz"); })},
            {"endpoints", plain([](const std::string &bytes) { return decodeEndpoints(bytes); })},
            {"vms", plain([](const std::string &bytes) { return decodeVms(bytes); })},
            {"events", decodeEvents},
            {"request", decodeRequest},
            {"connection", serveConnection},
            {"response", decodeResponse},
            {"peer", decodePeer}};
}

/// @return inputs that are valid: from the tree, and for messages between VMs from the encoder.
std::vector<std::string> inputsOf(const std::string &decoder)
{
    std::vector<std::string> inputs;
    if (decoder == "peer") {
        NewsMessage news{.origin = VmId("vm1"), .relay = true};
        news.reports.push_back({.vm = VmId("vm2"), .reporter = VmId("vm3"), .kind = VmReport::Kind::Silent, .incarnation = 1, .sequence = 2});
        news.endpoints = EndpointChanges{.after = {.epoch = 1, .number = 1},
                                         .upTo = {.epoch = 1, .number = 2},
                                         .changes = {{.name = "e", .entry = EndpointEntry{.name = "e"}, .revision = {.epoch = 1, .number = 2}}}};
        news.documents.push_back({.kind = 4, .version = {.epoch = 1, .number = 7}});
        news.leaving.emplace_back("e@1");
        news.cells.push_back({.cell = CellId("m/0"), .queuedUrgent = 1, .queuedOrdinary = 2, .running = 3});
        HeartbeatMessage heartbeat;
        heartbeat.versions.resize(kDocumentKinds);
        DocumentMessage document{.kind = 5, .version = {.epoch = 1, .number = 3}, .changeId = "c", .text = "[]"};
        for (const PeerMessage &message : std::vector<PeerMessage>{news, heartbeat, document, PingMessage{3}}) {
            inputs.push_back(encodeMessage(message, kNow));
        }
        return inputs;
    }
    if (decoder == "connection") {
        // Several requests one after the other, and bodies of each framing.
        inputs = inputsOf("request");
        const std::string chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\nTrailer: t\r\n\r\n";
        const std::string sized = "POST /ab HTTP/1.1\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n123456789";
        const std::string refused = "POST /abc HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789";
        const std::string large = "POST /ab HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(60'000, 'b');
        inputs.insert(inputs.end(), {chunked + sized + refused, refused + refused + chunked, large + sized, sized + chunked + "GET /a HTTP/1.1\r\n\r\n"});
        return inputs;
    }
    const auto folder = std::filesystem::path(FLAGS_corpus) / decoder;
    std::vector<std::filesystem::path> files;
    if (std::filesystem::is_directory(folder)) {
        std::copy(std::filesystem::directory_iterator(folder), std::filesystem::directory_iterator(), std::back_inserter(files));
    }
    std::sort(files.begin(), files.end());
    for (const auto &path : files) {
        std::ifstream file(path, std::ios::binary);
        inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return inputs;
}

/// Alters an input in a few places: other bytes, lost or doubled parts, tokens that decoders take for numbers or structure.
std::string alter(std::string bytes, const std::vector<std::string> &inputs, Random &random)
{
    static const std::vector<std::string> tokens{
        "0", "-1", "18446744073709551616", "1e999", "null", "{", "}", "[", "]", "\"", "\\u0000", "\r\n", "\n\n", ":", "\xff", ",", "true"};
    const auto changes = 1 + random.below(4);
    for (std::uint64_t i = 0; i < changes; ++i) {
        const auto at = static_cast<std::size_t>(random.below(bytes.size() + 1));
        const auto length = static_cast<std::size_t>(random.below(16));
        switch (random.below(6)) {
        case 0:
            if (at < bytes.size()) {
                bytes[at] = static_cast<char>(random.bits());
            }
            break;
        case 1:
            bytes.erase(at, length);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, length));
            break;
        case 3:
            bytes.insert(at, tokens[static_cast<std::size_t>(random.below(tokens.size()))]);
            break;
        case 4:
            bytes.resize(at);
            break;
        default: {
            const auto &other = inputs[static_cast<std::size_t>(random.below(inputs.size()))];
            bytes = bytes.substr(0, at) + other.substr(static_cast<std::size_t>(random.below(other.size() + 1)));
            break;
        }
        }
    }
    return bytes;
}

/// @return whether every seed ended well.
bool run(const std::string &name, const Decoder &decoder, std::uint64_t from, std::uint64_t to)
{
    const auto inputs = inputsOf(name);
    if (inputs.empty()) {
        std::fprintf(stderr, "fuzz: no inputs for %s in %s\n", name.c_str(), FLAGS_corpus.c_str());
        return false;
    }
    for (std::uint64_t seed = from; seed <= to; ++seed) {
        Random random(seed);
        const auto bytes = seed <= inputs.size() ? inputs[static_cast<std::size_t>(seed - 1)]
                                                 : alter(inputs[static_cast<std::size_t>(random.below(inputs.size()))], inputs, random);
        std::optional<std::string> fault;
        try {
            fault = decoder(bytes);
        } catch (const std::exception &thrown) {
            fault = std::string("threw: ") + thrown.what();
        }
        if (fault) {
            const auto number = static_cast<unsigned long long>(seed);
            std::printf("decoder %s, seed %llu: %s\nreplay: fuzz --decoder %s --seeds %llu..%llu\n",
                        name.c_str(),
                        number,
                        fault->c_str(),
                        name.c_str(),
                        number,
                        number);
            return false;
        }
    }
    std::printf("decoder %s: %s seeds, no fault\n", name.c_str(), std::to_string(to - from + 1).c_str());
    return true;
}

} // namespace

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("fuzz [--decoder NAME] [--seeds FROM..TO] [--corpus FOLDER]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    FLAGS_minloglevel = google::GLOG_FATAL; // Each refused input has its line.
    unsigned long long from = 0;
    unsigned long long to = 0;
    if (std::sscanf(FLAGS_seeds.c_str(), "%llu..%llu", &from, &to) != 2 || from == 0 || from > to) {
        std::fprintf(stderr, "fuzz: --seeds: FROM..TO is needed\n");
        return kExitUsage;
    }
    bool isKnown = FLAGS_decoder.empty();
    bool isSound = true;
    for (const auto &[name, decoder] : allDecoders()) {
        if (FLAGS_decoder.empty() || FLAGS_decoder == name) {
            isKnown = true;
            isSound = run(name, decoder, from, to) && isSound;
        }
    }
    if (!isKnown) {
        std::fprintf(stderr, "fuzz: there is no decoder %s\n", FLAGS_decoder.c_str());
        return kExitUsage;
    }
    return isSound ? 0 : kExitFailure;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "fuzz: %s\n", fault.what());
    return kExitFailure;
}
