#include "daemon/tests/simnet.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

/// The server's side of a conversation.
class SimExchange : public HttpExchange
{
public:
    SimExchange(SimNet &net, std::shared_ptr<SimConversation> conversation)
        : m_net(net), m_conversation(std::move(conversation))
    {
    }

    const HttpRequest &request() const override { return m_conversation->request; }
    std::string remoteAddress() const override { return m_conversation->client; }

    void start(HttpResponseHead head) override
    {
        toClient(0, [head = std::move(head)](SimConversation &to) {
            if (to.hooks.onHead)
                to.hooks.onHead(head);
        });
    }

    void write(std::string data) override
    {
        const std::size_t bytes = data.size();
        toClient(bytes, [data = std::move(data)](SimConversation &to) {
            if (to.hooks.onBody)
                to.hooks.onBody(data);
        });
    }

    void finish() override { end(absl::OkStatus()); }

    // What the client has not read is lost.
    void abort() override
    {
        m_conversation->isCutOff = true;
        m_conversation->readUntil = {};
        end(makeError(ErrorCode::ConnectionLost, "reset"));
    }

    void closeAfterAnswer() override {}
    std::size_t pendingBytes() const override { return m_conversation->pendingBytes; }

    void onDrained(std::function<void()> callback) override
    {
        m_conversation->onDrained = std::move(callback);
    }

    void onClosed(std::function<void()> callback) override
    {
        m_conversation->onServerClosed = std::move(callback);
    }

    bool isClosed() const override { return !m_conversation->isServerOpen; }

private:
    void toClient(std::size_t bytes, std::function<void(SimConversation &)> action)
    {
        const std::shared_ptr<SimConversation> to = m_conversation;
        if (!to->isServerOpen || to->isMuted)
            return;
        const auto send = [&net = m_net, to, action = std::move(action)] {
            net.deliver(to->server.address, to->client, [to, action] {
                if (to->isClientOpen)
                    action(*to);
            });
        };
        if (to->isCutOff)
            send();
        else
            m_net.whenRead(to, bytes, send);
    }

    void end(const absl::Status &status)
    {
        const std::shared_ptr<SimConversation> to = m_conversation;
        to->isUnsent = to->pendingBytes > 0 && !to->isCutOff;
        toClient(0, [to, status, &net = m_net](SimConversation &) { net.endClient(to, status); });
        to->isServerOpen = false;
        to->onServerClosed = nullptr;
    }

    SimNet &m_net;
    const std::shared_ptr<SimConversation> m_conversation;
};

namespace {

class SimCall : public HttpCall
{
public:
    SimCall(SimNet &net, std::shared_ptr<SimConversation> conversation)
        : m_net(net), m_conversation(std::move(conversation))
    {
    }

    ~SimCall() override
    {
        if (!m_conversation->isClientOpen)
            return;
        m_conversation->isClientOpen = false;
        m_conversation->hooks = {};
        m_net.endServer(m_conversation);
    }

    SimCall(const SimCall &) = delete;
    SimCall &operator=(const SimCall &) = delete;

    SendProgress progress() const override { return m_conversation->progress; }
    void pause() override {}
    void resume() override {}

private:
    SimNet &m_net;
    const std::shared_ptr<SimConversation> m_conversation;
};

} // namespace

bool SimNet::canReach(const std::string &from, const std::string &to) const
{
    return !isReachable || isReachable(from, to);
}

void SimNet::deliver(const std::string &from, const std::string &host, std::function<void()> action)
{
    TimePoint arrival = m_timers.now() + Latency;
    if (extraDelay) {
        TimePoint &last = m_lastArrivals[{from, host}];
        arrival = last = std::max(arrival + extraDelay(from, host), last);
    }
    m_timers.scheduleAt(arrival, [this, from, host, action = std::move(action)] {
        if (!canReach(from, host))
            return;
        const auto timers = m_hosts.find(host);
        if (timers == m_hosts.end())
            action();
        else
            timers->second->run(action);
    });
}

void SimNet::listen(const Endpoint &endpoint, HttpHandler handler)
{
    m_silent.erase(endpoint);
    m_listeners[endpoint] = std::move(handler);
}

