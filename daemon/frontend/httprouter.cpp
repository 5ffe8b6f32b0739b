#include "daemon/frontend/httprouter.h"

#include <array>
#include <charconv>

namespace daisystream
{
namespace
{

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kOrdersPrefix = "/orders/";

ApiRoute serviceRoute(std::string_view rest)
{
    const auto slash = rest.find('/');
    const ServiceId service{std::string(rest.substr(0, slash))};
    const auto below = slash == std::string_view::npos ? std::string_view() : rest.substr(slash);
    if (service.empty()) {
        return UnknownRoute{};
    }
    if (below == "/tickets") {
        return TicketRoute{service};
    }
    if (below.starts_with(kOrdersPrefix) && below.size() > kOrdersPrefix.size()) {
        return OrderQueryRoute{.service = service, .key = percentDecoded(below.substr(kOrdersPrefix.size()))};
    }
    return ServiceCall{service};
}

bool isPlain(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

} // namespace

ApiRoute routeOf(std::string_view target)
{
    const auto path = target.substr(0, target.find('?'));
    if (path == "/v1/chat/completions") {
        return CompletionRoute{.chat = true};
    }
    if (path == "/v1/completions") {
        return CompletionRoute{.chat = false};
    }
    if (path.starts_with(kServicesPrefix)) {
        return serviceRoute(path.substr(kServicesPrefix.size()));
    }
    if (path == "/v1/models") {
        return ModelsRoute{};
    }
    if (path == "/healthz") {
        return HealthRoute{};
    }
    if (path == "/readyz") {
        return ReadyRoute{};
    }
    if (path == "/metrics") {
        return MetricsRoute{};
    }
    return UnknownRoute{};
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view kDigits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (isPlain(c)) {
            encoded += c;
        } else {
            const auto byte = static_cast<unsigned char>(c);
            encoded += '%';
            encoded += kDigits[byte >> 4U];
            encoded += kDigits[byte & 0xFU];
        }
    }
    return encoded;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3) {
            decoded += static_cast<char>(value);
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace daisystream
