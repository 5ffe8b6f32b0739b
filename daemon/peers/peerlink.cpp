#include "daemon/peers/peerlink.h"

#include "daemon/frontend/tlscontext.h"
#include "daemon/store/listtable.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <glog/logging.h>

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>

namespace daisystream
{

namespace asio = boost::asio;
namespace ssl = boost::asio::ssl;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t kLengthBytes = 4;
// A peer that takes nothing for so long that this much waits for it is as good as unreachable.
constexpr std::size_t kMaxQueuedBytes = 32U << 20U;
constexpr std::size_t kMaxWriteBytes = 65536;
// More connections than VMs at the target size, doubled because a VM that reconnects can leave its old one open.
constexpr unsigned kMaxIncoming = 1000;
// An incoming connection is probed by its other end at least every 4 s, so that one this silent is dead.
constexpr auto kIncomingSilence = std::chrono::seconds(12);
// 5 s in all: longer than a reconnection, shorter than the time for which the asking VM waits.
constexpr unsigned kOrderReplyAttempts = 25;
// 1 s in all: longer than a first connection takes, short enough for a caller who then tries again.
constexpr unsigned kOrderSendAttempts = 20;
constexpr auto kOrderSendPause = std::chrono::milliseconds(50);
constexpr auto kOrderReplyPause = std::chrono::milliseconds(200);
constexpr std::uint64_t kPingSequenceBit = 1ULL << 63U; // Keeps the sequences of pings and heartbeats apart.

tcp::endpoint toTcp(const SocketAddress &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

std::string withLength(const std::string &bytes)
{
    std::string framed(kLengthBytes, '\0');
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
        framed[i] = static_cast<char>((bytes.size() >> (8U * i)) & 0xffU);
    }
    return framed + bytes;
}

void setSocketOptions(tcp::socket &socket, std::chrono::milliseconds silence)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> timeout(static_cast<int>(silence.count()));
    socket.set_option(timeout, ignored);
}

/// A socket, with TLS on top if a context is given. Runs on the strand of its socket.
class Channel
{
public:
    Channel(tcp::socket socket, std::shared_ptr<ssl::context> context)
        : context_(std::move(context))
        , socket_(std::move(socket))
    {
        if (context_) {
            tls_.emplace(socket_, *context_);
        }
    }

    tcp::socket &socket()
    {
        return socket_;
    }

    void handshake(ssl::stream_base::handshake_type type, asio::yield_context yield, error_code &error)
    {
        if (tls_ && !error) {
            tls_->async_handshake(type, yield[error]);
        }
    }

    void read(asio::mutable_buffer buffer, asio::yield_context yield, error_code &error)
    {
        if (tls_) {
            asio::async_read(*tls_, buffer, yield[error]);
        } else {
            asio::async_read(socket_, buffer, yield[error]);
        }
    }

    void write(const std::string &bytes, asio::yield_context yield, error_code &error)
    {
        if (tls_) {
            asio::async_write(*tls_, asio::buffer(bytes), yield[error]);
        } else {
            asio::async_write(socket_, asio::buffer(bytes), yield[error]);
        }
    }

    void close()
    {
        error_code ignored;
        socket_.close(ignored);
    }

private:
    std::shared_ptr<ssl::context> context_;
    tcp::socket socket_;
    std::optional<ssl::stream<tcp::socket &>> tls_;
};

/// Bytes sent and received, by kind of message.
class ByteCounters
{
public:
    explicit ByteCounters(Metrics &metrics)
    {
        for (std::size_t i = 0; i < kKinds; ++i) {
            // A value of each kind, only for its name.
            const std::string kind = kindOf(make(i));
            sent_[i] = &metrics.counter("daisystream_peer_sent_bytes_total", "Bytes sent to other VMs.", {{"kind", kind}});
            received_[i] = &metrics.counter("daisystream_peer_received_bytes_total", "Bytes received from other VMs.", {{"kind", kind}});
        }
    }

    void addSent(const PeerMessage &message, std::size_t bytes)
    {
        sent_[message.index()]->add(bytes);
    }

    void addReceived(const PeerMessage &message, std::size_t bytes)
    {
        received_[message.index()]->add(bytes);
    }

private:
    static constexpr std::size_t kKinds = std::variant_size_v<PeerMessage>;

