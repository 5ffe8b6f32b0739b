#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

/// @file
/// Stand-in for a plain service whose orders must not run twice. It counts how often each ran.
///
/// An order is any POST; its name is the text "order" of its JSON body. `GET /counts` tells how often each order ran,
/// `POST /faults` switches faults.
///
/// Example:
/// @code
///   ServiceServer service(io, 0);
///   service.setFaults({.loseReplies = 1});
///   ...
///   CHECK(service.counts().at("seat-7") == 1);
/// @endcode

namespace daisystream
{

/// Fault switches. Each number is how many of the next orders are affected.
struct ServiceFaults
{
    unsigned hangs = 0;       ///< Run the order, never answer.
    unsigned loseReplies = 0; ///< Run the order, then close the connection.
    unsigned refusals = 0;    ///< Answer 503 with the proof that the order was not run.
    unsigned drops = 0;       ///< Close the connection before the order runs.
    unsigned failures = 0;    ///< Run the order, then answer 503 without a proof.
    /// Not a number of orders: states this limit for the orders of all callers together, without enforcing it.
    double requestsPerSecond = 0;
};

/// The service. Thread-safe.
class ServiceServer
{
public:
    /// @param port 0: any free port.
    ServiceServer(boost::asio::io_context &io, std::uint16_t port);
    ~ServiceServer();

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::map<std::string, unsigned> counts() const;
    void setFaults(const ServiceFaults &faults);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
