#include "drain/drain.h"

#include <array>
#include <cassert>
#include <utility>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr Duration CheckInterval = std::chrono::milliseconds(100);

static constexpr std::array<EnumName<DrainPhase>, 5> PhaseNames{{
        {DrainPhase::Serving, "serving"},
        {DrainPhase::Announcing, "announcing"},
        {DrainPhase::Refusing, "refusing"},
        {DrainPhase::Settling, "settling"},
        {DrainPhase::Finished, "finished"},
}};

std::string_view drainPhaseName(DrainPhase phase)
{
    return enumName(PhaseNames, phase);
}

namespace {

class PhasedDrain : public Drain
{
public:
    PhasedDrain(const Options &options, Hooks hooks, TimerService &timers)
        : m_options(options), m_hooks(std::move(hooks)), m_timers(timers)
    {
    }

    ~PhasedDrain() override
    {
        m_timers.cancel(m_timer);
        m_timers.cancel(m_deadlineTimer);
    }

    PhasedDrain(const PhasedDrain &) = delete;
    PhasedDrain &operator=(const PhasedDrain &) = delete;

    void begin() override;
    void setDeadline(Duration fromNow) override;
    DrainPhase phase() const override { return m_phase; }
    bool isReady() const override { return m_phase == DrainPhase::Serving; }
    bool isAcceptingRequests() const override { return m_phase <= DrainPhase::Announcing; }

private:
    void enter(DrainPhase next);
    void scheduleCheck(Duration delay);
    void check();
    bool isServing() const;
    void startSettling();
    void finish();

    const Options m_options;
    const Hooks m_hooks;
    TimerService &m_timers;
    DrainPhase m_phase = DrainPhase::Serving;
    TimerId m_timer = NoTimer;
    TimerId m_deadlineTimer = NoTimer;
};

} // namespace

std::unique_ptr<Drain> Drain::create(const Options &options, Hooks hooks, TimerService &timers)
{
    return std::make_unique<PhasedDrain>(options, std::move(hooks), timers);
}

void PhasedDrain::begin()
{
    if (m_phase != DrainPhase::Serving)
        return;
    enter(DrainPhase::Announcing);
    scheduleCheck(m_options.announceTime);
}

// Only an operator may limit the wait, and only once the drain has begun.
void PhasedDrain::setDeadline(Duration fromNow)
{
    if (m_phase == DrainPhase::Serving || m_phase == DrainPhase::Finished)
        return;
    m_timers.cancel(m_deadlineTimer);
    m_deadlineTimer = m_timers.scheduleAfter(fromNow, [this] { finish(); });
}

void PhasedDrain::enter(DrainPhase next)
{
    assert(next > m_phase && "drain phases only advance");
    m_phase = next;
    m_hooks.onPhaseChanged(next);
}

void PhasedDrain::scheduleCheck(Duration delay)
{
    m_timer = m_timers.scheduleAfter(delay, [this] { check(); });
}

void PhasedDrain::check()
{
    if (m_phase == DrainPhase::Announcing)
        enter(DrainPhase::Refusing);
    if (m_phase == DrainPhase::Refusing && !isServing())
        startSettling();
    // A request that is refused meanwhile has an answer to send, too.
    if (m_phase == DrainPhase::Settling && m_hooks.unsettledClaims() == 0 && !isServing())
        return finish();
    scheduleCheck(CheckInterval);
}

// A request has ended for the node when its answer is decided; for its caller when it is sent.
bool PhasedDrain::isServing() const
{
    return m_hooks.requestsInProgress() != 0 || m_hooks.unsentAnswers() != 0;
}

// Leases are dropped only now, because requests in progress may still need them.
void PhasedDrain::startSettling()
{
    enter(DrainPhase::Settling);
    m_hooks.handOver();
}

void PhasedDrain::finish()
{
    m_timers.cancel(m_timer);
    m_timers.cancel(m_deadlineTimer);
    m_timer = NoTimer;
    m_deadlineTimer = NoTimer;
    if (m_phase < DrainPhase::Settling)
        startSettling();
    enter(DrainPhase::Finished);
    m_hooks.exit();
}

} // namespace currantwalk
