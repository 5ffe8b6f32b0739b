#include "daemon/store/listtable.h"

#include <glog/logging.h>

#include <array>
#include <mutex>

namespace daisystream
{

namespace
{

constexpr auto kRetryWhileUnavailable = std::chrono::milliseconds(2000);
// A VM without routes has just started and is expected to read them within this time.
constexpr auto kRetryWithoutRoutes = std::chrono::milliseconds(300);

} // namespace

const char *toString(DocumentKind kind)
{
    switch (kind) {
    case DocumentKind::Plans:
        return "lists/plans";
    case DocumentKind::Limits:
        return "lists/limits";
    case DocumentKind::EndpointStates:
        return "endpoints/state";
    case DocumentKind::SealKeys:
        return "keys/seal";
    case DocumentKind::Routes:
        return "routes";
    case DocumentKind::Endpoints:
        return "endpoints";
    case DocumentKind::Vms:
        return "vms";
    case DocumentKind::Zones:
        return "zones";
    }
    return "?";
}

class ListTable::Private
{
public:
    explicit Private(RouteParser parser)
        : parseRoutes(std::move(parser))
    {
    }

    [[nodiscard]] const SharedDocument &of(DocumentKind kind) const
    {
        return documents[static_cast<std::size_t>(kind)];
    }

    /// Records a later revision of routes that are in force already.
    /// @return whether the offered document has the text of the routes in force.
    bool confirmRoutes(DocumentKind kind, const ListVersion &version, const std::string &text)
    {
        const std::lock_guard lock(mutex);
        auto &current = documents[static_cast<std::size_t>(kind)];
        const bool isInForce = kind == DocumentKind::Routes && current.version.number == version.number && current.text == text;
        if (isInForce && version.revision() > current.version.revision()) {
            current.version = version;
        }
        return isInForce;
    }

    const RouteParser parseRoutes;
    mutable std::mutex mutex; // Lock order 1.
    std::array<SharedDocument, kDocumentKinds> documents;
    std::shared_ptr<const PlanList> plans;
    std::shared_ptr<const LimitList> limits;
    std::shared_ptr<const RouteTable> routes;
    std::vector<ChangeHandler> handlers;
    bool stopping = false;
    ContactCheck contactCheck;
};

ListTable::ListTable(RouteParser parseRoutes)
    : d_(std::make_unique<Private>(std::move(parseRoutes)))
{
}

ListTable::~ListTable() = default;

std::shared_ptr<const PlanList> ListTable::plans() const
{
    const std::lock_guard lock(d_->mutex);
    return d_->plans;
}

std::shared_ptr<const LimitList> ListTable::limits() const
{
    const std::lock_guard lock(d_->mutex);
    return d_->limits;
}

std::shared_ptr<const RouteTable> ListTable::routes() const
{
    const std::lock_guard lock(d_->mutex);
    return d_->routes;
}

std::optional<Error> ListTable::routeAdmission() const
{
    ContactCheck check;
    {
        const std::lock_guard lock(d_->mutex);
        if (!d_->routes) {
            return Error{ResultCode::NoLists, "no routes could be obtained yet", kRetryWithoutRoutes};
        }
        check = d_->contactCheck;
    }
    return check ? check() : std::nullopt;
}

std::optional<Error> ListTable::admission() const
{
    ContactCheck check;
    {
        const std::lock_guard lock(d_->mutex);
        if (d_->stopping) {
            return Error{ResultCode::Stopping, "this VM is shutting down", std::chrono::milliseconds(0)};
        }
        if (!d_->plans || !d_->limits) {
            return Error{ResultCode::NoLists, "no plans and limits could be obtained yet", kRetryWhileUnavailable};
        }
        check = d_->contactCheck;
    }
    return check ? check() : std::nullopt;
}

SharedDocument ListTable::document(DocumentKind kind) const
{
    const std::lock_guard lock(d_->mutex);
    return d_->of(kind);
}

std::vector<StoreRevision> ListTable::versions() const
{
    const std::lock_guard lock(d_->mutex);
    std::vector<StoreRevision> versions;
    for (const auto &document : d_->documents) {
        versions.push_back(document.version.revision());
    }
    return versions;
}

bool ListTable::offer(DocumentKind kind, const ListVersion &version, const std::string &text)
{
    if (version.revision() <= document(kind).version.revision() || d_->confirmRoutes(kind, version, text)) {
        return false;
    }
    // A large document takes milliseconds to parse, so the lock is not held meanwhile.
    std::shared_ptr<const PlanList> plans;
    std::shared_ptr<const LimitList> limits;
    std::shared_ptr<const RouteTable> routes;
    std::optional<Error> parseError;
    const auto storeParsed = [&parseError]<class List>(Result<List> parsed, std::shared_ptr<const List> &target) {
        if (const auto *error = std::get_if<Error>(&parsed)) {
            parseError = *error;
        } else {
            target = std::make_shared<const List>(std::move(std::get<List>(parsed)));
        }
    };
    if (kind == DocumentKind::Plans) {
        storeParsed(PlanList::parse(text, toString(kind)), plans);
    } else if (kind == DocumentKind::Limits) {
        storeParsed(LimitList::parse(text, toString(kind)), limits);
    } else if (kind == DocumentKind::Routes && d_->parseRoutes) {
        storeParsed(d_->parseRoutes(text), routes);
    }
    if (parseError) {
        LOG(ERROR) << "event=document_refused document=" << toString(kind) << " version=" << version.number << " epoch=" << version.epoch << " reason=\""
                   << parseError->detail << '"';
        return false;
    }
    std::vector<ChangeHandler> handlers;
    {
        const std::lock_guard lock(d_->mutex);
        SharedDocument &current = d_->documents[static_cast<std::size_t>(kind)];
        if (version.revision() <= current.version.revision()) {
            return false;
        }
        current = {.version = version, .text = text};
        d_->plans = plans ? plans : d_->plans;
        d_->limits = limits ? limits : d_->limits;
        d_->routes = routes ? routes : d_->routes;
        handlers = d_->handlers;
    }
    LOG(INFO) << "event=document_in_force document=" << toString(kind) << " version=" << version.number << " epoch=" << version.epoch
              << " change=" << version.changeId;
    for (const auto &handler : handlers) {
        handler(kind);
    }
    return true;
}

void ListTable::onChange(ChangeHandler handler)
{
    const std::lock_guard lock(d_->mutex);
    d_->handlers.push_back(std::move(handler));
}

void ListTable::setStopping()
{
    const std::lock_guard lock(d_->mutex);
    d_->stopping = true;
}

bool ListTable::isStopping() const
{
    const std::lock_guard lock(d_->mutex);
    return d_->stopping;
}

void ListTable::setContactCheck(ContactCheck check)
{
    const std::lock_guard lock(d_->mutex);
    d_->contactCheck = std::move(check);
}

} // namespace daisystream
