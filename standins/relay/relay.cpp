#include "standins/relay/relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <list>
#include <thread>

namespace daisystream::standins
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace internal
{

/// One forwarded connection: two sockets and a buffer for each direction. Used on the relay's thread only.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
    RelayedConnection(tcp::socket client, tcp::endpoint target, Relay::Mode mode)
        : target_(std::move(target))
        , client_(std::move(client))
        , server_(client_.get_executor())
        , mode_(mode)
    {
    }

    void start()
    {
        server_.async_connect(target_, [self = shared_from_this()](error_code error) {
            if (error) {
                self->close();
                return;
            }
            self->read(self->upstream_);
            self->read(self->downstream_);
        });
    }

    void setMode(Relay::Mode mode)
    {
        if (mode == Relay::Mode::ForgetOpen) {
            upstream_.isLost = downstream_.isLost = true;
            return;
        }
        mode_ = mode;
        for (Direction *direction : {&upstream_, &downstream_}) {
            if (mode_ != Relay::Mode::Stall && direction->held > 0) {
                write(*direction);
            }
        }
    }

    void close()
    {
        error_code ignored;
        // A reset instead of an orderly close, as a link that is cut gives.
        client_.set_option(asio::socket_base::linger(true, 0), ignored);
        server_.set_option(asio::socket_base::linger(true, 0), ignored);
        client_.close(ignored);
        server_.close(ignored);
    }

private:
    static constexpr std::size_t kBufferBytes = 16384;

    struct Direction
    {
        tcp::socket &from;
        tcp::socket &to;
        asio::steady_timer timer;
        Relay::Mode droppedBy; // The mode that drops the bytes of this direction.
        std::size_t held = 0;  // Bytes that were read and wait to be written.
        bool isLost = false;   // Bytes were dropped, so that what follows them would be read as something else.
        std::array<char, kBufferBytes> buffer{};
    };

    void read(Direction &direction)
    {
        direction.from.async_read_some(asio::buffer(direction.buffer), [self = shared_from_this(), &direction](error_code error, std::size_t count) {
            if (error) {
                self->finish(direction, error);
                return;
            }
            direction.isLost = direction.isLost || self->mode_ == direction.droppedBy;
            if (direction.isLost) {
                self->read(direction);
                return;
            }
            direction.held = count;
            if (self->mode_ == Relay::Mode::Slow) {
                self->writeLater(direction);
            } else if (self->mode_ != Relay::Mode::Stall) {
                self->write(direction);
            }
        });
    }

    void writeLater(Direction &direction)
    {
        direction.timer.expires_after(Relay::kSlowDelay);
        direction.timer.async_wait([self = shared_from_this(), &direction](error_code) {
            if (direction.held > 0 && self->mode_ != Relay::Mode::Stall) {
                self->write(direction);
            }
        });
    }

    void write(Direction &direction)
    {
        const std::size_t count = std::exchange(direction.held, 0U);
        asio::async_write(direction.to, asio::buffer(direction.buffer.data(), count), [self = shared_from_this(), &direction](error_code error, std::size_t) {
            if (error) {
                self->close();
                return;
            }
            self->read(direction);
        });
    }

    /// Passes on an end of stream, or a reset if the connection failed, unless the link has lost bytes: then the other side does not
    /// learn of it.
    void finish(Direction &direction, const error_code &error)
    {
        if (direction.isLost) {
            return;
        }
        if (error == asio::error::eof) {
            error_code ignored;
            direction.to.shutdown(tcp::socket::shutdown_send, ignored);
        } else {
            close();
        }
    }

    const tcp::endpoint target_;
    tcp::socket client_;
    tcp::socket server_;
    Relay::Mode mode_;
    Direction upstream_{.from = client_, .to = server_, .timer = asio::steady_timer(client_.get_executor()), .droppedBy = Relay::Mode::DropRequests};
    Direction downstream_{.from = server_, .to = client_, .timer = asio::steady_timer(client_.get_executor()), .droppedBy = Relay::Mode::DropReplies};
};

} // namespace internal

class Relay::Private
{
public:
    explicit Private(std::uint16_t targetPort)
        : target_(asio::ip::make_address("127.0.0.1"), targetPort)
        , acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        thread_ = std::jthread([this] { io_.run(); });
    }

    ~Private()
    {
        io_.stop();
    }

    /// Runs a function on the relay's thread and waits for it.
    template<class Function>
    void runAndWait(Function function)
    {
        std::promise<void> done;
        asio::post(io_, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    void accept()
    {
        acceptor_.async_accept([this](error_code error, tcp::socket socket) {
            if (error) {
                return;
            }
            auto connection = std::make_shared<internal::RelayedConnection>(std::move(socket), target_, mode_);
            if (mode_ == Mode::Refuse) {
                connection->close();
            } else {
                connections_.push_back(connection);
                connection->start();
            }
            accept();
        });
    }

    void cutOpen()
    {
        forEachOpen([](internal::RelayedConnection &connection) { connection.close(); });
        connections_.clear();
    }

    void setMode(Mode mode)
    {
        mode_ = mode == Mode::ForgetOpen ? Mode::Pass : mode; // It concerns the connections open now only.
        if (mode == Mode::Refuse) {
            cutOpen();
        } else {
            forEachOpen([mode](internal::RelayedConnection &connection) { connection.setMode(mode); });
        }
    }

    const tcp::endpoint target_;
    asio::io_context io_;
    tcp::acceptor acceptor_;

private:
    template<class Function>
    void forEachOpen(Function function)
    {
        for (auto &entry : connections_) {
            if (auto connection = entry.lock()) {
                function(*connection);
            }
        }
    }

    Mode mode_ = Mode::Pass;
    std::list<std::weak_ptr<internal::RelayedConnection>> connections_;
    std::jthread thread_; // Last member: joined before the rest is destroyed.
};

Relay::Relay(std::uint16_t targetPort)
    : d_(std::make_unique<Private>(targetPort))
{
}

Relay::~Relay() = default;

std::uint16_t Relay::port() const
{
    return d_->acceptor_.local_endpoint().port();
}

void Relay::setMode(Mode mode)
{
    d_->runAndWait([this, mode] { d_->setMode(mode); });
}

void Relay::cutOpen()
{
    d_->runAndWait([this] { d_->cutOpen(); });
}

} // namespace daisystream::standins
