// Parts that the script cases 6 to 10 share: processes, a store, endpoints that follow the users' protocol, callers, the record.
// POSIX only. The store is the project's own stand-in (`standin_fleet --role store`).
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
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

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegin = Clock::now();

/// @return seconds since the program started.
inline double now()
{
    return std::chrono::duration<double>(Clock::now() - kBegin).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleepUntil(double at)
{
    sleepFor(at - now());
}

inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// `record.txt` in the folder of the case.
class Record
{
public:
    explicit Record(const std::string &folder)
        : file_(folder + "/record.txt")
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ", now());
        file_ << at << text << '\n';
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline std::unique_ptr<Record> record;
inline std::string scratch;
inline std::mutex processMutex;
inline std::vector<pid_t> processes;

inline void note(const std::string &text)
{
    record->line(text);
}

inline void endProcesses()
{
    const std::lock_guard lock(processMutex);
    for (const auto pid : processes) {
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
    }
    for (const auto pid : processes) {
        waitpid(pid, nullptr, 0);
    }
    processes.clear();
}

/// Ends everything that was started, and the program.
[[noreturn]] inline void finish(int code, const std::string &why)
{
    note(why);
    std::printf("%s\n", why.c_str());
    std::fflush(stdout);
    endProcesses();
    if (!scratch.empty()) {
        [[maybe_unused]] const int ignored = std::system(("rm -rf '" + scratch + "'").c_str());
    }
    std::_Exit(code);
}

[[noreturn]] inline void cannotRun(const std::string &why)
{
    finish(2, "cannot run: " + why);
}

inline void begin(const std::string &folder)
{
    signal(SIGPIPE, SIG_IGN);
    record = std::make_unique<Record>(folder);
    const char *base = std::getenv("TMPDIR");
    std::string path = std::string(base != nullptr ? base : "/tmp") + "/review-2-XXXXXX";
    if (mkdtemp(path.data()) == nullptr) {
        cannotRun("no temporary folder");
    }
    scratch = path;
    std::thread([] {
        sleepUntil(115);
        finish(2, "cannot run: it took longer than 115 s");
    }).detach();
}

inline pid_t startProcess(const std::vector<std::string> &arguments, const std::string &log)
{
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(127);
        }
        const int out = open((scratch + "/" + log).c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        std::vector<char *> argv;
        for (const auto &argument : arguments) {
            argv.push_back(const_cast<char *>(argument.c_str()));
        }
        argv.push_back(nullptr);
        execv(argv[0], argv.data());
        _exit(127);
    }
    const std::lock_guard lock(processMutex);
    processes.push_back(pid);
    return pid;
}

/// @return whether the process still runs.
inline bool isRunning(pid_t pid)
{
    const std::lock_guard lock(processMutex);
    if (std::find(processes.begin(), processes.end(), pid) == processes.end()) {
        return false;
    }
    if (waitpid(pid, nullptr, WNOHANG) == pid) {
        std::erase(processes, pid);
        return false;
    }
    return true;
}

inline std::uint16_t freePort()
{
    static std::mutex mutex;
    static std::set<std::uint16_t> given;
    const std::lock_guard lock(mutex);
    for (;;) {
        const int handle = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        const bool ok = bind(handle, reinterpret_cast<sockaddr *>(&address), size) == 0 && getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size) == 0;
        close(handle);
        const auto port = ntohs(address.sin_port);
        if (ok && given.insert(port).second) {
            return port;
        }
    }
}

inline int connectTo(std::uint16_t port, int receiveBuffer = 0)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (connect(handle, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(handle);
        return -1;
    }
    const int one = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return handle;
}

