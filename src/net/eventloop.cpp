#include "net/eventloop.h"

#include <csignal>

#include "net/h2oclient.h"
#include "net/h2oserver.h"
#include "net/looptimerservice.h"
#include "net/signalwatch.h"

namespace currantwalk {

// The loop wakes at least this often; nothing depends on it.
static constexpr Duration LongestWait = std::chrono::seconds(10);
// Rounds in which connections that were shut down are released at the end.
static constexpr int MaxClosingRounds = 1000;

namespace {

/// Owns the library's loop, which must be destroyed after all that uses it.
struct NativeLoop
{
    NativeLoop() : loop(h2o_evloop_create()) {}
    ~NativeLoop() { h2o_evloop_destroy(loop); }
    NativeLoop(const NativeLoop &) = delete;
    NativeLoop &operator=(const NativeLoop &) = delete;

    h2o_loop_t *loop;
};

class H2oEventLoop final : public EventLoop
{
public:
    H2oEventLoop();
    ~H2oEventLoop() override;
    H2oEventLoop(const H2oEventLoop &) = delete;
    H2oEventLoop &operator=(const H2oEventLoop &) = delete;

    absl::Status open(const Options &options);

    TimerService &timers() override { return m_timers; }
    HttpServer &server() override { return m_server; }
    HttpClient &client() override { return *m_client; }
    void run() override;
    void runOnce(Duration limit) override;
    void stop() override { m_isStopped = true; }
    absl::Status onSignal(int number, std::function<void()> callback) override;

private:
    void runRound(Duration limit);

    NativeLoop m_native;
    LoopTimerService m_timers;
    SignalWatch m_signals;
    H2oServer m_server;
    std::unique_ptr<H2oClient> m_client;
    bool m_isStopped = false;
};

} // namespace

H2oEventLoop::H2oEventLoop()
    : m_timers(m_native.loop), m_signals(m_native.loop), m_server(m_native.loop, m_timers)
{
}

absl::Status H2oEventLoop::open(const Options &options)
{
    // A write to a closed connection is reported by its result.
    std::signal(SIGPIPE, SIG_IGN);
    absl::StatusOr<std::unique_ptr<H2oClient>> client =
            H2oClient::create(m_native.loop, m_timers, options);
    if (!client.ok())
        return client.status();
    m_client = std::move(*client);
    return absl::OkStatus();
}

// The library releases a connection only from within its rounds. Whatever handlers and
// subscriptions refer to may be gone by now, so none of them is called any more.
H2oEventLoop::~H2oEventLoop()
{
    m_timers.close();
    m_client.reset();
    m_server.stopListening();
    m_server.disconnectAll();
    for (int round = 0; round < MaxClosingRounds && m_server.connections() != 0; ++round)
        runRound(std::chrono::milliseconds(1));
}

void H2oEventLoop::run()
{
    m_isStopped = false;
    // What was started outside the loop is served without waiting.
    m_timers.requestRound();
    while (!m_isStopped)
        runRound(LongestWait);
}

void H2oEventLoop::runOnce(Duration limit)
{
    m_timers.requestRound();
    runRound(Duration::zero());
    runRound(limit);
}

void H2oEventLoop::runRound(Duration limit)
{
    const Duration wait = m_timers.waitBudget(limit);
    if (wait == Duration::zero())
        m_timers.requestRound();
    m_timers.onRoundBegin(wait);
    h2o_evloop_run(
            m_native.loop,
            static_cast<std::int32_t>(std::chrono::ceil<std::chrono::milliseconds>(wait).count()));
    m_timers.onRoundEnd();
    m_server.onRoundEnd();
}

absl::Status H2oEventLoop::onSignal(int number, std::function<void()> callback)
{
    return m_signals.watch(number, std::move(callback));
}

absl::StatusOr<std::unique_ptr<EventLoop>> EventLoop::create(const Options &options)
{
    auto loop = std::make_unique<H2oEventLoop>();
    const absl::Status status = loop->open(options);
    if (!status.ok())
        return status;
    return loop;
}

} // namespace currantwalk
