#include "standin/faultgate.h"

#include <utility>

#include "standin/replies.h"

namespace currantwalk::standin {

namespace {

/// Lets an action take effect while its answer goes nowhere.
class DiscardingExchange : public HttpExchange
{
public:
    explicit DiscardingExchange(std::shared_ptr<HttpExchange> real) : m_real(std::move(real)) {}

    const HttpRequest &request() const override { return m_real->request(); }
    std::string remoteAddress() const override { return m_real->remoteAddress(); }
    void start(HttpResponseHead) override {}
    void write(std::string) override {}
    void finish() override {}
    void abort() override {}
    void closeAfterAnswer() override {}
    std::size_t pendingBytes() const override { return 0; }
    void onDrained(std::function<void()>) override {}
    void onClosed(std::function<void()>) override {}
    bool isClosed() const override { return true; }

private:
    std::shared_ptr<HttpExchange> m_real;
};

} // namespace

FaultGate::~FaultGate()
{
    m_timers.cancel(m_clearTimer);
}

void FaultGate::set(const Fault &fault)
{
    clear();
    m_fault = fault;
    if (fault.lasts > Duration(0))
        m_clearTimer = m_timers.scheduleAfter(fault.lasts, [this] { clear(); });
}

void FaultGate::clear()
{
    m_timers.cancel(std::exchange(m_clearTimer, NoTimer));
    m_fault.reset();
    for (Held &held : std::exchange(m_held, {}))
        held.action(std::move(held.exchange));
    if (m_onCleared)
        m_onCleared();
}

void FaultGate::pass(std::shared_ptr<HttpExchange> exchange, Action action)
{
    if (m_fault && m_random.chance(m_fault->share))
        strike(std::move(exchange), std::move(action));
    else
        action(std::move(exchange));
}

void FaultGate::strike(std::shared_ptr<HttpExchange> exchange, Action action)
{
    switch (m_fault->kind) {
    case FaultKind::Outage:
        exchange->abort();
        return;
    case FaultKind::LostAnswers:
        action(std::make_shared<DiscardingExchange>(exchange));
        exchange->abort();
        return;
    case FaultKind::Slow:
        m_timers.scheduleAfter(m_fault->delay, [exchange, action] { action(exchange); });
        return;
    case FaultKind::Stall:
        m_held.push_back({std::move(exchange), std::move(action)});
        return;
    case FaultKind::Reset:
        m_fault.reset();
        exchange->abort();
        return;
    case FaultKind::Busy:
        replyError(*exchange, makeError(ErrorCode::TargetBusy, "asked to be busy"));
        return;
    }
}

} // namespace currantwalk::standin
