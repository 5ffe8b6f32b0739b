#include "daemon/endpoints/serviceclient.h"

#include "daemon/http/responsereader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

ServiceResult callService(const EndpointSettings &endpoint, HttpRequest request, const FrontendOptions &options, asio::yield_context yield)
{
    ServiceResult result;
    error_code error;
    const auto fail = [&](const char *problem) {
        const auto code = error == beast::error::timeout && result.bytesSent ? ResultCode::EndpointSilent : ResultCode::EndpointUnreachable;
        result.error = {code, "service instance " + endpoint.id.value() + " " + problem + ": " + error.message(), {}};
        return result;
    };
    request.version(11);
    request.keep_alive(false);
    request.set(http::field::host, toString(endpoint.address));
    if (!endpoint.authorizationHeader.empty()) {
        request.set(http::field::authorization, endpoint.authorizationHeader);
    }
    request.prepare_payload();

    beast::tcp_stream stream(yield.get_executor());
    const auto ip = asio::ip::make_address(endpoint.address.ip, error);
    stream.expires_after(options.endpointConnectTimeout);
    if (!error) {
        stream.async_connect(asio::ip::tcp::endpoint(ip, endpoint.address.port), yield[error]);
    }
    if (error) {
        return fail("is unreachable");
    }
    stream.expires_after(options.serviceTimeout);
    const std::size_t sent = http::async_write(stream, request, yield[error]);
    result.bytesSent = sent > 0;
    if (error) {
        return fail("failed while the request was being sent");
    }
    ResponseReader reader(request.method(), {.bodyBytes = options.bodyLimitBytes});
    error = reader.readAll(stream, yield);
    if (error) {
        return fail("sent no complete response");
    }
    result.response = reader.release();
    return result;
}

} // namespace daisystream
