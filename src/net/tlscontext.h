#ifndef CURRANTWALK_NET_TLSCONTEXT_H
#define CURRANTWALK_NET_TLSCONTEXT_H

#include <memory>

#include "base/error.h"
#include "net/http.h"

using SSL_CTX = struct ssl_ctx_st;

namespace currantwalk {

/// A TLS configuration for one listener or for the client side of a loop. Versions below 1.2 are
/// refused.
class TlsContext
{
public:
    /// Fails with TlsInvalid, naming the file.
    static absl::StatusOr<std::unique_ptr<TlsContext>> forServer(const TlsFiles &files);
    /// The client shows its certificate where one is set, and checks servers against the
    /// authorities, or against those of the system where none are set.
    static absl::StatusOr<std::unique_ptr<TlsContext>> forClient(const TlsFiles &files);

    /// Returns a copy of a client's context that accepts only servers whose certificate names the
    /// IP number \a address among its subject alternative names.
    std::unique_ptr<TlsContext> forServerAt(const std::string &address) const;

    ~TlsContext();
    TlsContext(const TlsContext &) = delete;
    TlsContext &operator=(const TlsContext &) = delete;

    SSL_CTX *native() { return m_context; }

private:
    explicit TlsContext(SSL_CTX *context) : m_context(context) {}
    absl::Status loadPair(const TlsFiles &files);
    absl::Status loadAuthorities(const std::string &file);

    SSL_CTX *m_context;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_TLSCONTEXT_H
