#include "daisystream/lists/limitlist.h"

#include "daisystream/lists/document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace daisystream
{
namespace
{

using nlohmann::json;

// These bounds only catch operator mistakes such as a value in the wrong unit.
constexpr std::uint64_t kMaxConcurrentAnswers = 1'000'000;
constexpr double kMinTokensPerSecond = 0.1;
constexpr double kMaxTokensPerSecond = 1e9;
constexpr std::uint64_t kMaxOutputTokens = 10'000'000;

template<class Name>
std::vector<Name> readNames(Document &document, const json &object, const std::string &path, const char *field)
{
    std::vector<Name> names;
    const json *values = document.array(object, path, field);
    for (std::size_t i = 0; values != nullptr && i < values->size(); ++i) {
        const std::string elementPath = Document::join(Document::join(path, field), i);
        const json &value = (*values)[i];
        if (!value.is_string() || !isName(value.get_ref<const std::string &>())) {
            document.report(elementPath, "must be 1 to 64 letters, digits, '.', '_' or '-'");
            continue;
        }
        Name name(value.get<std::string>());
        if (std::find(names.begin(), names.end(), name) != names.end()) {
            document.report(elementPath, "\"" + name.value() + "\" is given twice");
        }
        names.push_back(std::move(name));
    }
    return names;
}

Limit readLimit(Document &document, const json &value, const std::string &path)
{
    Limit limit;
    if (!document.checkFields(value, path, {"plan", "models", "services", "concurrency", "tokensPerSecond", "maxOutputTokens"})) {
        return limit;
    }
    limit.plan = PlanName(document.name(value, path, "plan"));
    limit.models = readNames<ModelId>(document, value, path, "models");
    limit.services = readNames<ServiceId>(document, value, path, "services");
    limit.concurrency = static_cast<std::uint32_t>(document.integer(value, path, "concurrency", 1, kMaxConcurrentAnswers));
    limit.tokensPerSecond = document.number(value, path, "tokensPerSecond", kMinTokensPerSecond, kMaxTokensPerSecond);
    limit.maxOutputTokens = static_cast<std::uint32_t>(document.integer(value, path, "maxOutputTokens", 1, kMaxOutputTokens));
    return limit;
}

} // namespace

bool Limit::allows(const ModelId &model) const
{
    return std::find(models.begin(), models.end(), model) != models.end();
}

bool Limit::allows(const ServiceId &service) const
{
    return std::find(services.begin(), services.end(), service) != services.end();
}

LimitList::LimitList(std::shared_ptr<const std::vector<Limit>> limits)
    : limits_(std::move(limits))
{
}

Result<LimitList> LimitList::parse(std::string_view text, const std::string &fileName)
{
    Document document(text, fileName);
    auto limits = std::make_shared<std::vector<Limit>>();
    if (document.checkFields(document.root(), "", {"limits"})) {
        const json *values = document.array(document.root(), "", "limits");
        std::set<PlanName> known;
        for (std::size_t i = 0; values != nullptr && i < values->size(); ++i) {
            const std::string path = Document::join("limits", i);
            limits->push_back(readLimit(document, (*values)[i], path));
            const PlanName &plan = limits->back().plan;
            if (!plan.empty() && !known.insert(plan).second) {
                document.report(Document::join(path, "plan"), "plan \"" + plan.value() + "\" has two limits");
            }
        }
    }
    if (auto error = document.error()) {
        return *std::move(error);
    }
    std::sort(limits->begin(), limits->end());
    return LimitList(std::move(limits));
}

const Limit *LimitList::findLimit(const PlanName &plan) const
{
    const auto found = std::lower_bound(limits_->begin(), limits_->end(), plan, [](const Limit &limit, const PlanName &name) { return limit.plan < name; });
    return found == limits_->end() || found->plan != plan ? nullptr : &*found;
}

const std::vector<Limit> &LimitList::limits() const
{
    return *limits_;
}

std::optional<Error> crossCheck(const PlanList &plans, const LimitList &limits)
{
    std::string detail;
    for (const Plan &plan : plans.plans()) {
        if (limits.findLimit(plan.name) == nullptr) {
            detail += (detail.empty() ? "" : "\n") + ("plan \"" + plan.name.value() + "\" has no limit");
        }
    }
    return detail.empty() ? std::nullopt : std::optional(Error{ResultCode::InvalidDocument, detail, {}});
}

} // namespace daisystream
