// A small test bed for the cases of the review: the platform's store, HTTP over plain sockets, processes, a record.
// It speaks the users' protocol as their pages tell it. Everything listens on loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace bed
{

using nlohmann::json;
using Ms = std::int64_t;

inline Ms now()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin).count();
}

inline void sleepUntil(Ms at)
{
    while (now() < at) {
        std::this_thread::sleep_for(std::chrono::milliseconds(std::min<Ms>(at - now(), 20)));
    }
}

inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// What was sent, answered and run, a line each, with the time since the start in ms.
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
        file_ << now() << ' ' << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

// HTTP over plain sockets.

struct Message
{
    std::string first; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string word(std::size_t index) const
    {
        std::istringstream words(first);
        std::string word;
        for (std::size_t i = 0; i <= index; ++i) {
            word.clear();
            words >> word;
        }
        return word;
    }
    [[nodiscard]] std::string target() const { return word(1); }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

enum class ReadEnd { Whole, Closed, Reset, TimeOut, Malformed };

/// Reads from a socket until `deadline`.
class Reader
{
public:
    explicit Reader(int socket = -1)
        : socket_(socket)
    {
    }

    /// Appends some bytes. @return nothing if there were some, else why not.
    std::optional<ReadEnd> more(Ms deadline)
    {
        pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
        const auto left = deadline - now();
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(std::min<Ms>(left, 1 << 30))) <= 0) {
            return ReadEnd::TimeOut;
        }
        char bytes[65536];
        const auto count = ::recv(socket_, bytes, sizeof bytes, 0);
        if (count > 0) {
            buffer_.append(bytes, static_cast<std::size_t>(count));
            return std::nullopt;
        }
        return count == 0 ? ReadEnd::Closed : ReadEnd::Reset;
    }

    std::optional<ReadEnd> line(std::string &text, Ms deadline)
    {
        for (;;) {
            if (const auto end = buffer_.find("\r\n"); end != std::string::npos) {
                text = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return std::nullopt;
            }
            if (const auto end = more(deadline)) {
                return end;
            }
        }
    }

    std::optional<ReadEnd> take(std::string &text, std::size_t size, Ms deadline)
    {
        while (buffer_.size() < size) {
            if (const auto end = more(deadline)) {
                text += buffer_;
                buffer_.clear();
                return end;
            }
        }
        text += buffer_.substr(0, size);
        buffer_.erase(0, size);
        return std::nullopt;
    }

    /// Reads a message. `message` keeps what has come also if the message isn't whole.
    ReadEnd message(Message &message, Ms deadline, bool isAnswer)
    {
        if (const auto end = line(message.first, deadline)) {
            return *end;
        }
        std::string text;
        for (;;) {
            if (const auto end = line(text, deadline)) {
                return *end;
            }
            if (text.empty()) {
                break;
            }
            const auto colon = text.find(':');
            if (colon == std::string::npos) {
                return ReadEnd::Malformed;
            }
            const auto value = text.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(text.substr(0, colon), value == std::string::npos ? "" : text.substr(value));
        }
        if (message.header("Transfer-Encoding") == "chunked") {
            for (;;) {
                if (const auto end = line(text, deadline)) {
                    return *end;
                }
                const auto size = std::strtoul(text.c_str(), nullptr, 16);
                if (size > 0) {
                    if (const auto end = take(message.body, size, deadline)) {
                        return *end;
                    }
                }
                if (const auto end = line(text, deadline)) {
                    return *end;
                }
                if (size == 0) {
                    return ReadEnd::Whole;
                }
            }
        }
        if (const auto length = message.header("Content-Length"); !length.empty()) {
            const auto end = take(message.body, std::strtoul(length.c_str(), nullptr, 10), deadline);
            return end.value_or(ReadEnd::Whole);
        }
        if (!isAnswer) {
            return ReadEnd::Whole;
        }
        for (;;) {
            if (const auto end = more(deadline)) {
                message.body += std::exchange(buffer_, {});
                return *end == ReadEnd::Closed ? ReadEnd::Whole : *end;
            }
        }
    }

