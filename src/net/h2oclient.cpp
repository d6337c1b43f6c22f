#include "net/h2oclient.h"

#include "net/socketaddress.h"

namespace currantwalk {

// Shorter than the time for which servers commonly keep an idle connection, so that a request is
// seldom written to one that is being closed.
static constexpr std::chrono::milliseconds IdleConnectionLifetime = std::chrono::seconds(4);
// The exchanges keep their own deadlines; the library's must never fire first.
static constexpr std::chrono::milliseconds LibraryTimeout = std::chrono::hours(24 * 365);
// Endpoints come and go with the VMs; beyond this many, pools without connections are dropped.
static constexpr std::size_t MaxUnusedPools = 256;

absl::StatusOr<std::unique_ptr<H2oClient>> H2oClient::create(h2o_loop_t *loop, TimerService &timers,
                                                             const EventLoop::Options &options)
{
    std::unique_ptr<H2oClient> client(new H2oClient(loop, timers, options));
    if (!options.clientTls)
        return client;
    absl::StatusOr<std::unique_ptr<TlsContext>> tls = TlsContext::forClient(*options.clientTls);
    if (!tls.ok())
        return tls.status();
    client->m_tls = std::move(*tls);
    return client;
}

H2oClient::H2oClient(h2o_loop_t *loop, TimerService &timers, const EventLoop::Options &options)
    : m_loop(loop), m_context(new ClientContext{timers, 0, 0, {}})
{
    h2o_timeout_init(m_loop, &m_ioTimeout, LibraryTimeout.count());
    m_context->maxHeadBytes = options.maxHeadBytes;
    m_context->maxIdleConnections = options.maxIdleConnectionsPerEndpoint;
}

H2oClient::~H2oClient()
{
    const std::unordered_set<ClientExchange *> exchanges = m_context->exchanges;
    for (ClientExchange *exchange : exchanges)
        exchange->abandon();
    for (const auto &[key, pool] : m_pools)
        h2o_socketpool_dispose(&pool->native);
    h2o_timeout_dispose(m_loop, &m_ioTimeout);
}

std::unique_ptr<HttpCall> H2oClient::send(const HttpCallOptions &options, HttpRequest request,
                                          HttpCallHooks hooks)
{
    const bool lacksTls = options.useTls && !m_tls;
    ClientPool *pool = lacksTls ? nullptr : poolFor(options);
    auto exchange = std::make_shared<ClientExchange>(m_context, pool ? *pool : m_refused, options,
                                                     std::move(request), std::move(hooks));
    if (pool)
        exchange->start();
    else if (lacksTls)
        exchange->refuse(makeError(ErrorCode::ConnectFailed, "TLS is not set up for the client"));
    else
        exchange->refuse(makeError(ErrorCode::ConnectFailed, "the endpoint is no IP number"));
    return std::make_unique<H2oCall>(std::move(exchange));
}

ClientPool *H2oClient::poolFor(const HttpCallOptions &options)
{
    const PoolKey key{options.endpoint, options.useTls};
    const auto it = m_pools.find(key);
    if (it != m_pools.end())
        return it->second.get();
    absl::StatusOr<SocketAddress> address = SocketAddress::fromEndpoint(options.endpoint);
    if (!address.ok())
        return nullptr;
    if (m_pools.size() >= MaxUnusedPools)
        dropUnusedPools();
    auto pool = std::make_unique<ClientPool>();
    pool->client.loop = m_loop;
    pool->client.io_timeout = &m_ioTimeout;
    if (options.useTls) {
        pool->tls = m_tls->forServerAt(options.endpoint.address);
        pool->client.ssl_ctx = pool->tls->native();
    }
    h2o_socketpool_init_by_address(&pool->native, address->data(), address->size(),
                                   options.useTls ? 1 : 0, SIZE_MAX);
    h2o_socketpool_set_timeout(&pool->native, m_loop, IdleConnectionLifetime.count());
    return m_pools.emplace(key, std::move(pool)).first->second.get();
}

void H2oClient::dropUnusedPools()
{
    for (auto it = m_pools.begin(); it != m_pools.end();) {
        ClientPool &pool = *it->second;
        if (pool.active != 0 || pool.native._shared.count != 0) {
            ++it;
            continue;
        }
        h2o_socketpool_dispose(&pool.native);
        it = m_pools.erase(it);
    }
}

} // namespace currantwalk
