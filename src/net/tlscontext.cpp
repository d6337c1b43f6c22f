#include "net/tlscontext.h"

#include <array>
#include <cassert>

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

namespace currantwalk {

// Sessions may not be resumed across contexts that check client certificates.
static constexpr std::string_view SessionContext = "currantwalk";

static absl::Status tlsError(std::string_view what, const std::string &file)
{
    std::array<char, 256> reason{};
    ERR_error_string_n(ERR_get_error(), reason.data(), reason.size());
    ERR_clear_error();
    std::string detail(what);
    detail.append(" \"").append(file).append("\": ").append(reason.data());
    return makeError(ErrorCode::TlsInvalid, detail);
}

absl::Status TlsContext::loadPair(const TlsFiles &files)
{
    if (SSL_CTX_use_certificate_chain_file(m_context, files.certificate.c_str()) != 1)
        return tlsError("certificate", files.certificate);
    if (SSL_CTX_use_PrivateKey_file(m_context, files.privateKey.c_str(), SSL_FILETYPE_PEM) != 1)
        return tlsError("private key", files.privateKey);
    if (SSL_CTX_check_private_key(m_context) != 1)
        return tlsError("private key", files.privateKey);
    return absl::OkStatus();
}

absl::Status TlsContext::loadAuthorities(const std::string &file)
{
    if (SSL_CTX_load_verify_locations(m_context, file.c_str(), nullptr) != 1)
        return tlsError("authorities", file);
    return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<TlsContext>> TlsContext::forServer(const TlsFiles &files)
{
    std::unique_ptr<TlsContext> context(new TlsContext(SSL_CTX_new(TLS_server_method())));
    SSL_CTX *native = context->native();
    assert(native && "the library allocates a context or ends the program");
    SSL_CTX_set_min_proto_version(native, TLS1_2_VERSION);
    if (const absl::Status status = context->loadPair(files); !status.ok())
        return status;
    SSL_CTX_set_session_id_context(native,
                                   reinterpret_cast<const unsigned char *>(SessionContext.data()),
                                   SessionContext.size());
    if (files.authorities.empty())
        return context;
    if (const absl::Status status = context->loadAuthorities(files.authorities); !status.ok())
        return status;
    SSL_CTX_set_client_CA_list(native, SSL_load_client_CA_file(files.authorities.c_str()));
    SSL_CTX_set_verify(native, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
    return context;
}

absl::StatusOr<std::unique_ptr<TlsContext>> TlsContext::forClient(const TlsFiles &files)
{
    std::unique_ptr<TlsContext> context(new TlsContext(SSL_CTX_new(TLS_client_method())));
    SSL_CTX *native = context->native();
    assert(native && "the library allocates a context or ends the program");
    SSL_CTX_set_min_proto_version(native, TLS1_2_VERSION);
    if (!files.certificate.empty()) {
        if (const absl::Status status = context->loadPair(files); !status.ok())
            return status;
    }
    if (files.authorities.empty()) {
        SSL_CTX_set_default_verify_paths(native);
    } else if (const absl::Status status = context->loadAuthorities(files.authorities);
               !status.ok()) {
        return status;
    }
    SSL_CTX_set_verify(native, SSL_VERIFY_PEER, nullptr);
    return context;
}

// The library of the HTTP client compares no names for endpoints given by number, so the check is
// part of the chain's verification, which needs a context for each address.
std::unique_ptr<TlsContext> TlsContext::forServerAt(const std::string &address) const
{
    std::unique_ptr<TlsContext> copy(new TlsContext(SSL_CTX_new(TLS_client_method())));
    SSL_CTX *native = copy->native();
    assert(native && "the library allocates a context or ends the program");
    SSL_CTX_set_min_proto_version(native, TLS1_2_VERSION);
    SSL_CTX_set1_cert_store(native, SSL_CTX_get_cert_store(m_context));
    SSL_CTX_set_verify(native, SSL_VERIFY_PEER, nullptr);
    [[maybe_unused]] const int isNumber =
            X509_VERIFY_PARAM_set1_ip_asc(SSL_CTX_get0_param(native), address.c_str());
    assert(isNumber == 1 && "endpoints are given by IP number");
    if (X509 *certificate = SSL_CTX_get0_certificate(m_context)) {
        STACK_OF(X509) *chain = nullptr;
        SSL_CTX_get0_chain_certs(m_context, &chain);
        SSL_CTX_use_cert_and_key(native, certificate, SSL_CTX_get0_privatekey(m_context), chain, 1);
    }
    return copy;
}

TlsContext::~TlsContext()
{
    SSL_CTX_free(m_context);
}

} // namespace currantwalk