void SimNet::close(const Endpoint &endpoint, SimEnd end)
{
    m_listeners.erase(endpoint);
    if (end == SimEnd::Silent)
        m_silent.insert(endpoint);
    const auto conversations = m_conversations;
    for (const auto &[number, each] : conversations) {
        if ((!each->isServerOpen && !each->isUnsent) || each->server != endpoint)
            continue;
        each->isServerOpen = false;
        each->isUnsent = false;
        each->isCutOff = true;
        each->onServerClosed = nullptr;
        each->isMuted = end == SimEnd::Silent;
        if (!each->isMuted)
            deliver(endpoint.address, each->client, [this, each = each] {
                endClient(each, makeError(ErrorCode::ConnectionLost, "reset"));
            });
    }
}

void SimNet::whenRead(const std::shared_ptr<SimConversation> &conversation, std::size_t bytes,
                      std::function<void()> action)
{
    const std::size_t rate = readRate ? readRate(conversation->client) : 0;
    if (rate == 0 && conversation->pendingBytes == 0) {
        action();
        return;
    }
    conversation->pendingBytes += bytes;
    const Duration time = rate == 0 ? Duration::zero()
                                    : Duration(std::chrono::microseconds(bytes * 1000000 / rate));
    conversation->readUntil = std::max(conversation->readUntil, m_timers.now()) + time;
    m_timers.scheduleAt(
            conversation->readUntil, [this, conversation, bytes, action = std::move(action)] {
                conversation->pendingBytes -= bytes;
                if (conversation->isCutOff)
                    return;
                action();
                if (conversation->pendingBytes > 0)
                    return;
                conversation->isUnsent = false;
                const auto host = m_hosts.find(conversation->server.address);
                if (host != m_hosts.end() && conversation->isServerOpen && conversation->onDrained)
                    host->second->run([conversation] {
                        if (conversation->isServerOpen)
                            conversation->onDrained();
                    });
            });
}

HttpUnsentAnswers SimNet::unsentAnswers(const std::string &host) const
{
    HttpUnsentAnswers unsent;
    for (const auto &[number, each] : m_conversations) {
        if (!each->isUnsent || each->server.address != host)
            continue;
        ++unsent.answers;
        unsent.bytes += each->pendingBytes;
    }
    return unsent;
}

// The hooks of a conversation may own what holds the conversation.
SimNet::~SimNet()
{
    for (const auto &[number, conversation] : m_conversations) {
        conversation->hooks = {};
        conversation->onServerClosed = nullptr;
        conversation->onDrained = nullptr;
    }
}

void SimNet::removeHost(const std::string &host)
{
    m_hosts.erase(host);
    std::vector<Endpoint> endpoints;
    for (const auto &[endpoint, handler] : m_listeners) {
        if (endpoint.address == host)
            endpoints.push_back(endpoint);
    }
    for (const Endpoint &endpoint : endpoints)
        close(endpoint, SimEnd::Reset);
    const auto conversations = m_conversations;
    for (const auto &[number, each] : conversations) {
        if (each->client != host || !each->isClientOpen)
            continue;
        each->isClientOpen = false;
        each->hooks = {};
        endServer(each);
    }
}

std::unique_ptr<HttpCall> SimNet::send(const std::string &client, const HttpCallOptions &options,
                                       HttpRequest request, HttpCallHooks hooks)
{
    const auto conversation = std::make_shared<SimConversation>();
    conversation->client = client;
    conversation->server = options.endpoint;
    conversation->request = std::move(request);
    conversation->hooks = std::move(hooks);
    conversation->number = ++m_lastConversation;
    m_conversations.emplace(conversation->number, conversation);
    if (isSendable(conversation->request))
        connect(conversation, options);
    else
        refuseUnsendable(conversation);
    return std::make_unique<SimCall>(*this, conversation);
}

// Fails as the client on the loop does.
void SimNet::refuseUnsendable(const std::shared_ptr<SimConversation> &conversation)
{
    conversation->deadline = m_timers.scheduleAfter(Duration::zero(), [this, conversation] {
        endClient(conversation,
                  makeError(ErrorCode::InvalidRequest, "malformed method, path or header"));
    });
}