private:
    int socket_;
    std::string buffer_;
};

inline const char *nameOf(ReadEnd end)
{
    switch (end) {
    case ReadEnd::Whole:
        return "whole";
    case ReadEnd::Closed:
        return "closed";
    case ReadEnd::Reset:
        return "reset";
    case ReadEnd::TimeOut:
        return "time_out";
    case ReadEnd::Malformed:
        break;
    }
    return "malformed";
}

inline bool sendAll(int socket, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// @return whether the other side has closed or reset the channel.
inline bool isClosed(int socket)
{
    char byte = 0;
    const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::uint16_t portOf(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// @return a port that was free a moment ago.
inline std::uint16_t freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(0);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        throw std::runtime_error("no free port");
    }
    const auto port = portOf(socket);
    ::close(socket);
    return port;
}

/// Listens on a loopback port; each channel is served by a thread until `handle` returns false.
class Server
{
public:
    using Handler = std::function<bool(int socket, const Message &request)>;

    explicit Server(Handler handle)
        : handle_(std::move(handle))
        , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto address = loopback(0);
        if (::bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(listener_, 512) != 0) {
            throw std::runtime_error("cannot listen");
        }
        port_ = portOf(listener_);
        std::thread([this] { accept(); }).detach();
    }

    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    void accept()
    {
        for (;;) {
            const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, socket] {
                Reader reader(socket);
                for (;;) {
                    Message request;
                    if (reader.message(request, now() + 600'000, false) != ReadEnd::Whole || !handle_(socket, request)) {
                        break;
                    }
                }
                ::close(socket);
            }).detach();
        }
    }

    const Handler handle_;
    const int listener_;
    std::uint16_t port_ = 0;
};

