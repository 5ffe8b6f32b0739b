#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(vm, "127.0.0.1:8080", "address of a VM");
DEFINE_string(model, "assistant", "model that answers");

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

void ask(const std::string &prompt)
{
    asio::io_context io;
    beast::tcp_stream vm(io);
    const auto colon = FLAGS_vm.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(FLAGS_vm.substr(colon + 1)));
    vm.connect(asio::ip::tcp::endpoint(asio::ip::make_address(FLAGS_vm.substr(0, colon)), port));
    http::request<http::string_body> request(http::verb::post, "/v1/completions", 11);
    request.set(http::field::content_type, "application/json");
    request.body() = R"({"model":")" + FLAGS_model + R"(","stream":true,"prompt":")" + prompt + R"("})";
    request.prepare_payload();
    http::write(vm, request);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(vm, buffer, response);
    std::cout << response.body();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("daisystream ask PROMPT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 3 || std::string(argv[1]) != "ask") {
        std::cerr << gflags::ProgramUsage() << '\n';
        return 2;
    }
    try {
        ask(argv[2]);
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << '\n';
        return 1;
    }
    return 0;
}
