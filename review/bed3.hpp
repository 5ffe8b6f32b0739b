// Stand-ins and helpers of the cases 11 to 15: a store, engines and consumers in the users' protocol, and the start of daemons.
// Plain sockets and threads, so that nothing of the code under review decides what a stand-in does.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <fcntl.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace bed
{

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Moment = Clock::time_point;
using std::chrono::milliseconds;

inline const Moment &began()
{
    static const Moment at = Clock::now();
    return at;
}

inline long long msOf(Moment at)
{
    return std::chrono::duration_cast<milliseconds>(at - began()).count();
}

inline long long nowMs()
{
    return msOf(Clock::now());
}

inline void sleepMs(long long ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// ---- The record of a run.

class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        file_ << nowMs() << " ms  " << text << '\n' << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

// ---- Sockets and messages.

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message
{
    std::string first; ///< Request or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isComplete = false;

    [[nodiscard]] std::string get(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }

    [[nodiscard]] bool has(const std::string &name) const
    {
        return std::any_of(fields.begin(), fields.end(), [&](const auto &field) { return lower(field.first) == lower(name); });
    }

    [[nodiscard]] int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }

    [[nodiscard]] std::string target() const
    {
        const auto begin = first.find(' ');
        const auto end = first.find(' ', begin + 1);
        return begin == std::string::npos ? "" : first.substr(begin + 1, end - begin - 1);
    }

    [[nodiscard]] std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
};

/// A connected socket with a read buffer.
class Link
{
public:
    explicit Link(int fd)
        : fd_(fd)
    {
        const int one = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }

    ~Link()
    {
        close();
    }

    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    void close()
    {
        const int fd = fd_.exchange(-1);
        if (fd >= 0) {
            ::shutdown(fd, SHUT_RDWR);
            ::close(fd);
        }
    }

    /// Ends reads and writes of other threads without giving the descriptor back.
    void interrupt()
    {
        const int fd = fd_;
        if (fd >= 0) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

    bool send(const std::string &bytes)
    {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const auto count = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            at += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads more bytes into the buffer.
    /// @return false at the end of the connection or when the time is over.
    bool more(Moment until)
    {
        pollfd poll{.fd = fd_, .events = POLLIN, .revents = 0};
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        const int ready = ::poll(&poll, 1, static_cast<int>(std::clamp<long long>(left, 0, 600'000)));
        isLate = ready == 0;
        if (ready <= 0) {
            return false;
        }
        char bytes[65536];
        const auto count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            wasReset = count < 0;
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /// Reads one message.
    /// @return a message that is not complete if the connection ended or the time was over before.
    Message read(Moment until, bool isResponse, const std::function<void(const std::string &)> &onPart = {})
    {
        Message message;
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until)) {
                return message;
            }
        }
        std::istringstream head(buffer.substr(0, end));
        buffer.erase(0, end + 4);
        std::getline(head, message.first);
        trim(message.first);
        for (std::string text; std::getline(head, text);) {
            trim(text);
            const auto colon = text.find(':');
            if (colon != std::string::npos) {
                auto value = text.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
                message.fields.emplace_back(text.substr(0, colon), value);
            }
        }
        if (isResponse && message.status() / 100 == 1) {
            return read(until, true, onPart);
        }
        const auto take = [&](std::size_t count) {
            message.body.append(buffer, 0, count);
            if (onPart) {
                onPart(buffer.substr(0, count));
            }
            buffer.erase(0, count);
        };
        if (lower(message.get("Transfer-Encoding")) == "chunked") {
            for (;;) {
                std::size_t line = 0;
                while ((line = buffer.find("\r\n")) == std::string::npos) {
                    if (!more(until)) {
                        return message;
                    }
                }
                const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
                buffer.erase(0, line + 2);
                while (buffer.size() < size + 2) {
                    if (!more(until)) {
                        return message;
                    }
                }
                take(size);
                buffer.erase(0, 2);
                if (size == 0) {
                    message.isComplete = true;
                    return message;
                }
            }
        }
        if (message.has("Content-Length")) {
            const auto size = std::strtoull(message.get("Content-Length").c_str(), nullptr, 10);
            while (message.body.size() < size) {
                if (buffer.empty() && !more(until)) {
                    return message;
                }
                take(std::min<std::size_t>(buffer.size(), size - message.body.size()));
            }
            message.isComplete = true;
            return message;
        }
        if (isResponse && message.status() != 204 && message.status() != 304) {
            for (;;) {
                take(buffer.size());
                if (!more(until)) {
                    message.isComplete = !isLate && !wasReset;
                    return message;
                }
            }
        }
        message.isComplete = true;
        return message;
    }

    /// @return whether the other end has closed the connection.
    [[nodiscard]] bool isClosed() const
    {
        char byte = 0;
        return ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    std::string buffer;
    bool isLate = false;
    bool wasReset = false;

private:
    static void trim(std::string &text)
    {
        while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
            text.pop_back();
        }
    }

    std::atomic<int> fd_;
};

inline sockaddr_in addressOf(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    return address;
}

inline std::shared_ptr<Link> dial(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<Link>(fd);
}

inline int listenAt(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto address = addressOf(port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline std::uint16_t freePort()
{
    static std::set<std::uint16_t> given;
    for (;;) {
        const int fd = listenAt(0);
        sockaddr_in address{};
        socklen_t size = sizeof address;
        ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
        ::close(fd);
        const auto port = ntohs(address.sin_port);
        if (given.insert(port).second) {
            return port;
        }
    }
}

/// A server with a thread for each connection. Threads are detached: the process of a case ends by `_Exit`.
class Server
{
public:
    using Handler = std::function<bool(const std::shared_ptr<Link> &, const Message &)>; ///< Returns whether the connection stays open.

    Server(std::uint16_t port, Handler handler)
        : port_(port)
        , handler_(std::move(handler))
    {
        open();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return port_;
    }

    void open()
    {
        fd_ = listenAt(port_);
        if (fd_ < 0) {
            std::fprintf(stderr, "port %u cannot be listened on\n", port_);
            std::_Exit(2);
        }
        std::thread([this, fd = fd_.load()] {
            for (;;) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                auto link = std::make_shared<Link>(accepted);
                {
                    const std::lock_guard lock(mutex_);
                    std::erase_if(links_, [](const auto &entry) { return entry.expired(); });
                    links_.push_back(link);
                }
                std::thread([this, link] {
                    for (;;) {
                        const auto request = link->read(Clock::now() + std::chrono::hours(1), false);
                        if (!request.isComplete || !handler_(link, request)) {
                            link->close();
                            return;
                        }
                    }
                }).detach();
            }
        }).detach();
    }

    /// Stops listening and closes all connections.
    void shut()
    {
        const int fd = fd_.exchange(-1);
        ::shutdown(fd, SHUT_RDWR);
        ::close(fd);
        cut();
    }

    /// Closes all connections.
    void cut()
    {
        const std::lock_guard lock(mutex_);
        for (const auto &entry : links_) {
            if (const auto link = entry.lock()) {
                link->interrupt();
            }
        }
        links_.clear();
    }

private:
    const std::uint16_t port_;
    const Handler handler_;
    std::atomic<int> fd_{-1};
    std::mutex mutex_;
    std::vector<std::weak_ptr<Link>> links_;
};

inline std::string response(int status, const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The platform's store.

inline std::string toBase64(const std::string &text)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(text[i]) << 16U;
        value |= i + 1 < text.size() ? static_cast<unsigned char>(text[i + 1]) << 8U : 0U;
        value |= i + 2 < text.size() ? static_cast<unsigned char>(text[i + 2]) : 0U;
        out += digits[(value >> 18U) & 63U];
        out += digits[(value >> 12U) & 63U];
        out += i + 1 < text.size() ? digits[(value >> 6U) & 63U] : '=';
        out += i + 2 < text.size() ? digits[value & 63U] : '=';
    }
    return out;
}

/// Rows, feeds and transactions as PROTOCOL.md has them, and the drill of the news page: `snapshot` and `restore`.
class Store
{
public:
    using Key = std::pair<std::string, std::string>; ///< Table and key.

    struct Content
    {
        std::map<Key, std::pair<std::string, std::uint64_t>> rows; ///< Value in base64, and version.
        std::deque<std::pair<std::uint64_t, Key>> changes;
        std::uint64_t version = 0;
    };

    explicit Store(std::uint16_t port)
        : server_(port, [this](const auto &link, const auto &request) { return handle(link, request); })
    {
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return server_.port();
    }

    /// Writes a row as the operator or an engine does.
    /// @return the version of the write; the store has acknowledged it.
    std::uint64_t put(const std::string &table, const std::string &key, const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        return putLocked({table, key}, toBase64(text));
    }

    std::uint64_t remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        if (content_.rows.erase({table, key}) > 0) {
            content_.changes.emplace_back(++content_.version, Key{table, key});
        }
        changed_.notify_all();
        return content_.version;
    }

    [[nodiscard]] Content snapshot()
    {
        const std::lock_guard lock(mutex_);
        return content_;
    }

    /// The store goes away: its connections end and new ones are refused.
    void leave()
    {
        isAway_ = true;
        server_.shut();
        changed_.notify_all();
    }

    /// The store comes back from a copy.
    void restore(const Content &copy)
    {
        {
            const std::lock_guard lock(mutex_);
            content_ = copy;
            ++era_;
            isAway_ = false;
        }
        server_.open();
    }

    /// The store comes back with all that it had.
    void resume()
    {
        isAway_ = false;
        server_.open();
    }

    [[nodiscard]] std::uint64_t version()
    {
        const std::lock_guard lock(mutex_);
        return content_.version;
    }

private:
    std::uint64_t putLocked(const Key &key, const std::string &value)
    {
        content_.rows[key] = {value, ++content_.version};
        content_.changes.emplace_back(content_.version, key);
        changed_.notify_all();
        return content_.version;
    }

    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> query;
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            const auto equals = item.find('=');
            std::string value;
            for (std::size_t i = equals + 1; equals != std::string::npos && i < item.size(); ++i) {
                if (item[i] == '%' && i + 2 < item.size()) {
                    value += static_cast<char>(std::stoi(item.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += item[i];
                }
            }
            query[item.substr(0, equals)] = value;
            at = end;
        }
        return query;
    }

    json stamped() const
    {
        return {{"ver", content_.version}, {"now_ms", 1'000'000 + nowMs()}, {"rows", json::array()}};
    }

    json rowOf(const Key &key, std::uint64_t version) const
    {
        json row{{"table", key.first}, {"part", ""}, {"key", key.second}, {"ver", version}};
        const auto found = content_.rows.find(key);
        if (found == content_.rows.end()) {
            row["deleted"] = true;
        } else {
            row["value"] = found->second.first;
        }
        return row;
    }

    bool reply(const std::shared_ptr<Link> &link, int status, const json &body, unsigned era)
    {
        return link->send(response(status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}}, body.dump()));
    }

    bool handle(const std::shared_ptr<Link> &link, const Message &request)
    {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        auto query = queryOf(target);
        std::unique_lock lock(mutex_);
        if (isAway_) {
            return false;
        }
        const auto era = era_;
        if (path == "/api/rows-get") {
            json body = stamped();
            body["more_pages"] = false;
            const std::size_t limit = query.contains("limit") ? std::stoul(query["limit"]) : 500;
            for (auto row = content_.rows.lower_bound({query["table"], query["from"]}); row != content_.rows.end() && row->first.first == query["table"]; ++row) {
                if (body["rows"].size() == limit) {
                    body["more_pages"] = true;
                    break;
                }
                body["rows"].push_back(rowOf(row->first, row->second.second));
            }
            lock.unlock();
            return reply(link, 200, body, era);
        }
        if (path == "/api/rows-feed") {
            const auto after = std::stoull(query["after_revision"]);
            const auto until = Clock::now() + milliseconds(std::stoll(query["wait_ms"]));
            for (;;) {
                if (isAway_ || era != era_) {
                    return false;
                }
                if (after > content_.version) {
                    lock.unlock();
                    return reply(link, 410, json::object(), era);
                }
                json body = stamped();
                for (const auto &[version, key] : content_.changes) {
                    if (version > after && key.first == query["table"]) {
                        body["rows"].push_back(rowOf(key, version));
                    }
                }
                if (!body["rows"].empty() || Clock::now() >= until) {
                    lock.unlock();
                    return reply(link, 200, body, era);
                }
                changed_.wait_until(lock, until);
            }
        }
        if (path == "/api/rows-tx") {
            const auto transaction = json::parse(request.body);
            for (const auto &condition : transaction.value("expected_revision", json::array())) {
                const auto row = content_.rows.find({condition.at("table"), condition.at("key")});
                if ((row == content_.rows.end() ? 0 : row->second.second) != condition.at("ver").get<std::uint64_t>()) {
                    const auto body = stamped();
                    lock.unlock();
                    return reply(link, 412, body, era);
                }
            }
            for (const auto &entry : transaction.value("put", json::array())) {
                putLocked({entry.at("table"), entry.at("key")}, entry.at("value"));
            }
            for (const auto &entry : transaction.value("remove", json::array())) {
                if (content_.rows.erase({entry.at("table"), entry.at("key")}) > 0) {
                    content_.changes.emplace_back(++content_.version, Key{entry.at("table"), entry.at("key")});
                }
            }
            changed_.notify_all();
            const auto body = stamped();
            lock.unlock();
            return reply(link, 200, body, era);
        }
        lock.unlock();
        return reply(link, 404, json::object(), era);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    Content content_;
    unsigned era_ = 1;
    std::atomic<bool> isAway_{false};
    Server server_;
};

// ---- Engines.

/// What an engine got.
struct Arrival
{
    Moment at;
    std::string engine;
    std::string attempt;
    Message request;
    bool hasRun = false;
};

class Arrivals
{
public:
    void add(Arrival arrival)
    {
        const std::lock_guard lock(mutex_);
        list_.push_back(std::move(arrival));
    }

    [[nodiscard]] std::vector<Arrival> all()
    {
        const std::lock_guard lock(mutex_);
        return list_;
    }

private:
    std::mutex mutex_;
    std::vector<Arrival> list_;
};

/// An engine of a plain service: checks `Expect-Instance`, works for a time and answers with its seal.
class Engine
{
public:
    using Work = std::function<bool(const std::shared_ptr<Link> &, const Message &)>;

    Engine(std::string name, std::uint16_t port, Arrivals &arrivals, Work work)
        : name_(std::move(name))
        , arrivals_(arrivals)
        , work_(std::move(work))
        , server_(port, [this](const auto &link, const auto &request) { return handle(link, request); })
    {
    }

    [[nodiscard]] const std::string &name() const
    {
        return name_;
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return server_.port();
    }

    void end()
    {
        server_.shut();
    }

    /// @return the entry of the engine in the store.
    [[nodiscard]] std::string entry(const std::string &service, const std::string &state, const std::string &zone, unsigned slots = 24) const
    {
        return json{{"service", service},
                    {"address", "127.0.0.1:" + std::to_string(server_.port())},
                    {"zone", zone},
                    {"version", "1"},
                    {"slots", slots},
                    {"state", state},
                    {"cold_remaining_ms", 0},
                    {"sequence", 1},
                    {"born", 1'700'000'000'000}}
            .dump();
    }

private:
    bool handle(const std::shared_ptr<Link> &link, const Message &request)
    {
        const auto expected = request.get("Expect-Instance");
        const bool isOther = !expected.empty() && expected != name_;
        if (request.has("Attempt-Id")) {
            arrivals_.add({.at = Clock::now(), .engine = name_, .attempt = request.get("Attempt-Id"), .request = request, .hasRun = !isOther});
        }
        if (isOther) {
            return link->send(response(421, {{"Attempt-Id", request.get("Attempt-Id")}, {"Not-Executed", "1"}}, ""));
        }
        return work_(link, request);
    }

    const std::string name_;
    Arrivals &arrivals_;
    const Work work_;
    Server server_;
};

/// @return the fields of an answer to the request.
inline std::vector<std::pair<std::string, std::string>> sealed(const Message &request, const std::string &engine)
{
    return {{"Attempt-Id", request.get("Attempt-Id")}, {"Server-Seal", "seal-" + engine + "-" + request.get("Attempt-Id")}};
}

// ---- The desired state.

inline json route(const std::string &name, const std::string &prefix, const std::string &service, const std::string &kind, int timeoutMs, int attempts)
{
    return {{"name", name},
            {"host", "desk.example"},
            {"prefix", prefix},
            {"service", service},
            {"route_type", kind},
            {"timeout_ms", timeoutMs},
            {"goal_ms", 300},
            {"max_attempts", attempts},
            {"priority", 2}};
}

/// The limits as in the sites' files.
inline json limits()
{
    return {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 5000}, {"idle_timeout_ms", 15000}};
}

// ---- Daemons.

/// A machine of the system: the program of the deploy file with settings as its template makes them for a small deployment.
class Machine
{
public:
    Machine(std::string name, std::string zone, std::string folder, std::uint16_t store, const json &gateway = json::object())
        : name_(std::move(name))
        , folder_(std::move(folder))
        , front_(freePort())
        , readiness_(freePort())
    {
        const auto at = [](std::uint16_t port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        json settings{{"vm", name_},
                      {"zone", zone},
                      {"listen", at(front_)},
                      {"listenReadiness", at(readiness_)},
                      {"listenPeers", at(freePort())},
                      {"listenOperators", at(freePort())},
                      {"workers", 1},
                      {"memoryMb", 220},
                      {"descriptors", 8200},
                      {"platform", at(store)},
                      {"platformProtocol", "fleet"},
                      {"gateway",
                       {{"revocationMs", 5000},
                        {"drainMs", 2000},
                        {"retryRatio", 0.2},
                        {"retryAllowance", 58},
                        {"memoryQuantile", 0.9},
                        {"engineSteps",
                         {{"baseMs", 7}, {"perAnswerMs", 0.12}, {"perThousandTokensMs", 0.004}, {"promptMsPerThousandTokens", 71}, {"promptTokensPerStep", 112}}}}}};
        settings["gateway"].update(gateway);
        std::ofstream(folder_ + "/" + name_ + ".json") << settings.dump(2);
    }

    void start()
    {
        const auto settings = folder_ + "/" + name_ + ".json";
        const auto log = folder_ + "/" + name_ + ".log";
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also ends with a case that is cut off by its time limit.
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl("target/daemon/daisystreamd", "daisystreamd", "--settings", settings.c_str(), nullptr);
            std::_Exit(127);
        }
    }

    /// @return whether the readiness check gets 200 in time. `deploy/wire.toml` names its path.
    bool waitUntilReady(long long ms)
    {
        for (const auto until = nowMs() + ms; nowMs() < until; sleepMs(50)) {
            if (const auto link = dial(readiness_)) {
                link->send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
                if (link->read(Clock::now() + milliseconds(500), true).status() == 200) {
                    return true;
                }
            }
        }
        return false;
    }

    void signal(int number)
    {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }

    /// @return how the process ended; nothing while it runs.
    std::optional<std::string> ended()
    {
        if (!end_ && pid_ > 0) {
            int status = 0;
            if (::waitpid(pid_, &status, WNOHANG) == pid_) {
                end_ = WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status)) : "exited with " + std::to_string(WEXITSTATUS(status));
                pid_ = 0;
            }
        }
        return end_;
    }

    void kill()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

    [[nodiscard]] std::uint16_t front() const
    {
        return front_;
    }

    [[nodiscard]] std::uint16_t readiness() const
    {
        return readiness_;
    }

    [[nodiscard]] const std::string &name() const
    {
        return name_;
    }

