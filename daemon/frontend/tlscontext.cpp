#include "daemon/frontend/tlscontext.h"

#include <glog/logging.h>

#include <filesystem>
#include <mutex>

namespace daisystream
{

namespace ssl = boost::asio::ssl;

namespace
{

using Stamps = std::vector<std::filesystem::file_time_type>;

Stamps readStamps(const TlsSettings &settings)
{
    Stamps stamps;
    for (const auto &file : {settings.certificateFile, settings.keyFile, settings.authorityFile}) {
        std::error_code error;
        stamps.push_back(std::filesystem::last_write_time(file, error));
    }
    return stamps;
}

} // namespace

class TlsContexts::Private
{
public:
    std::optional<Error> load()
    {
        auto loaded = std::make_shared<ssl::context>(ssl::context::tls);
        stamps = readStamps(settings);
        try {
            loaded->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
            loaded->use_certificate_chain_file(settings.certificateFile);
            loaded->use_private_key_file(settings.keyFile, ssl::context::pem);
            if (!settings.authorityFile.empty()) {
                loaded->load_verify_file(settings.authorityFile);
                loaded->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
            }
        } catch (const boost::system::system_error &fault) {
            return Error{ResultCode::InvalidDocument, "TLS files " + settings.certificateFile + ", " + settings.keyFile + ": " + fault.what(), {}};
        }
        context = loaded;
        return std::nullopt;
    }

    TlsSettings settings;
    std::mutex mutex; // Lock order 7.
    std::shared_ptr<ssl::context> context;
    Stamps stamps;
};

TlsContexts::TlsContexts(TlsSettings settings)
    : d_(std::make_unique<Private>())
{
    d_->settings = std::move(settings);
}

TlsContexts::~TlsContexts() = default;

std::optional<Error> TlsContexts::load()
{
    const std::lock_guard lock(d_->mutex);
    return d_->load();
}

std::shared_ptr<ssl::context> TlsContexts::current()
{
    const std::lock_guard lock(d_->mutex);
    if (d_->context && readStamps(d_->settings) != d_->stamps) {
        if (const auto error = d_->load()) {
            LOG(ERROR) << error->detail;
        }
    }
    return d_->context;
}

} // namespace daisystream
