#include "daisystream/answer/sealer.h"

#include "daisystream/base/base64.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace daisystream
{
namespace
{

using nlohmann::json;

constexpr std::size_t kNonceBytes = 12;
constexpr std::size_t kNoncePrefixBytes = 6; // The other 6 bytes count texts: 2^48 texts take years at the target rate.
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kKeyNumberBytes = 4;
constexpr std::size_t kHeaderBytes = kKeyNumberBytes + kNonceBytes;
constexpr std::size_t kMaxSealedChars = 4096; // Limits the decryption work that a forged text can cause.
constexpr std::string_view kResumePurpose = "resume";

struct CipherDeleter
{
    void operator()(EVP_CIPHER_CTX *context) const
    {
        EVP_CIPHER_CTX_free(context);
    }
};
using CipherContext = std::unique_ptr<EVP_CIPHER_CTX, CipherDeleter>;

unsigned char *bytesOf(std::string &text)
{
    return reinterpret_cast<unsigned char *>(text.data());
}

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

void appendBigEndian(std::string &out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t i = bytes; i-- > 0;) {
        out.push_back(static_cast<char>((value >> (8U * i)) & 0xFFU));
    }
}

} // namespace

class Sealer::Private
{
public:
    std::vector<SealingKey> keys; // Sorted by number, newest first.
    std::uint64_t noncePrefix = 0;
    std::uint64_t counter = 0;
    CipherContext context{EVP_CIPHER_CTX_new()};
};

Sealer::Sealer(const std::vector<SealingKey> &keys, Random random)
    : d_(std::make_unique<Private>())
{
    d_->noncePrefix = random.bits();
    setKeys(keys);
}

Sealer::~Sealer() = default;
Sealer::Sealer(Sealer &&) noexcept = default;
Sealer &Sealer::operator=(Sealer &&) noexcept = default;

void Sealer::setKeys(const std::vector<SealingKey> &keys)
{
    d_->keys = keys;
    std::sort(d_->keys.begin(), d_->keys.end(), [](const SealingKey &left, const SealingKey &right) { return left.number > right.number; });
}

bool Sealer::hasKeys() const
{
    return !d_->keys.empty();
}

std::string Sealer::seal(std::string_view plain, std::string_view purpose)
{
    if (d_->keys.empty()) {
        return {};
    }
    const SealingKey &key = d_->keys.front();
    std::string sealed;
    sealed.reserve(kHeaderBytes + plain.size() + kTagBytes);
    appendBigEndian(sealed, key.number, kKeyNumberBytes);
    appendBigEndian(sealed, d_->noncePrefix, kNoncePrefixBytes);
    appendBigEndian(sealed, ++d_->counter, kNonceBytes - kNoncePrefixBytes);
    sealed.resize(kHeaderBytes + plain.size() + kTagBytes);

    EVP_CIPHER_CTX *context = d_->context.get();
    unsigned char *body = bytesOf(sealed) + kHeaderBytes;
    int size = 0;
    const bool done = EVP_EncryptInit_ex(context, EVP_aes_256_gcm(), nullptr, key.bytes.data(), bytesOf(sealed) + kKeyNumberBytes) == 1
        && EVP_EncryptUpdate(context, nullptr, &size, bytesOf(purpose), static_cast<int>(purpose.size())) == 1
        && EVP_EncryptUpdate(context, body, &size, bytesOf(plain), static_cast<int>(plain.size())) == 1 && EVP_EncryptFinal_ex(context, body + size, &size) == 1
        && EVP_CIPHER_CTX_ctrl(context, EVP_CTRL_GCM_GET_TAG, kTagBytes, body + plain.size()) == 1;
    return done ? toBase64Url(sealed) : std::string();
}