inline bool sendAll(int handle, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = send(handle, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads more bytes. @return the count; 0 at the end, negative for an error or after the time limit.
inline long readMore(int handle, std::string &buffer, double until, std::size_t most = 65536)
{
    pollfd wait{handle, POLLIN, 0};
    const int left = static_cast<int>(std::max(0.0, until - now()) * 1000);
    if (poll(&wait, 1, left) <= 0) {
        return -2;
    }
    std::string part(most, '\0');
    const auto count = recv(handle, part.data(), part.size(), 0);
    if (count > 0) {
        buffer.append(part, 0, static_cast<std::size_t>(count));
    }
    return count;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Head
{
    std::string first;
    std::map<std::string, std::string> fields; ///< By name in lowercase.

    [[nodiscard]] std::string get(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
};

inline Head parseHead(const std::string &text)
{
    Head head;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (head.first.empty()) {
            head.first = line;
        } else if (const auto colon = line.find(':'); colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            head.fields[lower(line.substr(0, colon))] = value;
        }
    }
    return head;
}

/// Reads up to the end of a head. @return the head without the empty line; nothing if there was none. The rest stays in the buffer.
inline std::optional<Head> readHead(int handle, std::string &buffer, double until)
{
    for (;;) {
        if (const auto end = buffer.find("\r\n\r\n"); end != std::string::npos) {
            const auto head = parseHead(buffer.substr(0, end));
            buffer.erase(0, end + 4);
            return head;
        }
        if (readMore(handle, buffer, until) <= 0) {
            return std::nullopt;
        }
    }
}

struct Answer
{
    int status = 0; ///< 0: the channel ended, or the time was over, before a head.
    Head head;
    std::string body;      ///< Without the framing.
    bool isWhole = false;  ///< Ended as its framing says.
    bool isTimeout = false;
    double endedAt = 0;
};

/// Reads one answer from a channel.
inline Answer readAnswer(int handle, double until)
{
    Answer answer;
    std::string buffer;
    const auto head = readHead(handle, buffer, until);
    if (!head) {
        answer.isTimeout = now() >= until;
        answer.endedAt = now();
        return answer;
    }
    answer.head = *head;
    answer.status = std::atoi(head->first.substr(std::min<std::size_t>(9, head->first.size())).c_str());
    const bool isChunked = lower(head->get("transfer-encoding")) == "chunked";
    const auto length = static_cast<std::size_t>(std::strtoull(head->get("content-length").c_str(), nullptr, 10));
    for (;;) {
        if (isChunked) {
            for (;;) {
                const auto line = buffer.find("\r\n");
                if (line == std::string::npos) {
                    break;
                }
                const auto size = static_cast<std::size_t>(std::strtoull(buffer.c_str(), nullptr, 16));
                if (buffer.size() < line + 2 + size + 2) {
                    break;
                }
                answer.body += buffer.substr(line + 2, size);
                buffer.erase(0, line + 2 + size + 2);
                if (size == 0) {
                    answer.isWhole = true;
                    break;
                }
            }
        } else if (buffer.size() >= length) {
            answer.body = buffer.substr(0, length);
            answer.isWhole = true;
        }
        if (answer.isWhole) {
            break;
        }
        const auto count = readMore(handle, buffer, until);
        if (count <= 0) {
            answer.isTimeout = count == -2;
            break;
        }
    }
    answer.endedAt = now();
    return answer;
}

/// Sends a request on a channel of its own. @return the answer.
inline Answer post(std::uint16_t port, const std::string &path, const std::string &body)
{
    const int handle = connectTo(port);
    if (handle < 0) {
        return {};
    }
    sendAll(handle, "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = readAnswer(handle, now() + 3);
    close(handle);
    return answer;
}

inline std::string quoted(const std::string &text)
{
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c;
    }
    return out + "\"";
}

/// The platform's store.
struct Store
{
    std::uint16_t port = freePort();

    void start() const
    {
        startProcess({"target/deploy/standin_fleet", "--role", "store", "--port", std::to_string(port)}, "store.log");
        for (int i = 0; i < 100; ++i) {
            if (const int handle = connectTo(port); handle >= 0) {
                close(handle);
                return;
            }
            sleepFor(0.05);
        }
        cannotRun("the store did not start; has review/build-2.sh run?");
    }

    [[nodiscard]] bool put(const std::string &table, const std::string &key, const std::string &text, int lapseMs = 0) const
    {
        std::string row = "{\"table\":" + quoted(table) + ",\"key\":" + quoted(key) + ",\"text\":" + quoted(text);
        row += (lapseMs > 0 ? ",\"lapseMs\":" + std::to_string(lapseMs) : "") + "}";
        return post(port, "/standin/row", row).status == 200;
    }
};

struct RouteSheet
{
    std::string name;
    std::string type;
    std::string service;
    int timeoutMs;
    int goalMs;
    int attempts;
    int priority;
    bool resumable = false;
};

/// Routes with the figures of the sheet of sites/fizzwell-kiwi.
inline std::vector<RouteSheet> sheetRoutes()
{
    return {{"round", "streaming", "model", 39000, 4000, 1, 2, false},
            {"account", "streaming", "model", 6000, 1500, 2, 0, true},
            {"order", "unsafe", "desk", 4000, 300, 1, 2},
            {"stock", "safe", "desk", 4000, 300, 2, 2}};
}

inline std::string configText(int version, const std::vector<RouteSheet> &routes, std::size_t maxBodyBytes = 4194304)
{
    std::ostringstream out;
    out << "{\"version\":" << version << ",\"routes\":[";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const auto &route = routes[i];
        out << (i > 0 ? "," : "") << "{\"name\":\"r-" << route.name << "\",\"host\":\"calls.example\",\"prefix\":\"/" << route.name << "/\",\"route_type\":\""
            << route.type << "\",\"timeout_ms\":" << route.timeoutMs << ",\"goal_ms\":" << route.goalMs << ",\"priority\":" << route.priority
            << ",\"service\":\"" << route.service << "\",\"max_attempts\":" << route.attempts << ",\"public\":false";
        if (route.type == "streaming") {
            out << ",\"sticky\":true,\"resumable\":" << (route.resumable ? "true" : "false") << ",\"gap_target_ms\":180";
        }
        out << "}";
    }
    out << "],\"services\":[{\"name\":\"model\",\"health_path\":\"/health\",\"max_conns\":252,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":24,"
           "\"kv_capacity\":34422,\"kv_bytes\":131072,\"link_mbps\":19000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,"
           "\"hold_ms\":2000.0,\"kv_handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
           "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false},"
           "{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
           "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
        << maxBodyBytes
        << ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
           "\"tenants\":[{\"name\":\"cafe\",\"api_keys\":[\"xd9dnn2ctnfzs989anu6\"],\"priority\":1}]}";
    return out.str();
}

/// Fills deploy/settings.json.template as DEPLOY.md says, from plain values. Sections are those of values that are present.
inline std::string fillTemplate(std::string text, const std::map<std::string, std::string> &values)
{
    for (auto at = text.find("{{#"); at != std::string::npos; at = text.find("{{#")) {
        const auto nameEnd = text.find("}}", at);
        const auto name = text.substr(at + 3, nameEnd - at - 3);
        const auto close = "{{/" + name + "}}";
        const auto end = text.find(close, nameEnd);
        const auto value = values.find(name);
        std::string inner = value == values.end() ? "" : text.substr(nameEnd + 2, end - nameEnd - 2);
        for (auto dot = inner.find("{{.}}"); dot != std::string::npos; dot = inner.find("{{.}}")) {
            inner.replace(dot, 5, value->second);
        }
        text.replace(at, end + close.size() - at, inner);
    }
    for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
        const auto end = text.find("}}", at);
        const auto value = values.find(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, value == values.end() ? "" : value->second);
    }
    return text;
}

/// One machine of the system, started with the command of the deploy file.
struct Vm
{
    std::string name;
    std::uint16_t front = freePort();
    std::uint16_t readiness = freePort();
    pid_t pid = 0;

    void start(const Store &store)
    {
        std::ifstream file("deploy/settings.json.template");
        std::ostringstream text;
        text << file.rdbuf();
        const auto address = [](std::uint16_t port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        const auto settings = fillTemplate(text.str(),
                                           {{"node_name", name},
                                            {"zone", "akl-depot"},
                                            {"ip", "127.0.0.1"},
                                            {"listen.front", address(front)},
                                            {"listen.readiness", address(readiness)},
                                            {"internal_ports.0", std::to_string(freePort())},
                                            {"internal_ports.1", std::to_string(freePort())},
                                            {"limits.memory_mb", "220"},
                                            {"limits.max_fds", "8200"},
                                            {"platform.address", address(store.port)},
                                            {"bounds.revoke_ms", "5000"},
                                            {"bounds.drain_ms", "2000"},
                                            {"bounds.retry_budget_ratio", "0.2"},
                                            {"bounds.budget_extra", "58"}});
        const auto path = scratch + "/" + name + ".json";
        std::ofstream(path) << settings;
        pid = startProcess({"target/daemon/daisystreamd", "--settings", path}, name + ".log");
    }

    [[nodiscard]] bool isReady() const
    {
        const int handle = connectTo(readiness);
        if (handle < 0) {
            return false;
        }
        sendAll(handle, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto answer = readAnswer(handle, now() + 1);
        close(handle);
        return answer.status == 200;
    }

    void waitReady() const
    {
        for (int i = 0; i < 200; ++i) {
            if (isReady()) {
                return;
            }
            sleepFor(0.05);
        }
        cannotRun(name + " is not ready; has the build of the deploy file run?");
    }
};

/// A request at an endpoint.
struct Arrival
{
    Head head;
    std::string method;
    std::string path;
    std::string body;
    std::string attempt;
    int handle = -1;
};

/// An endpoint: registers itself with the store and handles each channel on a thread of its own.
class Endpoint
{
public:
    /// @return whether the channel is kept.
    using Handler = std::function<bool(Endpoint &, const Arrival &)>;

    Endpoint(std::string name, std::string service, unsigned slots, const Store &store, Handler handler)
        : name_(std::move(name))
        , service_(std::move(service))
        , slots_(slots)
        , store_(store)
        , handler_(std::move(handler))
        , born_(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(listener_, 256) != 0) {
            cannotRun("an endpoint cannot listen");
        }
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
        std::thread([this] { heartbeat(); }).detach();
    }

    [[nodiscard]] const std::string &name() const
    {
        return name_;
    }

    /// @return IP:PORT.
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

    /// @return the headers that an endpoint's own answer has.
    [[nodiscard]] std::string ownHeaders(const Arrival &arrival) const
    {
        return "Attempt-Id: " + arrival.attempt + "\r\nServer-Seal: s." + name_ + "\r\nServer-Load: " + std::to_string(running_.load()) + ",0,"
            + std::to_string(slots_) + "\r\n";
    }

    [[nodiscard]] bool respond(const Arrival &arrival, const std::string &body) const
    {
        return sendAll(arrival.handle, "HTTP/1.1 200 OK\r\n" + ownHeaders(arrival) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// Sends one chunk of an answer. @return whether the other side is still there.
    static bool sendChunk(int handle, const std::string &text)
    {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        char byte = 0;
        if (recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
            return false;
        }
        return sendAll(handle, size + text + "\r\n");
    }

    /// Reports `draining` to the store and keeps serving. @return when the store has accepted the report, as `now`.
    double drain()
    {
        const std::lock_guard lock(entryMutex_);
        state_ = "draining";
        if (!store_.put("servers", name_, entry(), kEntryLapseMs)) {
            cannotRun("the store took no entry");
        }
        return now();
    }

private:
    static constexpr int kEntryLapseMs = 3600;

    void accept()
    {
        for (;;) {
            const int handle = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                return;
            }
            std::thread([this, handle] {
                serve(handle);
                close(handle);
            }).detach();
        }
    }

    void serve(int handle)
    {
        std::string buffer;
        for (;;) {
            const auto head = readHead(handle, buffer, now() + 60);
            if (!head) {
                return;
            }
            Arrival arrival{.head = *head};
            std::istringstream first(head->first);
            first >> arrival.method >> arrival.path;
            arrival.attempt = head->get("attempt-id");
            arrival.handle = handle;
            const auto length = static_cast<std::size_t>(std::strtoull(head->get("content-length").c_str(), nullptr, 10));
            while (buffer.size() < length) {
                if (readMore(handle, buffer, now() + 30) <= 0) {
                    return;
                }
            }
            arrival.body = buffer.substr(0, length);
            buffer.erase(0, length);
            if (!handle_(arrival)) {
                return;
            }
        }
    }

    bool handle_(const Arrival &arrival)
    {
        if (arrival.path == "/health") {
            return sendAll(arrival.handle, "HTTP/1.1 200 OK\r\nInstance-Id: " + name_ + "\r\nContent-Length: 0\r\n\r\n");
        }
        if (arrival.path == "/api/report") {
            const std::string body = "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":2,\"queued\":0,"
                                     "\"active\":"
                + std::to_string(running_.load()) + ",\"kv_used\":0,\"kv_total\":34422,\"kv_handles\":0,\"state\":\"ready\",\"next\":0,\"runs\":[]}";
            return sendAll(arrival.handle,
                           "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
        if (const auto meant = arrival.head.get("expect-instance"); !meant.empty() && meant != name_) {
            return sendAll(arrival.handle, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + name_ + "\r\nContent-Length: 0\r\n\r\n");
        }
        if (arrival.attempt.empty()) {
            return sendAll(arrival.handle, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        if (running_ >= slots_) {
            return sendAll(arrival.handle,
                           "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + arrival.attempt + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        ++running_;
        const bool isKept = handler_(*this, arrival);
        --running_;
        return isKept;
    }

    [[nodiscard]] std::string entry() const
    {
        return "{\"service\":" + quoted(service_) + ",\"address\":\"127.0.0.1:" + std::to_string(port_)
            + "\",\"zone\":\"akl-depot\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) + ",\"state\":" + quoted(state_)
            + ",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":4,\"born\":"
            + std::to_string(born_) + "}";
    }

    void heartbeat()
    {
        for (;;) {
            {
                const std::lock_guard lock(entryMutex_);
                (void)store_.put("servers", name_, entry(), kEntryLapseMs);
            }
            sleepFor(1.2);
        }
    }

    const std::string name_;
    const std::string service_;
    const unsigned slots_;
    const Store store_;
    const Handler handler_;
    const long long born_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<unsigned> running_{0};
    std::mutex entryMutex_; ///< Guards the state and keeps the order of the writes.
    std::string state_ = "ready";
};

/// @return a new id of a consumer attempt.
inline std::string newAttempt()
{
    static std::atomic<unsigned> last{0};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()), ++last);
    return text;
}

inline std::string
requestText(const std::string &method, const std::string &path, const std::string &attempt, int deadlineMs, const std::string &tokens, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nCredential: xd9dnn2ctnfzs989anu6\r\n";
    if (!tokens.empty()) {
        text += "Model: m\r\nToken-Count: " + tokens + "\r\nPrompt-Prefix: 5c1e07a2:200," + attempt.substr(8) + ":140\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace bed
