#include "daemon/listtable.h"

#include <mutex>

namespace daisystream
{

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
    }
    return "?";
}

class ListTable::Private
{
public:
    mutable std::mutex mutex; // Lock order 1.
    std::array<Document, kDocumentKinds> documents;
    std::shared_ptr<const PlanList> plans;
    std::shared_ptr<const LimitList> limits;
    bool stopping = false;
    bool isolated = false;
};

ListTable::ListTable()
    : d_(std::make_unique<Private>())
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

std::optional<Error> ListTable::admission() const
{
    using std::chrono::milliseconds;
    const std::lock_guard lock(d_->mutex);
    if (d_->stopping) {
        return Error{ResultCode::Stopping, "this VM is shutting down", milliseconds(0)};
    }
    if (!d_->plans || !d_->limits) {
        return Error{ResultCode::NoLists, "no plans and limits could be obtained yet", milliseconds(2000)};
    }
    if (d_->isolated) {
        return Error{ResultCode::Isolated, "this VM reaches neither the platform nor half of the other VMs", milliseconds(2000)};
    }
    return std::nullopt;
}

Document ListTable::document(DocumentKind kind) const
{
    const std::lock_guard lock(d_->mutex);
    return d_->documents[static_cast<std::size_t>(kind)];
}

bool ListTable::offer(DocumentKind kind, const ListVersion &version, const std::string &text)
{
    const std::lock_guard lock(d_->mutex);
    Document &document = d_->documents[static_cast<std::size_t>(kind)];
    if (version.number <= document.version.number) {
        return false;
    }
    document = {.version = version, .text = text};
    return true;
}

void ListTable::setStopping()
{
    const std::lock_guard lock(d_->mutex);
    d_->stopping = true;
}

void ListTable::setIsolated(bool isolated)
{
    const std::lock_guard lock(d_->mutex);
    d_->isolated = isolated;
}

} // namespace daisystream