    template<std::size_t... Is>
    static PeerMessage make(std::size_t index, std::index_sequence<Is...>)
    {
        PeerMessage message;
        ((Is == index ? static_cast<void>(message.emplace<Is>()) : static_cast<void>(0)), ...);
        return message;
    }

    static PeerMessage make(std::size_t index)
    {
        return make(index, std::make_index_sequence<kKinds>());
    }

    std::array<Counter *, kKinds> sent_{};
    std::array<Counter *, kKinds> received_{};
};

/// Reads one message.
/// @return nothing if the connection failed or the message is malformed; then the reason is set.
std::optional<PeerMessage> readMessage(Channel &channel, const Clock &clock, ByteCounters &bytes, asio::yield_context yield, Error &reason)
{
    error_code error;
    std::array<unsigned char, kLengthBytes> head{};
    channel.read(asio::buffer(head), yield, error);
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
        length |= static_cast<std::uint32_t>(head[i]) << (8U * i);
    }
    if (!error && (length == 0 || length > kMaxPeerMessageBytes)) {
        reason = {ResultCode::PeerMalformedMessage, "length " + std::to_string(length) + " out of range", {}};
        return std::nullopt;
    }
    std::string body;
    // Grows with what really arrives, so that a length alone reserves no memory.
    while (!error && body.size() < length) {
        const std::size_t old = body.size();
        body.resize(std::min<std::size_t>(length, old + kMaxWriteBytes));
        channel.read(asio::buffer(body.data() + old, body.size() - old), yield, error);
    }
    if (error) {
        reason = {ResultCode::PeerUnreachable, error.message(), {}};
        return std::nullopt;
    }
    auto message = decodeMessage(body, clock.now());
    if (auto *fault = std::get_if<Error>(&message)) {
        reason = *fault;
        return std::nullopt;
    }
    bytes.addReceived(std::get<PeerMessage>(message), kLengthBytes + length);
    return std::move(std::get<PeerMessage>(message));
}

/// What connections share.
struct Shared
{
    Shared(asio::io_context &loop, PeerIdentity who, const Clock &source, Metrics &metrics, PeerLinkOptions with)
        : io(loop)
        , identity(std::move(who))
        , clock(source)
        , options(with)
        , bytes(metrics)
        , malformed(metrics.counter("daisystream_peer_malformed_total", "Connections closed for malformed messages."))
        , mismatches(metrics.counter("daisystream_peer_version_mismatch_total", "Connections refused for their protocol version."))
    {
    }

    [[nodiscard]] HelloMessage hello() const
    {
        return {.protocolVersion = options.protocolVersion, .vm = identity.vm, .incarnation = identity.incarnation, .zone = identity.zone};
    }

    [[nodiscard]] std::shared_ptr<ssl::context> context() const
    {
        return tls ? tls->current() : nullptr;
    }

    asio::io_context &io;
    const PeerIdentity identity;
    const Clock &clock;
    const PeerLinkOptions options;
    ByteCounters bytes;
    Counter &malformed;
    Counter &mismatches;
    std::unique_ptr<TlsContexts> tls;
    PeerLink::AckHandler onAck;
    PeerLink::ViewSource view;
};

/// The connection on which messages go to one VM; connects again whenever it is lost.
class Outgoing : public std::enable_shared_from_this<Outgoing>
{
public:
    Outgoing(std::shared_ptr<Shared> shared, PeerSettings peer, std::function<void(const VmId &)> onClosed)
        : shared_(std::move(shared))
        , peer_(std::move(peer))
        , onClosed_(std::move(onClosed))
        , strand_(asio::make_strand(shared_->io))
        , wake_(strand_)
        , watch_(strand_)
    {
    }

    [[nodiscard]] const PeerSettings &peer() const
    {
        return peer_;
    }

    void start()
    {
        asio::spawn(
            strand_, [self = shared_from_this()](asio::yield_context yield) { self->run(yield); }, asio::detached);
    }

    void stop()
    {
        asio::post(strand_, [self = shared_from_this()] {
            self->stopped_ = true;
            self->wake_.cancel();
            self->watch_.cancel();
            self->close();
        });
    }