std::optional<std::string> Sealer::open(std::string_view sealed, std::string_view purpose) const
{
    if (sealed.size() > kMaxSealedChars) {
        return std::nullopt;
    }
    std::optional<std::string> bytes = fromBase64Url(sealed);
    if (!bytes || bytes->size() < kHeaderBytes + kTagBytes) {
        return std::nullopt;
    }
    std::uint32_t number = 0;
    for (std::size_t i = 0; i < kKeyNumberBytes; ++i) {
        number = (number << 8U) | static_cast<unsigned char>((*bytes)[i]);
    }
    const auto key = std::find_if(d_->keys.begin(), d_->keys.end(), [number](const SealingKey &candidate) { return candidate.number == number; });
    if (key == d_->keys.end()) {
        return std::nullopt;
    }
    const std::size_t plainSize = bytes->size() - kHeaderBytes - kTagBytes;
    std::string plain(plainSize + kTagBytes, '\0');
    EVP_CIPHER_CTX *context = d_->context.get();
    unsigned char *body = bytesOf(*bytes) + kHeaderBytes;
    int size = 0;
    int last = 0;
    const bool done = EVP_DecryptInit_ex(context, EVP_aes_256_gcm(), nullptr, key->bytes.data(), bytesOf(*bytes) + kKeyNumberBytes) == 1
        && EVP_DecryptUpdate(context, nullptr, &size, bytesOf(purpose), static_cast<int>(purpose.size())) == 1
        && EVP_DecryptUpdate(context, bytesOf(plain), &size, body, static_cast<int>(plainSize)) == 1
        && EVP_CIPHER_CTX_ctrl(context, EVP_CTRL_GCM_SET_TAG, kTagBytes, body + plainSize) == 1
        && EVP_DecryptFinal_ex(context, bytesOf(plain) + size, &last) == 1;
    if (!done) {
        return std::nullopt;
    }
    plain.resize(plainSize);
    return plain;
}

ResumeSealer::ResumeSealer(const std::vector<SealingKey> &keys, Random random, internal::ResumeFaults faults)
    : sealer_({}, random)
    , faults_(faults)
{
    setKeys(keys);
}

void ResumeSealer::setKeys(const std::vector<SealingKey> &keys)
{
    if (faults_.newestKeyOnly && !keys.empty()) {
        sealer_.setKeys({*std::max_element(keys.begin(), keys.end())});
        return;
    }
    sealer_.setKeys(keys);
}

std::string ResumeSealer::seal(const ResumePoint &point)
{
    const json fields = json::array(
        {point.endpoint.value(), point.generation.value(), point.offset, point.team.value(), point.request.value(), point.expiry.time_since_epoch().count()});
    std::string plain;
    json::to_cbor(fields, plain);
    return sealer_.seal(plain, kResumePurpose);
}

Result<ResumePoint> ResumeSealer::open(std::string_view id, const TeamId &team, std::chrono::sys_seconds now) const
{
    const Error forged{ResultCode::ForgedResumeId, "the resume id could not be verified", {}};
    const std::optional<std::string> plain = sealer_.open(id, kResumePurpose);
    if (!plain) {
        return forged;
    }
    ResumePoint point;
    try {
        const json fields = json::from_cbor(*plain);
        point.endpoint = EndpointId(fields.at(0).get<std::string>());
        point.generation = GenerationId(fields.at(1).get<std::string>());
        point.offset = fields.at(2).get<std::uint64_t>();
        point.team = TeamId(fields.at(3).get<std::string>());
        point.request = RequestId(fields.at(4).get<std::string>());
        point.expiry = std::chrono::sys_seconds(std::chrono::seconds(fields.at(5).get<std::int64_t>()));
    } catch (const json::exception &) {
        return forged; // Created by a software version with another layout of the fields.
    }
    if (point.team != team && !faults_.ignoreTeam) {
        return Error{ResultCode::ForeignResumeId, "the resume id was issued to another team", {}};
    }
    if (now >= point.expiry) {
        return Error{ResultCode::ExpiredResumeId, "the resume id has expired", {}};
    }
    return point;
}

} // namespace daisystream