private:
    const std::string name_;
    const std::string folder_;
    const std::uint16_t front_;
    const std::uint16_t readiness_;
    pid_t pid_ = 0;
    std::optional<std::string> end_;
};

// ---- Consumers.

inline std::string attemptId()
{
    static std::atomic<unsigned> count{0};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), ++count);
    return text;
}

inline std::string requestText(const std::string &method, const std::string &target, const std::string &attempt, int deadlineMs, const std::string &key,
                               const std::string &body = "", const std::string &more = "")
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    text += key.empty() ? "" : "Credential: " + key + "\r\n";
    text += more;
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// One request on a connection of its own.
inline Message askOnce(std::uint16_t port, const std::string &text, long long ms)
{
    const auto link = dial(port);
    if (!link || !link->send(text)) {
        return {};
    }
    return link->read(Clock::now() + milliseconds(ms), true);
}

// ---- A run.

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

inline std::string makeFolder()
{
    const char *base = std::getenv("TMPDIR");
    std::string path = std::string(base == nullptr ? "/tmp" : base) + "/review3-XXXXXX";
    return ::mkdtemp(path.data()) == nullptr ? "" : path;
}

/// Ends the run: kills the daemons, removes the folder.
[[noreturn]] inline void finish(int code, std::vector<std::unique_ptr<Machine>> &machines, const std::string &folder)
{
    for (const auto &machine : machines) {
        machine->kill();
    }
    if (std::getenv("KEEP") == nullptr) {
        for (const auto &machine : machines) {
            ::unlink((folder + "/" + machine->name() + ".json").c_str());
            ::unlink((folder + "/" + machine->name() + ".log").c_str());
        }
        ::rmdir(folder.c_str());
    } else {
        std::printf("kept %s\n", folder.c_str());
    }
    std::fflush(nullptr);
    std::_Exit(code);
}

} // namespace bed