    bool send(const PeerMessage &message)
    {
        const auto now = shared_->clock.now();
        std::string framed = withLength(encodeMessage(message, now));
        const std::size_t size = framed.size();
        {
            const std::lock_guard lock(mutex_);
            if (!connected_ || queuedBytes_ + size > kMaxQueuedBytes) {
                return false;
            }
            if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message)) {
                expectAck(heartbeat->sequence, now);
            }
            queue_.push_back(std::move(framed));
            queuedBytes_ += size;
        }
        shared_->bytes.addSent(message, size);
        asio::post(strand_, [self = shared_from_this()] { self->wake_.cancel(); });
        return true;
    }

private:
    void expectAck(std::uint64_t sequence, TimePoint now)
    {
        lastProbe_ = now;
        probes_.emplace_back(sequence, now);
    }

    void run(asio::yield_context yield)
    {
        while (!stopped_) {
            useOnce(yield);
            disconnect();
            error_code ignored;
            wake_.expires_after(shared_->options.checkEvery);
            if (!stopped_) {
                wake_.async_wait(yield[ignored]);
            }
        }
    }

    /// Connects and sends until the connection is lost.
    void useOnce(asio::yield_context yield)
    {
        error_code error;
        auto channel = std::make_shared<Channel>(tcp::socket(strand_), shared_->context());
        channel_ = channel;
        watch_.expires_after(shared_->options.silence);
        watch_.async_wait([channel](const error_code &cancelled) {
            if (!cancelled) {
                channel->close();
            }
        });
        channel->socket().async_connect(toTcp(peer_.address), yield[error]);
        if (!error) {
            setSocketOptions(channel->socket(), shared_->options.silence);
        }
        channel->handshake(ssl::stream_base::client, yield, error);
        const PeerMessage hello = shared_->hello();
        const std::string framed = withLength(encodeMessage(hello, shared_->clock.now()));
        if (!error) {
            channel->write(framed, yield, error);
        }
        watch_.cancel();
        if (error || stopped_) {
            return;
        }
        shared_->bytes.addSent(hello, framed.size());
        connect();
        asio::spawn(
            strand_, [self = shared_from_this(), channel](asio::yield_context inner) { self->readAcks(*channel, inner); }, asio::detached);
        watchSilence(channel);
        writeQueue(*channel, yield);
    }

    void connect()
    {
        const std::lock_guard lock(mutex_);
        connected_ = true;
        probes_.clear();
        // The first check sends a ping, whose acknowledgement says early what the other VM can do.
        lastProbe_ = shared_->clock.now() - shared_->options.pingEvery;
    }

    void disconnect()
    {
        close();
        bool wasConnected = false;
        {
            const std::lock_guard lock(mutex_);
            wasConnected = connected_;
            connected_ = false;
            queue_.clear();
            queuedBytes_ = 0;
        }
        if (wasConnected) {
            LOG(WARNING) << "event=peer_connection_lost vm=" << peer_.vm;
            onClosed_(peer_.vm);
        }
    }

    void close()
    {
        if (channel_) {
            channel_->close();
        }
    }

    void readAcks(Channel &channel, asio::yield_context yield)
    {
        Error reason;
        while (const auto message = readMessage(channel, shared_->clock, shared_->bytes, yield, reason)) {
            const auto *ack = std::get_if<AckMessage>(&*message);
            const auto sentAt = ack != nullptr ? confirm(ack->sequence) : std::nullopt;
            if (sentAt && shared_->onAck) {
                shared_->onAck(peer_.vm, *sentAt, ack->view);
            }
        }
        if (reason.code == ResultCode::PeerMalformedMessage) {
            shared_->malformed.add(1);
        }
        channel.close();
        wake_.cancel();
    }

    /// @return when the probe was sent, if it was sent on this connection.
    std::optional<TimePoint> confirm(std::uint64_t sequence)
    {
        const std::lock_guard lock(mutex_);
        const auto found = std::find_if(probes_.begin(), probes_.end(), [&](const auto &probe) { return probe.first == sequence; });
        if (found == probes_.end()) {
            return std::nullopt;
        }
        const TimePoint sentAt = found->second;
        // An acknowledgement covers the earlier probes too, since a connection keeps its order.
        probes_.erase(probes_.begin(), found + 1);
        return sentAt;
    }

    /// Closes the connection when an acknowledgement is overdue, also while a write is blocked.
    void watchSilence(const std::shared_ptr<Channel> &channel)
    {
        watch_.expires_after(shared_->options.checkEvery);
        watch_.async_wait([self = shared_from_this(), channel](const error_code &cancelled) {
            if (cancelled || !channel->socket().is_open()) {
                return;
            }
            if (self->isSilent()) {
                LOG(WARNING) << "event=peer_connection_silent vm=" << self->peer_.vm;
                channel->close();
                self->wake_.cancel();
                return;
            }
            self->watchSilence(channel);
        });
    }

    /// Also sends a ping if no heartbeat probes the connection.
    bool isSilent()
    {
        const auto now = shared_->clock.now();
        bool pingIsDue = false;
        {
            const std::lock_guard lock(mutex_);
            if (!probes_.empty() && now - probes_.front().second > shared_->options.silence) {
                return true;
            }
            pingIsDue = now - lastProbe_ >= shared_->options.pingEvery;
            if (pingIsDue) {
                expectAck(kPingSequenceBit | ++pings_, now);
            }
        }
        if (pingIsDue) {
            send(PingMessage{kPingSequenceBit | pings_});
        }
        return false;
    }

    void writeQueue(Channel &channel, asio::yield_context yield)
    {
        error_code error;
        while (!error && channel.socket().is_open()) {
            const std::string bytes = takeQueued();
            if (!bytes.empty()) {
                channel.write(bytes, yield, error);
                continue;
            }
            error_code cancelled;
            wake_.expires_after(shared_->options.checkEvery);
            wake_.async_wait(yield[cancelled]);
        }
    }

    std::string takeQueued()
    {
        const std::lock_guard lock(mutex_);
        std::string bytes;
        while (!queue_.empty() && bytes.size() < kMaxWriteBytes) {
            bytes += queue_.front();
            queue_.pop_front();
        }
        queuedBytes_ -= bytes.size();
        return bytes;
    }

    const std::shared_ptr<Shared> shared_;
    const PeerSettings peer_;
    const std::function<void(const VmId &)> onClosed_;
    asio::strand<asio::io_context::executor_type> strand_;
    // On the strand.
    asio::steady_timer wake_;
    asio::steady_timer watch_;
    std::shared_ptr<Channel> channel_;
    bool stopped_ = false;
    std::uint64_t pings_ = 0;

    std::mutex mutex_; // Lock order 7.
    bool connected_ = false;
    std::deque<std::string> queue_;
    std::size_t queuedBytes_ = 0;
    std::deque<std::pair<std::uint64_t, TimePoint>> probes_; // Without an acknowledgement, oldest first.
    TimePoint lastProbe_{};
};

} // namespace

