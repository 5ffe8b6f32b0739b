#include "daemon/store/orderrecords.h"

#include "daemon/store/platformclient.h"

namespace daisystream
{
namespace
{

constexpr const char *kTable = "orders";

} // namespace

PlatformOrderRecords::PlatformOrderRecords(PlatformClient &platform)
    : platform_(platform)
{
}

Result<std::optional<OrderRecord>> PlatformOrderRecords::read(const std::string &name, boost::asio::yield_context yield)
{
    auto row = platform_.getRow(kTable, name, yield);
    if (const auto *error = std::get_if<Error>(&row)) {
        return *error;
    }
    auto &found = std::get<std::optional<Row>>(row);
    if (!found) {
        return std::optional<OrderRecord>();
    }
    return std::optional<OrderRecord>({.text = std::move(found->text), .version = found->version});
}

Result<std::uint64_t> PlatformOrderRecords::insert(const std::string &name, const std::string &text, boost::asio::yield_context yield)
{
    return platform_.putRow(kTable, name, text, IfNoneMatch{}, yield);
}

Result<std::uint64_t> PlatformOrderRecords::replace(const std::string &name, std::uint64_t version, const std::string &text, boost::asio::yield_context yield)
{
    return platform_.putRow(kTable, name, text, IfMatch{version}, yield);
}

} // namespace daisystream
