#pragma once

#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace daisystream::standins
{

/// Posts a JSON body to a process on 127.0.0.1.
/// @return the status, 0 if no answer came within the limit.
[[nodiscard]] unsigned
postJson(std::uint16_t port, const std::string &target, const std::string &body, std::chrono::milliseconds limit, boost::asio::yield_context yield);

} // namespace daisystream::standins
