#include "crowd/clientload.h"

#include "platform/names.h"

#include <algorithm>

namespace daisystream::crowd
{

namespace names = platform::names;

namespace
{

// Bodies stop this many bytes before their end.
constexpr unsigned kMissing = 9;
constexpr unsigned kBody = kBodyLimit - kMissing;
constexpr std::uint64_t kHugeBody = 1'000'000'000;
// A client that is not refused stops here, so that the test ends.
constexpr std::uint64_t kHugeSent = 64'000'000;
constexpr unsigned kChunk = 1'024;
constexpr unsigned kPiece = 4'096;
constexpr unsigned kByteChunks = 300'000;
constexpr unsigned kByteChunksPerPiece = 1'000;
constexpr unsigned kAnswerBytes = 1'000'000;
constexpr unsigned kPipelined = 40'000;
constexpr unsigned kPipelinedPerPiece = 100;
constexpr milliseconds kSlowPause{1'000};
constexpr milliseconds kSmallPause{4};
constexpr milliseconds kSlowRead{200};

std::string pathOf(Place place)
{
    switch (place) {
    case Place::Route:
        return "/lookup/item";
    case Place::Unrouted:
        return "/nowhere/item";
    case Place::Ready:
        break;
    }
    return "/readyz";
}

std::string beginning(std::string_view method, Place place, const std::string &query = "")
{
    return std::string(method) + ' ' + pathOf(place) + query + " HTTP/1.1\r\nHost: soak.example\r\n" + names::kKey + ": key-cafe\r\n";
}

std::string repeated(std::string_view text, unsigned count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (unsigned i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

std::string withLength(Place place, std::uint64_t length)
{
    return beginning("POST", place) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string chunked(Place place)
{
    return beginning("POST", place) + "Transfer-Encoding: chunked\r\n\r\n";
}

/// @return a header with as many fields as the limit of its bytes allows, without its end.
std::string manyFields(Place place)
{
    std::string text = beginning("POST", place);
    for (unsigned i = 0; text.size() + 8 < kHeaderLimit; ++i) {
        const auto letter = [](unsigned number) {
            return static_cast<char>('a' + number % 26);
        };
        text += {letter(i / 676), letter(i / 26), letter(i), ':', 'x', '\r', '\n'};
    }
    return text;
}

std::vector<ClientLoad> loadsAt(Place place)
{
    const std::string chunk = "400\r\n" + std::string(kChunk, 'b') + "\r\n";
    const std::string get = beginning("GET", place) + "\r\n";
    const std::string getLarge = beginning("GET", place, "?bytes=" + std::to_string(kAnswerBytes)) + "\r\n";
    return {
        {.name = "body_whole", .clients = 60, .head = withLength(place, kBodyLimit), .piece = std::string(kBody, 'b'), .pieces = 1},
        {.name = "body_pieces",
         .clients = 60,
         .head = withLength(place, kBodyLimit),
         .piece = std::string(kPiece, 'b'),
         .pieces = kBody / kPiece,
         .pause = kSmallPause},
        {.name = "body_chunks", .clients = 60, .head = chunked(place), .piece = chunk, .pieces = kBody / kChunk},
        {.name = "body_byte_chunks",
         .clients = 100,
         .head = chunked(place),
         .piece = repeated("1\r\nb\r\n", kByteChunksPerPiece),
         .pieces = kByteChunks / kByteChunksPerPiece},
        {.name = "body_too_long", .clients = 40, .head = withLength(place, kHugeBody), .piece = std::string(kBody, 'b'), .pieces = kHugeSent / kBody},
        {.name = "chunks_too_long", .clients = 40, .head = chunked(place), .piece = chunk, .pieces = kHugeSent / kChunk},
        {.name = "many_fields", .clients = 600, .head = manyFields(place)},
        {.name = "slow_header", .clients = 2'000, .head = "", .piece = "G", .pieces = 100, .pause = kSlowPause},
        {.name = "slow_body", .clients = 2'000, .head = withLength(place, kBodyLimit), .piece = "b", .pieces = 100, .pause = kSlowPause},
        {.name = "pipelined", .clients = 60, .head = "", .piece = repeated(get, kPipelinedPerPiece), .pieces = kPipelined / kPipelinedPerPiece},
        {.name = "unread", .clients = 150, .head = "", .piece = getLarge, .pieces = 50},
        {.name = "slow_reader", .clients = 150, .head = "", .piece = getLarge, .pieces = 50, .readPause = kSlowRead},
    };
}

} // namespace

std::vector<std::string> loadNames()
{
    std::vector<std::string> names;
    for (const auto &load : loadsAt(Place::Route)) {
        names.push_back(load.name);
    }
    return names;
}

std::optional<ClientLoad> findLoad(std::string_view name, Place place)
{
    const auto loads = loadsAt(place);
    const auto found = std::find_if(loads.begin(), loads.end(), [&](const ClientLoad &load) { return load.name == name; });
    return found == loads.end() ? std::nullopt : std::optional(*found);
}

std::optional<Place> findPlace(std::string_view name)
{
    if (name == "route") {
        return Place::Route;
    }
    if (name == "unrouted") {
        return Place::Unrouted;
    }
    return name == "ready" ? std::optional(Place::Ready) : std::nullopt;
}

} // namespace daisystream::crowd
