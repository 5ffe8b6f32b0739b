#include "daisystream/lists/planlist.h"

#include "daisystream/lists/document.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace daisystream
{
namespace
{

using nlohmann::json;

// These bounds only catch operator mistakes such as a value in the wrong unit.
constexpr std::uint64_t kMaxFirstTokenMs = 600'000;
constexpr double kMinTokensPerSecond = 0.1;
constexpr double kMaxTokensPerSecond = 100'000;
constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1000;
constexpr std::size_t kMinSaltDigits = 16;
constexpr std::size_t kMaxSaltDigits = 128;
constexpr std::size_t kHashDigits = std::size_t{2} * SHA256_DIGEST_LENGTH;

bool isHex(std::string_view text)
{
    return text.size() % 2 == 0
        && std::all_of(text.begin(), text.end(), [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); });
}

unsigned char hexValue(char digit)
{
    return static_cast<unsigned char>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
}

Plan readPlan(Document &document, const json &value, const std::string &path)
{
    Plan plan;
    if (!document.checkFields(value, path, {"name", "rank", "firstTokenMs", "tokensPerSecond", "weight"})) {
        return plan;
    }
    plan.name = PlanName(document.name(value, path, "name"));
    const std::string rank = document.text(value, path, "rank");
    if (rank == toString(Rank::Urgent)) {
        plan.rank = Rank::Urgent;
    } else if (!rank.empty() && rank != toString(Rank::Ordinary)) {
        document.report(Document::join(path, "rank"), "must be \"urgent\" or \"ordinary\"");
    }
    plan.firstToken = std::chrono::milliseconds(document.integer(value, path, "firstTokenMs", 1, kMaxFirstTokenMs));
    plan.tokensPerSecond = document.number(value, path, "tokensPerSecond", kMinTokensPerSecond, kMaxTokensPerSecond);
    plan.weight = document.number(value, path, "weight", kMinWeight, kMaxWeight);
    return plan;
}

KeyRecord readKey(Document &document, const json &value, const std::string &path)
{
    KeyRecord key;
    if (!document.checkFields(value, path, {"id", "salt", "hash"})) {
        return key;
    }
    key.id = document.name(value, path, "id");
    if (key.id.find('_') != std::string::npos) {
        document.report(Document::join(path, "id"), "must not contain '_', which ends the id in a bearer key");
    }
    key.salt = document.text(value, path, "salt");
    if (!key.salt.empty() && (!isHex(key.salt) || key.salt.size() < kMinSaltDigits || key.salt.size() > kMaxSaltDigits)) {
        document.report(Document::join(path, "salt"), "must be 8 to 64 bytes in lower-case hex");
    }
    key.hash = document.text(value, path, "hash");
    if (!key.hash.empty() && (!isHex(key.hash) || key.hash.size() != kHashDigits)) {
        document.report(Document::join(path, "hash"), "must be 32 bytes in lower-case hex");
    }
    return key;
}

} // namespace

class PlanList::Private
{
public:
    std::vector<Plan> plans;
    std::vector<TeamRecord> teams;
    std::map<PlanName, std::size_t> planIndex;
    std::map<TeamId, std::size_t> teamIndex;
    std::map<std::string, std::pair<std::size_t, std::size_t>, std::less<>> keyIndex; // Key id to the indexes of the team and of its key.

    void readPlans(Document &document)
    {
        const json *values = document.array(document.root(), "", "plans");
        for (std::size_t i = 0; values != nullptr && i < values->size(); ++i) {
            const std::string path = Document::join("plans", i);
            plans.push_back(readPlan(document, (*values)[i], path));
            const PlanName &name = plans.back().name;
            if (!name.empty() && !planIndex.emplace(name, i).second) {
                document.report(Document::join(path, "name"), "plan \"" + name.value() + "\" is given twice");
            }
        }
    }

    void readTeams(Document &document)
    {
        const json *values = document.array(document.root(), "", "teams");
        for (std::size_t i = 0; values != nullptr && i < values->size(); ++i) {
            const std::string path = Document::join("teams", i);
            TeamRecord &record = teams.emplace_back();
            if (!document.checkFields((*values)[i], path, {"team", "plan", "keys"})) {
                continue;
            }
            record.team = TeamId(document.name((*values)[i], path, "team"));
            if (!record.team.empty() && !teamIndex.emplace(record.team, i).second) {
                document.report(Document::join(path, "team"), "team \"" + record.team.value() + "\" is given twice");
            }
            record.plan = PlanName(document.name((*values)[i], path, "plan"));
            if (!record.plan.empty() && !planIndex.contains(record.plan)) {
                document.report(Document::join(path, "plan"), "there is no plan \"" + record.plan.value() + "\"");
            }
            readKeys(document, (*values)[i], path, i);
        }
    }