class PeerLink::Private : public std::enable_shared_from_this<PeerLink::Private>
{
public:
    struct PendingOrder
    {
        VmId issuer;
        ReplyHandler handler;
        std::shared_ptr<asio::steady_timer> timer;
        bool sent = false; ///< Some byte may have reached the issuer.
    };

    Private(asio::io_context &io, const PeerIdentity &identity, const Clock &clock, Metrics &metrics, PeerLinkOptions options)
        : shared(std::make_shared<Shared>(io, identity, clock, metrics, options))
        , acceptor(asio::make_strand(io))
    {
    }

    void accept(asio::yield_context yield)
    {
        error_code error;
        while (acceptor.is_open()) {
            tcp::socket socket(asio::make_strand(shared->io));
            acceptor.async_accept(socket, yield[error]);
            if (error) {
                // Out of descriptors, or closed.
                asio::steady_timer pause(acceptor.get_executor(), shared->options.checkEvery);
                pause.async_wait(yield[error]);
                continue;
            }
            if (incoming >= kMaxIncoming) {
                LOG(WARNING) << "event=peer_connection_refused reason=too_many";
                continue;
            }
            auto executor = socket.get_executor();
            setSocketOptions(socket, shared->options.silence);
            auto channel = std::make_shared<Channel>(std::move(socket), shared->context());
            asio::spawn(
                executor, [self = shared_from_this(), channel](asio::yield_context inner) { self->serve(channel, inner); }, asio::detached);
        }
    }

    void serve(const std::shared_ptr<Channel> &channel, asio::yield_context yield)
    {
        ++incoming;
        {
            const std::lock_guard lock(mutex);
            accepted.push_back(channel);
            std::erase_if(accepted, [](const auto &entry) { return entry.expired(); });
        }
        receive(channel, yield);
        channel->close();
        --incoming;
    }

