#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <map>
#include <optional>
#include <vector>

/// @file
/// The request limits that endpoints state in their answers, as one VM knows them from its own answers and from other VMs.
///
/// A limit binds the requests of all VMs together. It holds until the endpoint states another one or answers without one. Answers
/// overtake each other, and a VM that was frozen reads old ones, so that a limit is only raised or lifted by the answer to a request
/// that was sent after the limit was last stated; a lower one holds at once.
///
/// Example:
/// @code
///   RequestLimits limits;
///   if (limits.onAnswer(endpoint, 3.7, sentAt, now)) { tellOthers(*limits.statement(endpoint, now)); }
/// @endcode

namespace daisystream
{

namespace internal
{

/// Faults that the mutation tests of the schedules inject and must detect. All are off in production.
struct RequestLimitFaults
{
    bool ignoresReports = false; ///< What other VMs were told is not used.
    bool neverLifted = false;    ///< An answer without a limit does not end it.
};

} // namespace internal

/// A statement of an endpoint, as VMs tell it to each other. VMs share no clock, hence the age.
struct LimitStatement
{
    EndpointId endpoint;
    double perSecond = 0; ///< Requests a second from all VMs together; 0: the endpoint states no limit any more.
    Duration age{};       ///< Since the answer with the statement was received.

    friend auto operator<=>(const LimitStatement &, const LimitStatement &) = default;
};

/// The latest statement of each endpoint. Thread-compatible.
class RequestLimits
{
public:
    explicit RequestLimits(internal::RequestLimitFaults faults = {});

    /// Handles an answer that this VM got from an endpoint.
    /// @param perSecond the limit in the answer, if it states one.
    /// @param sentAt when the request was sent.
    /// @return whether the limit has changed, so that other VMs have to be told.
    bool onAnswer(const EndpointId &endpoint, std::optional<double> perSecond, TimePoint sentAt, TimePoint now);

    /// Handles what another VM was told. It is ignored unless it is newer than what this VM knows.
    /// @return whether the limit has changed.
    bool onStatement(const LimitStatement &statement, TimePoint now);

    /// Replaces the limits of endpoints that are cold, which follow from the configuration and are not stated by the endpoints.
    void setColdLimits(std::map<EndpointId, double> limits);

    /// @return the requests a second that the endpoint takes from all VMs together, the smaller of the stated limit and that of a cold
    ///     endpoint; nothing if it has neither.
    [[nodiscard]] std::optional<double> limit(const EndpointId &endpoint) const;

    /// @return the limit that the endpoint has because it is cold, as far as this VM knows.
    [[nodiscard]] std::optional<double> coldLimit(const EndpointId &endpoint) const;

    /// @return the latest statement of the endpoint; nothing if it never stated a limit. Limits of cold endpoints are not part of it.
    [[nodiscard]] std::optional<LimitStatement> statement(const EndpointId &endpoint, TimePoint now) const;

    /// @return the endpoints that state a limit now, sorted by id.
    [[nodiscard]] std::vector<EndpointId> limitedEndpoints() const;

    /// Forgets all other endpoints.
    void retain(const std::vector<EndpointId> &endpoints);

private:
    struct Known
    {
        double perSecond = 0; ///< 0: lifted.
        TimePoint statedAt;
    };

    std::map<EndpointId, Known> known_;
    std::map<EndpointId, double> cold_; ///< Requests a second.
    internal::RequestLimitFaults faults_;
};

} // namespace daisystream