void SimNet::connect(const std::shared_ptr<SimConversation> &conversation,
                     const HttpCallOptions &options)
{
    const std::string client = conversation->client;
    const std::string server = options.endpoint.address;
    conversation->deadline = m_timers.scheduleAfter(options.connectTimeout, [this, conversation] {
        endClient(conversation, makeError(ErrorCode::ConnectFailed, "timeout"));
    });
    deliver(client, server, [this, conversation, client, server, options] {
        const Endpoint &endpoint = options.endpoint;
        if (m_silent.contains(endpoint))
            return;
        const bool isListening = m_listeners.contains(endpoint);
        deliver(server, client, [this, conversation, isListening, options] {
            if (!conversation->isClientOpen)
                return;
            if (!isListening) {
                endClient(conversation, makeError(ErrorCode::ConnectFailed, "refused"));
                return;
            }
            if (conversation->hooks.mayWrite && !conversation->hooks.mayWrite()) {
                endClient(conversation, makeError(ErrorCode::Cancelled, "withdrawn"));
                return;
            }
            conversation->progress = SendProgress::Sent;
            m_timers.cancel(conversation->deadline);
            conversation->deadline = m_timers.scheduleAfter(options.headTimeout, [this,
                                                                                  conversation] {
                endClient(conversation, makeError(ErrorCode::DeadlineExceeded, "no answer"));
            });
            accept(conversation);
        });
    });
}

void SimNet::accept(const std::shared_ptr<SimConversation> &conversation)
{
    if (onRequest)
        onRequest(conversation->client, conversation->server, conversation->request);
    deliver(conversation->client, conversation->server.address, [this, conversation] {
        const Endpoint &endpoint = conversation->server;
        const auto listener = m_listeners.find(endpoint);
        if (listener == m_listeners.end()) {
            if (!m_silent.contains(endpoint))
                deliver(conversation->server.address, conversation->client, [this, conversation] {
                    endClient(conversation, makeError(ErrorCode::ConnectionLost, "reset"));
                });
            return;
        }
        if (!conversation->isClientOpen)
            return;
        conversation->isServerOpen = true;
        const HttpHandler handler = listener->second;
        handler(std::make_shared<SimExchange>(*this, conversation));
    });
}

void SimNet::endClient(const std::shared_ptr<SimConversation> &conversation,
                       const absl::Status &status)
{
    m_timers.cancel(std::exchange(conversation->deadline, NoTimer));
    m_conversations.erase(conversation->number);
    if (!std::exchange(conversation->isClientOpen, false))
        return;
    if (!status.ok())
        endServer(conversation);
    const HttpCallHooks hooks = std::exchange(conversation->hooks, {});
    if (hooks.onEnd)
        hooks.onEnd(status);
}

void SimNet::endServer(const std::shared_ptr<SimConversation> &conversation)
{
    m_timers.cancel(std::exchange(conversation->deadline, NoTimer));
    m_conversations.erase(conversation->number);
    deliver(conversation->client, conversation->server.address, [conversation] {
        if (!std::exchange(conversation->isServerOpen, false))
            return;
        const std::function<void()> closed = std::exchange(conversation->onServerClosed, nullptr);
        if (closed)
            closed();
    });
}

class SimEventLoop::Server : public HttpServer
{
public:
    Server(SimNet &net, std::string host) : m_net(net), m_host(std::move(host)) {}

    absl::StatusOr<Endpoint> listen(const HttpListenerOptions &options,
                                    HttpHandler handler) override
    {
        const Endpoint endpoint{m_host, options.endpoint.port};
        m_endpoints.push_back(endpoint);
        m_net.listen(endpoint, std::move(handler));
        return endpoint;
    }

    void stopListening() override
    {
        for (const Endpoint &endpoint : std::exchange(m_endpoints, {}))
            m_net.close(endpoint, SimEnd::Reset);
    }

    std::size_t connections() const override { return 0; }
    HttpUnsentAnswers unsentAnswers() const override { return m_net.unsentAnswers(m_host); }

private:
    SimNet &m_net;
    const std::string m_host;
    std::vector<Endpoint> m_endpoints;
};

class SimEventLoop::Client : public HttpClient
{
public:
    Client(SimNet &net, std::string host) : m_net(net), m_host(std::move(host)) {}

    std::unique_ptr<HttpCall> send(const HttpCallOptions &options, HttpRequest request,
                                   HttpCallHooks hooks) override
    {
        return m_net.send(m_host, options, std::move(request), std::move(hooks));
    }

private:
    SimNet &m_net;
    const std::string m_host;
};

SimEventLoop::SimEventLoop(SimNet &net, std::string host)
    : m_net(net),
      m_host(std::move(host)),
      m_timers(net.timers()),
      m_server(std::make_unique<Server>(net, m_host)),
      m_client(std::make_unique<Client>(net, m_host))
{
    m_net.addHost(m_host, m_timers);
}

SimEventLoop::~SimEventLoop()
{
    m_net.removeHost(m_host);
    m_timers.dropAll();
}

HttpServer &SimEventLoop::server()
{
    return *m_server;
}

HttpClient &SimEventLoop::client()
{
    return *m_client;
}

} // namespace currantwalk