    void receive(const std::shared_ptr<Channel> &channel, asio::yield_context yield)
    {
        auto timer = std::make_shared<asio::steady_timer>(channel->socket().get_executor());
        const auto limit = [&](std::chrono::milliseconds time) {
            timer->expires_after(time);
            timer->async_wait([channel, timer](const error_code &cancelled) {
                if (!cancelled) {
                    channel->close();
                }
            });
        };
        limit(shared->options.silence);
        error_code error;
        channel->handshake(ssl::stream_base::server, yield, error);
        Error reason;
        auto first = error ? std::nullopt : readMessage(*channel, shared->clock, shared->bytes, yield, reason);
        const auto *hello = first ? std::get_if<HelloMessage>(&*first) : nullptr;
        if (hello == nullptr || hello->protocolVersion != shared->options.protocolVersion) {
            reportBadStart(hello, reason);
            timer->cancel();
            return;
        }
        limit(kIncomingSilence);
        deliver(*hello, *first); // Tells at once if another process of the VM was there before.
        while (const auto message = readMessage(*channel, shared->clock, shared->bytes, yield, reason)) {
            limit(kIncomingSilence);
            if (!acknowledge(*channel, *message, yield)) {
                break;
            }
            deliver(*hello, *message);
        }
        timer->cancel();
        if (reason.code == ResultCode::PeerMalformedMessage) {
            shared->malformed.add(1);
            LOG(ERROR) << "event=peer_malformed_message vm=" << hello->vm << " reason=\"" << reason.detail << '"';
        }
    }

    void reportBadStart(const HelloMessage *hello, const Error &reason)
    {
        if (hello != nullptr) {
            shared->mismatches.add(1);
            LOG(ERROR) << "event=peer_version_mismatch vm=" << hello->vm << " theirs=" << hello->protocolVersion << " ours=" << shared->options.protocolVersion
                       << " code=" << static_cast<int>(ResultCode::PeerVersionMismatch);
            return;
        }
        if (reason.code == ResultCode::PeerMalformedMessage) {
            shared->malformed.add(1);
        }
        LOG(WARNING) << "event=peer_connection_refused reason=\"no hello\"";
    }

