#ifndef CURRANTWALK_NET_H2OCLIENT_H
#define CURRANTWALK_NET_H2OCLIENT_H

#include <map>

#include "net/eventloop.h"
#include "net/h2ocall.h"
#include "net/tlscontext.h"

namespace currantwalk {

/// The client of a loop: one pool of connections for each endpoint.
class H2oClient final : public HttpClient
{
public:
    static absl::StatusOr<std::unique_ptr<H2oClient>> create(h2o_loop_t *loop, TimerService &timers,
                                                             const EventLoop::Options &options);
    ~H2oClient() override;
    H2oClient(const H2oClient &) = delete;
    H2oClient &operator=(const H2oClient &) = delete;

    std::unique_ptr<HttpCall> send(const HttpCallOptions &options, HttpRequest request,
                                   HttpCallHooks hooks) override;

private:
    using PoolKey = std::pair<Endpoint, bool>; ///< The endpoint and whether TLS is used.

    H2oClient(h2o_loop_t *loop, TimerService &timers, const EventLoop::Options &options);
    ClientPool *poolFor(const HttpCallOptions &options);
    void dropUnusedPools();

    h2o_loop_t *m_loop;
    h2o_timeout_t m_ioTimeout{};
    std::unique_ptr<TlsContext> m_tls;
    std::shared_ptr<ClientContext> m_context;
    std::map<PoolKey, std::unique_ptr<ClientPool>> m_pools;
    ClientPool m_refused; ///< For endpoints that are no IP numbers; never connected.
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_H2OCLIENT_H
