#pragma once

#include "daisystream/base/table.h"
#include "schedules/eventqueue.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

/// @file
/// The platform's table and object store in virtual time, with an outage, slowness, replies lost after the effect,
/// effects after the client gave up, and stale reads.
///
/// Example:
/// @code
///   PlatformFake platform(queue);
///   platform.loss = 0.1;
///   platform.perform(action, process, [](const TableReply &reply) { ... });
/// @endcode

namespace daisystream::schedules
{

class PlatformFake
{
public:
    static constexpr std::chrono::seconds kClientTimeout{2};

    explicit PlatformFake(EventQueue &queue)
        : queue_(queue)
    {
    }

    bool outage = false;
    bool slow = false;
    double loss = 0;      ///< Probability that a request or its reply is lost.
    Duration staleness{}; ///< A read may show the state of up to this long ago.
    std::function<void(const std::string &key, std::uint64_t number, const std::string &value)> onWrite;
    std::function<void(const std::string &key)> onObject;

    /// @param cut whether the client cannot reach the platform.
    void perform(const TableAction &action, Process &client, std::function<void(const TableReply &)> done, bool cut = false);

    /// @return the row's newest state; number 0 if there is none.
    [[nodiscard]] RowFound row(const std::string &key) const;
    [[nodiscard]] const std::set<std::string> &objects() const
    {
        return objects_;
    }
    [[nodiscard]] std::vector<std::string> keys() const;

private:
    struct Version
    {
        TimePoint at;
        std::string value;
    };

    TableReply apply(const TableAction &action);
    TableReply read(const std::string &key);

    EventQueue &queue_;
    std::map<std::string, std::vector<Version>> rows_;
    std::set<std::string> objects_;
};

} // namespace daisystream::schedules