    bool acknowledge(Channel &channel, const PeerMessage &message, asio::yield_context yield)
    {
        std::optional<AckMessage> ack;
        if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message)) {
            ack = AckMessage{.sequence = heartbeat->sequence};
        } else if (const auto *ping = std::get_if<PingMessage>(&message)) {
            ack = AckMessage{.sequence = ping->sequence};
        }
        if (!ack) {
            return true;
        }
        ack->view = shared->view ? shared->view() : PeerView{.versions = std::vector<StoreRevision>(kDocumentKinds), .contactAge = {}};
        error_code error;
        const std::string framed = withLength(encodeMessage(*ack, shared->clock.now()));
        channel.write(framed, yield, error);
        shared->bytes.addSent(*ack, framed.size());
        return !error;
    }

    void deliver(const HelloMessage &from, const PeerMessage &message)
    {
        if (const auto *order = std::get_if<OrderMessage>(&message)) {
            runOrder(from.vm, *order);
        } else if (const auto *reply = std::get_if<OrderReplyMessage>(&message)) {
            settle(reply->number, reply->reply);
        } else if (handler) {
            handler(from.vm, from.incarnation, message);
        }
    }

    void runOrder(const VmId &from, const OrderMessage &order)
    {
        OrderHandler run;
        {
            const std::lock_guard lock(mutex);
            run = orderHandler;
        }
        auto reply = [self = shared_from_this(), from, number = order.number](const Result<OrderReply> &result) {
            self->sendOrderReply(from, {.number = number, .reply = result}, kOrderReplyAttempts);
        };
        if (order.incarnation != shared->identity.incarnation) {
            reply(Error{ResultCode::TicketIssuerGone, "the daemon that issued the ticket has been replaced", {}});
        } else if (run) {
            run(order.order, std::move(reply));
        } else {
            reply(Error{ResultCode::Stopping, "this VM runs no orders", {}});
        }
    }

    /// Sends an order to the VM that issued its ticket. Waits for the connection, which can still be down shortly after a
    /// start; nothing has been sent until then, so the order certainly did not run.
    /// @param replyTimer limits the wait for the reply once the order is sent.
    void sendOrder(const VmId &issuer, const OrderMessage &order, const std::shared_ptr<asio::steady_timer> &replyTimer, unsigned attempts)
    {
        setSent(order.number, true);
        if (send(issuer, order)) {
            replyTimer->async_wait([self = shared_from_this(), number = order.number](const error_code &cancelled) {
                if (!cancelled) {
                    self->settle(number, Error{ResultCode::OrderOutcomeUnknown, "no reply from the VM that issued the ticket", {}});
                }
            });
            return;
        }
        setSent(order.number, false);
        if (attempts == 0) {
            settle(order.number, Error{ResultCode::PeerUnreachable, issuer.value() + " cannot be reached", std::chrono::milliseconds(1000)});
            return;
        }
        auto pause = std::make_shared<asio::steady_timer>(shared->io, kOrderSendPause);
        pause->async_wait([self = shared_from_this(), pause, issuer, order, replyTimer, attempts](const error_code &error) {
            if (!error && self->isPending(order.number)) {
                self->sendOrder(issuer, order, replyTimer, attempts - 1);
            }
        });
    }

    void setSent(std::uint64_t number, bool sent)
    {
        const std::lock_guard lock(mutex);
        if (const auto found = orders.find(number); found != orders.end()) {
            found->second.sent = sent;
        }
    }

    [[nodiscard]] bool isPending(std::uint64_t number)
    {
        const std::lock_guard lock(mutex);
        return orders.contains(number);
    }

    /// Sends the reply to a forwarded order. The order has run, so the reply is worth waiting for this VM's own connection
    /// to the asking VM, which can still be down shortly after a start although the other direction is up.
    void sendOrderReply(const VmId &to, const OrderReplyMessage &reply, unsigned attempts)
    {
        if (send(to, reply) || attempts == 0) {
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(shared->io, kOrderReplyPause);
        timer->async_wait([self = shared_from_this(), timer, to, reply, attempts](const error_code &error) {
            if (!error) {
                self->sendOrderReply(to, reply, attempts - 1);
            }
        });
    }

    void settle(std::uint64_t number, const Result<OrderReply> &result)
    {
        PendingOrder pending;
        {
            const std::lock_guard lock(mutex);
            const auto found = orders.find(number);
            if (found == orders.end()) {
                return;
            }
            pending = std::move(found->second);
            orders.erase(found);
        }
        asio::post(shared->io, [timer = pending.timer, reply = std::move(pending.handler), result] {
            timer->cancel();
            reply(result);
        });
    }

    void failOrders(const VmId &issuer)
    {
        std::vector<std::uint64_t> lost;
        {
            const std::lock_guard lock(mutex);
            for (const auto &[number, order] : orders) {
                if (order.issuer == issuer && order.sent) {
                    lost.push_back(number);
                }
            }
        }
        for (const auto number : lost) {
            settle(number, Error{ResultCode::OrderOutcomeUnknown, "the connection to " + issuer.value() + " was lost after the order was sent", {}});
        }
    }

    bool send(const VmId &to, const PeerMessage &message)
    {
        std::shared_ptr<Outgoing> connection;
        {
            const std::lock_guard lock(mutex);
            const auto found = outgoing.find(to);
            if (found == outgoing.end()) {
                return false;
            }
            connection = found->second;
        }
        return connection->send(message);
    }

    const std::shared_ptr<Shared> shared;
    tcp::acceptor acceptor;
    MessageHandler handler;
    std::atomic<unsigned> incoming{0};
    std::mutex mutex; // Lock order 7, before that of a connection.
    std::map<VmId, std::shared_ptr<Outgoing>> outgoing;
    std::vector<std::weak_ptr<Channel>> accepted;
    std::map<std::uint64_t, PendingOrder> orders;
    std::uint64_t lastOrder = 0;
    OrderHandler orderHandler;
};

PeerLink::PeerLink(asio::io_context &io, const PeerIdentity &identity, const Clock &clock, Metrics &metrics, PeerLinkOptions options)
    : d_(std::make_shared<Private>(io, identity, clock, metrics, options))
{
}

PeerLink::~PeerLink()
{
    try {
        stop();
    } catch (...) {
        // Only a lack of memory gets here; the connections then end with the event loop.
    }
}

void PeerLink::setAckHandler(AckHandler handler)
{
    d_->shared->onAck = std::move(handler);
}

void PeerLink::setViewSource(ViewSource source)
{
    d_->shared->view = std::move(source);
}