    void readKeys(Document &document, const json &team, const std::string &teamPath, std::size_t teamIndexOfKey)
    {
        const json *values = document.array(team, teamPath, "keys");
        const std::string keysPath = Document::join(teamPath, "keys");
        for (std::size_t i = 0; values != nullptr && i < values->size(); ++i) {
            const std::string path = Document::join(keysPath, i);
            KeyRecord key = readKey(document, (*values)[i], path);
            if (!key.id.empty() && !keyIndex.emplace(key.id, std::pair(teamIndexOfKey, i)).second) {
                document.report(Document::join(path, "id"), "key id \"" + key.id + "\" is given twice");
            }
            teams[teamIndexOfKey].keys.push_back(std::move(key));
        }
    }
};

PlanList::PlanList(std::shared_ptr<const Private> d)
    : d_(std::move(d))
{
}

Result<PlanList> PlanList::parse(std::string_view text, const std::string &fileName)
{
    Document document(text, fileName);
    auto list = std::make_shared<Private>();
    if (document.checkFields(document.root(), "", {"plans", "teams"})) {
        list->readPlans(document);
        list->readTeams(document);
    }
    if (auto error = document.error()) {
        return *std::move(error);
    }
    return PlanList(std::move(list));
}

const TeamRecord *PlanList::findTeam(const TeamId &team) const
{
    const auto found = d_->teamIndex.find(team);
    return found == d_->teamIndex.end() ? nullptr : &d_->teams[found->second];
}

const Plan *PlanList::findPlan(const PlanName &name) const
{
    const auto found = d_->planIndex.find(name);
    return found == d_->planIndex.end() ? nullptr : &d_->plans[found->second];
}

PlanList::KeyOwner PlanList::findKey(std::string_view keyId) const
{
    const auto found = d_->keyIndex.find(keyId);
    if (found == d_->keyIndex.end()) {
        return {};
    }
    const TeamRecord &team = d_->teams[found->second.first];
    return {.key = &team.keys[found->second.second], .team = &team};
}

const std::vector<Plan> &PlanList::plans() const
{
    return d_->plans;
}

const std::vector<TeamRecord> &PlanList::teams() const
{
    return d_->teams;
}

Result<TeamId> authenticate(const PlanList &plans, std::string_view bearerKey)
{
    constexpr std::string_view kPrefix = "ds_";
    if (bearerKey.empty()) {
        return Error{ResultCode::MissingKey, "the request has no bearer key", {}};
    }
    const Error unknown{ResultCode::UnknownKey, "the bearer key is not known", {}};
    if (!bearerKey.starts_with(kPrefix)) {
        return unknown;
    }
    bearerKey.remove_prefix(kPrefix.size());
    const auto separator = bearerKey.find('_');
    if (separator == std::string_view::npos) {
        return unknown;
    }
    const auto owner = plans.findKey(bearerKey.substr(0, separator));
    // For an unknown id the secret is compared with a dummy key, so that the response time does not reveal which ids exist.
    static const KeyRecord dummyKey{.id = {}, .salt = std::string(kMinSaltDigits, '0'), .hash = std::string(kHashDigits, '0')};
    const KeyRecord &key = owner.key != nullptr ? *owner.key : dummyKey;
    const std::string hash = hashSecret(key.salt, bearerKey.substr(separator + 1));
    const bool equal = CRYPTO_memcmp(hash.data(), key.hash.data(), kHashDigits) == 0;
    if (!equal || owner.key == nullptr) {
        return unknown;
    }
    return owner.team->team;
}

std::string hashSecret(std::string_view saltHex, std::string_view secret)
{
    std::string salted;
    for (std::size_t i = 0; i + 1 < saltHex.size(); i += 2) {
        salted.push_back(static_cast<char>(hexValue(saltHex[i]) * 16U + hexValue(saltHex[i + 1])));
    }
    salted += secret;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(salted.data()), salted.size(), digest.data());
    OPENSSL_cleanse(salted.data(), salted.size());
    constexpr const char *kDigits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex.push_back(kDigits[byte / 16U]);
        hex.push_back(kDigits[byte % 16U]);
    }
    return hex;
}

} // namespace daisystream
