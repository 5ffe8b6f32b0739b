#include "crowd/crowd.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <vector>

namespace daisystream::crowd
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace
{

// Clients connect a few at a time, so that the listening queue does not overflow.
constexpr unsigned kConnectedTogether = 50;
constexpr milliseconds kConnectPause{10};
constexpr std::size_t kReadSize = 256;
// A small receive buffer, so that an unread response stays at the server.
constexpr int kReceiveBuffer = 4'096;

} // namespace

class Crowd::Private : public std::enable_shared_from_this<Crowd::Private>
{
public:
    struct Client
    {
        explicit Client(asio::io_context &io)
            : socket(io)
            , timer(io)
            , readTimer(io)
        {
        }

        tcp::socket socket;
        asio::steady_timer timer;
        asio::steady_timer readTimer;
        std::array<char, kReadSize> received{};
        std::uint64_t piecesSent = 0;
        bool isDone = false;
        bool isClosed = false;
    };

    Private(asio::io_context &loop, ClientLoad toPlay, std::uint16_t atPort)
        : io(loop)
        , load(std::move(toPlay))
        , port(atPort)
        , connectTimer(loop)
    {
    }

    void connectSome()
    {
        for (unsigned i = 0; i < kConnectedTogether && clients.size() < load.clients; ++i) {
            auto client = std::make_shared<Client>(io);
            clients.push_back(client);
            error_code ignored;
            client->socket.open(tcp::v4(), ignored);
            client->socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);
            client->socket.async_connect({asio::ip::address_v4::loopback(), port}, [self = shared_from_this(), client](const error_code &error) {
                if (error) {
                    self->end(*client);
                    return;
                }
                self->send(client, self->load.head);
                self->readLater(client);
            });
        }
        if (clients.size() < load.clients) {
            connectTimer.expires_after(kConnectPause);
            connectTimer.async_wait([self = shared_from_this()](const error_code &error) {
                if (!error) {
                    self->connectSome();
                }
            });
        }
    }

    void send(const std::shared_ptr<Client> &client, const std::string &text)
    {
        asio::async_write(client->socket, asio::buffer(text), [self = shared_from_this(), client](const error_code &error, std::size_t count) {
            self->sent += count;
            if (error) {
                self->end(*client);
                return;
            }
            self->sendNext(client);
        });
    }

    void sendNext(const std::shared_ptr<Client> &client)
    {
        if (client->piecesSent >= load.pieces) {
            client->isDone = true;
            return;
        }
        const bool isFirst = client->piecesSent++ == 0;
        if (isFirst || load.pause.count() == 0) {
            send(client, load.piece);
            return;
        }
        client->timer.expires_after(load.pause);
        client->timer.async_wait([self = shared_from_this(), client](const error_code &error) {
            if (!error) {
                self->send(client, self->load.piece);
            }
        });
    }

    void readLater(const std::shared_ptr<Client> &client)
    {
        if (load.readPause.count() == 0) {
            return;
        }
        client->readTimer.expires_after(load.readPause);
        client->readTimer.async_wait([self = shared_from_this(), client](const error_code &error) {
            if (error) {
                return;
            }
            client->socket.async_read_some(asio::buffer(client->received), [self, client](const error_code &failed, std::size_t) {
                if (failed) {
                    self->end(*client);
                } else {
                    self->readLater(client);
                }
            });
        });
    }

    void end(Client &client)
    {
        closed += client.isClosed ? 0 : 1;
        client.isClosed = true;
        client.isDone = true;
        error_code ignored;
        client.socket.close(ignored);
    }

    asio::io_context &io;
    const ClientLoad load;
    const std::uint16_t port;
    asio::steady_timer connectTimer;
    std::vector<std::shared_ptr<Client>> clients;
    std::uint64_t sent = 0;
    unsigned closed = 0;
};

Crowd::Crowd(asio::io_context &io, const ClientLoad &load, std::uint16_t port)
    : d_(std::make_shared<Private>(io, load, port))
{
    d_->connectSome();
}

Crowd::~Crowd() = default;

bool Crowd::hasSentAll() const
{
    bool isDone = d_->clients.size() == d_->load.clients;
    for (const auto &client : d_->clients) {
        isDone = isDone && client->isDone;
    }
    return isDone;
}

std::uint64_t Crowd::sentBytes() const
{
    return d_->sent;
}

unsigned Crowd::closed() const
{
    return d_->closed;
}

void Crowd::close()
{
    error_code ignored;
    d_->connectTimer.cancel();
    for (const auto &client : d_->clients) {
        client->timer.cancel();
        client->readTimer.cancel();
        client->socket.close(ignored);
    }
}

} // namespace daisystream::crowd