void PeerLink::setMessageHandler(MessageHandler handler)
{
    d_->handler = std::move(handler);
}

std::optional<Error> PeerLink::start(const std::optional<SocketAddress> &listen, const std::optional<TlsSettings> &tls)
{
    if (tls) {
        d_->shared->tls = std::make_unique<TlsContexts>(*tls);
        if (auto error = d_->shared->tls->load()) {
            return error;
        }
    }
    if (!listen) {
        return std::nullopt;
    }
    error_code error;
    const auto address = toTcp(*listen);
    d_->acceptor.open(address.protocol(), error);
    d_->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    d_->acceptor.bind(address, error);
    if (!error) {
        d_->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{ResultCode::PeerUnreachable, "cannot listen for other VMs on " + toString(*listen) + ": " + error.message(), {}};
    }
    asio::spawn(
        d_->acceptor.get_executor(), [self = d_](asio::yield_context yield) { self->accept(yield); }, asio::detached);
    return std::nullopt;
}

std::uint16_t PeerLink::port() const
{
    error_code ignored;
    return d_->acceptor.local_endpoint(ignored).port();
}

void PeerLink::setPeers(const std::vector<PeerSettings> &peers)
{
    std::map<VmId, PeerSettings> wanted;
    for (const auto &peer : peers) {
        if (peer.vm != d_->shared->identity.vm) {
            wanted.emplace(peer.vm, peer);
        }
    }
    std::vector<std::shared_ptr<Outgoing>> dropped;
    std::vector<std::shared_ptr<Outgoing>> added;
    {
        const std::lock_guard lock(d_->mutex);
        for (auto entry = d_->outgoing.begin(); entry != d_->outgoing.end();) {
            const auto found = wanted.find(entry->first);
            if (found != wanted.end() && found->second.address == entry->second->peer().address) {
                wanted.erase(found);
                ++entry;
                continue;
            }
            dropped.push_back(entry->second);
            entry = d_->outgoing.erase(entry);
        }
        for (const auto &[vm, peer] : wanted) {
            auto connection = std::make_shared<Outgoing>(d_->shared, peer, [weak = std::weak_ptr(d_)](const VmId &lost) {
                if (const auto self = weak.lock()) {
                    self->failOrders(lost);
                }
            });
            d_->outgoing.emplace(vm, connection);
            added.push_back(std::move(connection));
        }
    }
    for (const auto &connection : dropped) {
        connection->stop();
    }
    for (const auto &connection : added) {
        connection->start();
    }
}

std::vector<PeerSettings> PeerLink::peers() const
{
    const std::lock_guard lock(d_->mutex);
    std::vector<PeerSettings> peers;
    for (const auto &[vm, connection] : d_->outgoing) {
        peers.push_back(connection->peer());
    }
    return peers;
}

bool PeerLink::send(const VmId &to, const PeerMessage &message)
{
    return d_->send(to, message);
}

void PeerLink::stop()
{
    setPeers({});
    const std::lock_guard lock(d_->mutex);
    for (const auto &entry : d_->accepted) {
        if (const auto channel = entry.lock()) {
            asio::post(channel->socket().get_executor(), [channel] { channel->close(); });
        }
    }
    asio::post(d_->acceptor.get_executor(), [self = d_] {
        error_code ignored;
        self->acceptor.close(ignored);
    });
}

const VmId &PeerLink::self() const
{
    return d_->shared->identity.vm;
}

std::uint64_t PeerLink::incarnation() const
{
    return d_->shared->identity.incarnation;
}

void PeerLink::forwardOrder(const VmId &issuer, std::uint64_t incarnation, const ForwardedOrder &order, ReplyHandler handler)
{
    auto timer = std::make_shared<asio::steady_timer>(d_->shared->io, d_->shared->options.orderTime);
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(d_->mutex);
        number = ++d_->lastOrder;
        d_->orders.emplace(number, Private::PendingOrder{.issuer = issuer, .handler = std::move(handler), .timer = timer, .sent = false});
    }
    d_->sendOrder(issuer, {.number = number, .incarnation = incarnation, .order = order}, timer, kOrderSendAttempts);
}

void PeerLink::setOrderHandler(OrderHandler handler)
{
    const std::lock_guard lock(d_->mutex);
    d_->orderHandler = std::move(handler);
}

} // namespace daisystream