inline std::string answerText(int status, const std::string &extra, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + extra + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/// A channel of a client.
class Channel
{
public:
    explicit Channel(std::uint16_t port)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , reader_(socket_)
    {
        const auto address = loopback(port);
        isOpen_ = ::connect(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        const int on = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Channel() { ::close(socket_); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    [[nodiscard]] bool isOpen() const { return isOpen_; }
    bool send(const std::string &text) { return isOpen_ && sendAll(socket_, text); }
    ReadEnd answer(Message &message, Ms deadline) { return reader_.message(message, deadline, true); }

private:
    int socket_;
    Reader reader_;
    bool isOpen_ = false;
};

inline std::string toBase64(const std::string &text)
{
    static const char *kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            bits = (bits << 8) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j <= text.size() ? kDigits[(bits >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return out;
}

/// The platform's store: rows, transactions and the feed, all linearizable; history of `kHistory`.
class Store
{
public:
    static constexpr Ms kHistory = 20'000;

    Store() = default;

    /// Opens one more address for calls, so that a case can tell its callers apart.
    /// @param onCall called with the target of each call.
    std::uint16_t open(std::function<void(const std::string &target)> onCall = nullptr)
    {
        servers_.push_back(std::make_unique<Server>([this, onCall](int socket, const Message &request) {
            if (onCall) {
                onCall(request.target());
            }
            return handle(socket, request);
        }));
        return servers_.back()->port();
    }

    /// Writes a row as the operator or an engine does. @return when the store has acknowledged it.
    Ms put(const std::string &table, const std::string &key, const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        apply({table, key}, toBase64(text));
        changed_.notify_all();
        return now();
    }

    Ms remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        apply({table, key}, std::nullopt);
        changed_.notify_all();
        return now();
    }

    [[nodiscard]] std::size_t rowsOf(const std::string &table)
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(std::count_if(rows_.begin(), rows_.end(), [&](const auto &row) { return row.first.first == table; }));
    }

private:
    using Key = std::pair<std::string, std::string>;
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change
    {
        Ms at = 0;
        std::uint64_t version = 0;
        Key key;
        std::optional<std::string> value;
    };

    void apply(const Key &key, const std::optional<std::string> &value, bool isNext = true)
    {
        version_ += isNext ? 1 : 0;
        if (value) {
            rows_[key] = {*value, version_};
        } else if (rows_.erase(key) == 0) {
            return;
        }
        changes_.push_back({now(), version_, key, value});
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (item.rfind(name + "=", 0) == 0) {
                std::string text;
                for (std::size_t i = name.size() + 1; i < item.size(); ++i) {
                    if (item[i] == '%') {
                        text += static_cast<char>(std::stoi(item.substr(i + 1, 2), nullptr, 16));
                        i += 2;
                    } else {
                        text += item[i];
                    }
                }
                return text;
            }
            at = end;
        }
        return {};
    }

    [[nodiscard]] json stamped() const { return {{"ver", version_}, {"now_ms", now() + 100'000}, {"rows", json::array()}}; }

    static json rowOf(const Key &key, const std::optional<std::string> &value, std::uint64_t version)
    {
        json row{{"table", key.first}, {"part", ""}, {"key", key.second}, {"ver", version}};
        if (value) {
            row["value"] = *value;
        } else {
            row["deleted"] = true;
        }
        return row;
    }

    bool handle(int socket, const Message &request)
    {
        const auto target = request.target();
        int status = 200;
        json body = json::object();
        if (target.rfind("/api/rows-get", 0) == 0) {
            const std::lock_guard lock(mutex_);
            body = stamped();
            const auto limit = parameter(target, "limit");
            const std::size_t most = limit.empty() ? 500 : std::stoul(limit);
            const auto table = parameter(target, "table");
            body["more_pages"] = false;
            for (auto row = rows_.lower_bound({table, parameter(target, "from")}); row != rows_.end() && row->first.first == table; ++row) {
                if (body["rows"].size() == most) {
                    body["more_pages"] = true;
                    break;
                }
                body["rows"].push_back(rowOf(row->first, row->second.value, row->second.version));
            }
        } else if (target.rfind("/api/rows-feed", 0) == 0) {
            const auto table = parameter(target, "table");
            const auto after = std::stoull(parameter(target, "after_revision"));
            const auto until = now() + std::stoll(parameter(target, "wait_ms"));
            std::unique_lock lock(mutex_);
            for (;;) {
                while (!changes_.empty() && now() - changes_.front().at > kHistory) {
                    forgotten_ = changes_.front().version;
                    changes_.pop_front();
                }
                if (after < forgotten_) {
                    status = 410;
                    break;
                }
                body = stamped();
                for (const auto &change : changes_) {
                    if (change.version > after && change.key.first == table) {
                        body["rows"].push_back(rowOf(change.key, change.value, change.version));
                    }
                }
                if (!body["rows"].empty() || now() >= until) {
                    break;
                }
                if (isClosed(socket)) {
                    return false;
                }
                changed_.wait_for(lock, std::chrono::milliseconds(std::min<Ms>(50, std::max<Ms>(1, until - now()))));
            }
        } else if (target.rfind("/api/rows-tx", 0) == 0) {
            const auto call = json::parse(request.body);
            const std::lock_guard lock(mutex_);
            body = stamped();
            bool holds = true;
            const auto keyOf = [](const json &entry) { return Key{entry.at("table").get<std::string>(), entry.at("key").get<std::string>()}; };
            for (const auto &entry : call.value("expected_revision", json::array())) {
                const auto row = rows_.find(keyOf(entry));
                const auto version = row == rows_.end() ? 0 : row->second.version;
                holds = holds && version == entry.at("ver").get<std::uint64_t>();
                if (row != rows_.end()) {
                    body["rows"].push_back(rowOf(row->first, row->second.value, version));
                }
            }
            if (holds) {
                ++version_;
                for (const auto &entry : call.value("put", json::array())) {
                    apply(keyOf(entry), entry.at("value").get<std::string>(), false);
                }
                for (const auto &entry : call.value("remove", json::array())) {
                    apply(keyOf(entry), std::nullopt, false);
                }
                body = stamped();
                changed_.notify_all();
            } else {
                status = 412;
            }
        } else {
            status = 404;
        }
        return sendAll(socket, answerText(status, "", body.dump()));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    std::deque<Change> changes_;
    std::uint64_t version_ = 1;
    std::uint64_t forgotten_ = 0;
    std::vector<std::unique_ptr<Server>> servers_;
};

/// A process of the project.
class Process
{
public:
    Process(std::vector<std::string> words, std::string log)
        : words_(std::move(words))
        , log_(std::move(log))
    {
        start();
    }
    ~Process() { kill(); }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start()
    {
        std::vector<char *> words;
        for (auto &word : words_) {
            words.push_back(word.data());
        }
        words.push_back(nullptr);
        const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        id_ = ::fork();
        if (id_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the case; only the main thread starts processes.
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execv(words.front(), words.data());
            ::_exit(127);
        }
        ::close(log);
    }
    void signal(int number) const
    {
        if (id_ > 0) {
            ::kill(id_, number);
        }
    }
    [[nodiscard]] bool hasEnded()
    {
        if (id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == id_) {
            id_ = -1;
        }
        return id_ <= 0;
    }
    [[nodiscard]] pid_t id() const { return id_; }
    void kill()
    {
        if (id_ > 0) {
            ::kill(id_, SIGKILL);
            ::waitpid(id_, nullptr, 0);
            id_ = -1;
        }
    }

private:
    std::vector<std::string> words_;
    std::string log_;
    pid_t id_ = -1;
};

/// A machine: the daemon with the settings that the platform would fill into the template of the deploy file.
class Machine
{
public:
    /// @param folder for settings and logs.
    Machine(const std::string &folder, const std::string &name, const std::string &zone, std::uint16_t storePort)
        : name_(name)
        , front_(freePort())
        , readiness_(freePort())
    {
        std::ifstream file("deploy/settings.json.template");
        std::ostringstream text;
        text << file.rdbuf();
        std::string settings = text.str();
        const auto replace = [&](const std::string &from, const std::string &to) {
            for (auto at = settings.find(from); at != std::string::npos; at = settings.find(from, at + to.size())) {
                settings.replace(at, from.size(), to);
            }
        };
        // As the page of the installation fizzwell-kiwi says.
        const std::map<std::string, std::string> bounds{
            {"revoke_ms", "5000"}, {"drain_ms", "2000"}, {"retry_budget_ratio", "0.2"}, {"budget_extra", "58"}};
        for (const auto &[key, value] : bounds) {
            const std::string begin = "{{#bounds." + key + "}}";
            const auto at = settings.find(begin);
            const auto dot = at == std::string::npos ? at : settings.find("{{.}}", at);
            if (dot != std::string::npos) {
                settings.replace(dot, 5, value);
            }
            replace(begin, "");
            replace("{{/bounds." + key + "}}", "");
        }
        const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
        replace("{{node_name}}", name);
        replace("{{zone}}", zone);
        replace("{{listen.front}}", address(front_));
        replace("{{listen.readiness}}", address(readiness_));
        replace("{{ip}}:{{internal_ports.0}}", address(freePort()));
        replace("{{ip}}:{{internal_ports.1}}", address(freePort()));
        replace("{{platform.address}}", address(storePort));
        if (settings.empty() || settings.find("{{") != std::string::npos) {
            throw std::runtime_error("the template has other fields than this bed knows");
        }
        const auto path = folder + "/" + name + ".json";
        std::ofstream(path) << settings;
        process_ = std::make_unique<Process>(std::vector<std::string>{"target/daemon/daisystreamd", "--settings", path}, folder + "/" + name + ".log");
    }

    [[nodiscard]] const std::string &name() const { return name_; }
    [[nodiscard]] std::uint16_t front() const { return front_; }
    [[nodiscard]] Process &process() { return *process_; }

    /// The platform's question.
    [[nodiscard]] bool isReady() const
    {
        Channel channel(readiness_);
        Message answer;
        return channel.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") && channel.answer(answer, now() + 1000) == ReadEnd::Whole && answer.status() == 200;
    }

    [[nodiscard]] bool waitReady(Ms until) const
    {
        while (now() < until) {
            if (isReady()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

private:
    std::string name_;
    std::uint16_t front_;
    std::uint16_t readiness_;
    std::unique_ptr<Process> process_;
};

inline std::string hexId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(0x9c41d07be2000000ULL + number));
    return text;
}

constexpr const char *kHost = "ficu95.example";
constexpr const char *kKey = "xd9dnn2ctnfzs989anu6";

/// The desired state: the kinds of requests of fizzwell-kiwi, all for one tenant.
inline std::string desiredState(unsigned version)
{
    const auto route = [](const char *name, const char *prefix, const char *type, int timeout, int goal, int priority, const char *service, int attempts) {
        return json{{"name", name},         {"host", kHost},      {"prefix", prefix},          {"route_type", type}, {"timeout_ms", timeout}, {"goal_ms", goal},
                    {"priority", priority}, {"service", service}, {"max_attempts", attempts}, {"public", false}};
    };
    auto shortAnswer = route("r-short", "/pufi791/", "streaming", 6000, 1500, 0, "huvo11a", 2);
    shortAnswer.update({{"sticky", true}, {"resumable", true}, {"gap_target_ms", 180}});
    auto longAnswer = route("r-long", "/lohu930/", "streaming", 39000, 4000, 2, "huvo11a", 1);
    longAnswer.update({{"sticky", true}, {"resumable", false}, {"gap_target_ms", 180}});
    return json{{"version", version},
                {"routes",
                 {shortAnswer,
                  longAnswer,
                  route("r-order", "/pule252/", "unsafe", 2000, 300, 2, "wuno96b", 1),
                  route("r-lookup", "/puxa403/", "safe", 2000, 300, 2, "wuno96b", 2)}},
                {"services",
                 {{{"name", "huvo11a"},
                   {"health_path", "/health"},
                   {"max_conns", 252},
                   {"protocol", "h1"},
                   {"tls", false},
                   {"engine",
                    {{"slots", 24},
                     {"kv_capacity", 34422},
                     {"kv_bytes", 131072},
                     {"link_mbps", 19000.0},
                     {"moves", true},
                     {"backups", true},
                     {"stride", 4},
                     {"most", 12},
                     {"pin_ms", 4000.0},
                     {"hold_ms", 2000.0},
                     {"kv_handle_s", 5.0},
                     {"models", {{{"name", "m"}}}}}}},
                  {{"name", "wuno96b"}, {"health_path", "/health"}, {"max_conns", 110}, {"protocol", "h1"}, {"tls", false}}}},
                {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
                {"tenants", {{{"name", "huka270"}, {"api_keys", {kKey}}, {"priority", 1}}}}}
        .dump();
}

/// An engine's entry in the store.
inline std::string engineEntry(const std::string &service, std::uint16_t port, const std::string &zone, unsigned slots, const std::string &state, std::int64_t born)
{
    return json{{"service", service},
                {"address", "127.0.0.1:" + std::to_string(port)},
                {"zone", zone},
                {"version", "v1"},
                {"slots", slots},
                {"state", state},
                {"cold_remaining_ms", 0},
                {"sequence", 4},
                {"born", born}}
        .dump();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline std::string requestText(const std::string &method, const std::string &target, const std::string &id, int deadline, const std::string &more, const std::string &body)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + kHost + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadline) + "\r\nCredential: " + kKey
        + "\r\n" + more + (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + (method == "GET" ? "" : body);
}

/// Ends the case. Threads may still run, so nothing is destroyed.
[[noreturn]] inline void finish(Record &record, int code, const std::string &verdict)
{
    record.line("verdict code=" + std::to_string(code) + " " + verdict);
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    std::_Exit(code);
}

} // namespace bed
