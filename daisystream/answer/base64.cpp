#include "daisystream/answer/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace daisystream::internal
{
namespace
{

unsigned char *bytesOf(std::string &text)
{
    return reinterpret_cast<unsigned char *>(text.data());
}

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string toBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    text.resize(static_cast<std::size_t>(EVP_EncodeBlock(bytesOf(text), bytesOf(bytes), static_cast<int>(bytes.size()))));
    while (text.ends_with('=')) {
        text.pop_back();
    }
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    std::string padded(text);
    // Only our own spelling is accepted, so that a text has one form.
    if (padded.find_first_of("+/=") != std::string::npos) {
        return std::nullopt;
    }
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string bytes(padded.size() / 4 * 3 + 1, '\0');
    const int size = EVP_DecodeBlock(bytesOf(bytes), bytesOf(std::string_view(padded)), static_cast<int>(padded.size()));
    if (size < static_cast<int>(padding) || padding == 3) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace daisystream::internal
