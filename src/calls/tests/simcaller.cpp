#include "calls/tests/simcaller.h"

#include <array>
#include <utility>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<SimRequestKind>, 5> KindNames{{
        {SimRequestKind::Streamed, "streamed"},
        {SimRequestKind::Whole, "whole"},
        {SimRequestKind::Idempotent, "idempotent"},
        {SimRequestKind::Keyed, "keyed"},
        {SimRequestKind::Unkeyed, "unkeyed"},
}};

static constexpr std::array<EnumName<SimOutcome>, 5> OutcomeNames{{
        {SimOutcome::Open, "open"},
        {SimOutcome::Done, "done"},
        {SimOutcome::NotRun, "not-run"},
        {SimOutcome::Failed, "failed"},
        {SimOutcome::Unknown, "unknown"},
}};

std::string_view simRequestKindName(SimRequestKind kind)
{
    return enumName(KindNames, kind);
}

std::string_view simOutcomeName(SimOutcome end)
{
    return enumName(OutcomeNames, end);
}

SimCaller::SimCaller(SimWorld &world, Options options)
    : m_world(world), m_options(std::move(options))
{
}

bool SimCaller::isGeneration() const
{
    return m_options.kind == SimRequestKind::Streamed || m_options.kind == SimRequestKind::Whole;
}

std::string SimCaller::tag() const
{
    if (m_options.kind == SimRequestKind::Keyed)
        return std::string(SimService::KeyPrefix) + m_options.name;
    return m_tag;
}

void SimCaller::reportViolation(const std::string &what)
{
    m_world.reportViolation(std::string(simRequestKindName(m_options.kind)) + " " + m_options.name
                            + ": " + what);
}

GenerationRequest SimCaller::generationRequest() const
{
    GenerationRequest request;
    request.id = RequestId(m_tag);
    request.prompt = "prompt";
    request.fingerprint = stableHash(m_options.name);
    const bool isWhole = m_options.kind == SimRequestKind::Whole;
    request.delivery = isWhole ? Delivery::Buffered : Delivery::Streamed;
    request.lossPolicy = m_options.lossPolicy;
    request.deadline = m_world.timers.now() + m_options.deadline;
    return request;
}

PlainRequest SimCaller::plainRequest() const
{
    PlainRequest request;
    request.id = RequestId(m_tag);
    request.organisation = "organisation";
    request.service = "stock";
    request.method = m_options.kind == SimRequestKind::Idempotent ? "GET" : "POST";
    request.isIdempotent = m_options.kind == SimRequestKind::Idempotent;
    if (m_options.kind == SimRequestKind::Keyed) {
        request.idempotencyKey = tag();
        request.targetChecksKeys = m_world.options.servicesCheckKeys;
    }
    request.deadline = m_world.timers.now() + m_options.deadline;
    request.keyWindow = std::chrono::hours(1);
    return request;
}

void SimCaller::submit(std::size_t node)
{
    m_node = node;
    SimNode &entry = *m_world.nodes[node];
    if (!entry.daemon || !entry.daemon->drain().isAcceptingRequests())
        return onLost();
    ++m_submissions;
    ++m_session;
    m_tag = m_options.name + "#" + std::to_string(m_submissions);
    m_isDaemonAlive = entry.isDaemonAlive;
    m_received = 0;
    m_generation.reset();
    m_resumeToken.clear();
    if (isGeneration())
        m_call = entry.daemon->generate(generationRequest(), m_options.tokens, events());
    else
        m_call = entry.daemon->callPlain(plainRequest(), events());
    watch();
}

// The connection breaks when the daemon is killed; the caller detects it within 100 ms.
void SimCaller::watch()
{
    m_world.schedule(std::chrono::milliseconds(100), [this, session = m_session] {
        if (m_end != SimOutcome::Open || session != m_session)
            return;
        if (*m_isDaemonAlive)
            return watch();
        onLost();
    });
}

CallerEvents SimCaller::events()
{
    CallerEvents events;
    const auto isCurrent = [this, session = m_session] {
        if (session != m_session)
            return false;
        if (m_end != SimOutcome::Open)
            reportViolation("an event was received after the request ended");
        return m_end == SimOutcome::Open;
    };
    events.token = [this, isCurrent](const GenerationId &generation, std::uint32_t position,
                                     const std::string &text, const std::string &resumeToken) {
        if (isCurrent())
            onToken(generation, position, text, resumeToken);
    };
    events.restart = [this, isCurrent] {
        if (isCurrent())
            onRestart();
    };
    events.finish = [this, isCurrent] {
        if (isCurrent())
            onFinish();
    };
    events.response = [this, isCurrent](const PlainResponse &response) {
        if (isCurrent())
            onResponse(response);
    };
    events.fail = [this, isCurrent](const absl::Status &status, Outcome outcome) {
        if (isCurrent())
            onFail(status, outcome);
    };
    events.lost = [] {};
    return events;
}

void SimCaller::onToken(const GenerationId &generation, std::uint32_t position,
                        const std::string &text, const std::string &resumeToken)
{
    const std::string expected =
            m_tag + "/" + generation.target.text() + "." + std::to_string(generation.incarnation)
            + "." + std::to_string(generation.number) + "/" + std::to_string(m_received);
    if (position != m_received || text != expected)
        reportViolation("received token " + text + " instead of " + expected);
    if (m_generation && *m_generation != generation)
        reportViolation("received tokens of two generations without a restart");
    m_generation = generation;
    if (m_received == 0) {
        m_firstTokenAt = m_world.timers.now();
        block();
    }
    ++m_received;
    m_resumeToken = resumeToken;
}

void SimCaller::block()
{
    if (m_options.blockedDuration == Duration(0))
        return;
    const auto tell = [this, session = m_session, isDaemonAlive = m_isDaemonAlive, call = m_call,
                       node = m_node](bool isBlocked) {
        SimNode &entry = *m_world.nodes[node];
        entry.timers.run([&entry, isDaemonAlive, call, isBlocked] {
            if (*isDaemonAlive)
                entry.daemon->callerBlocked(call, isBlocked);
        });
    };
    ++m_world.counts["slow callers"];
    m_world.schedule(Duration(0), [tell] { tell(true); });
    m_world.schedule(m_options.blockedDuration, [tell] { tell(false); });
}

void SimCaller::onRestart()
{
    if (m_options.lossPolicy != LossPolicy::Restart)
        reportViolation("restarted although the loss policy is End");
    m_generation.reset();
    m_received = 0;
    // The tokens are void, and so is the resume position.
    m_resumeToken.clear();
    ++m_world.counts["restarts"];
}

void SimCaller::onFinish()
{
    if (m_received != m_options.tokens)
        reportViolation("the generation finished after " + std::to_string(m_received) + " tokens");
    finish(SimOutcome::Done);
}

void SimCaller::onResponse(const PlainResponse &response)
{
    if (response.body != "ran " + tag())
        reportViolation("received the response '" + response.body + "' of another request");
    if (m_world.effects[tag()] == 0)
        reportViolation("a response was received, but the service has not run the request");
    finish(SimOutcome::Done);
}

void SimCaller::onFail(const absl::Status &status, Outcome outcome)
{
    m_lastError = errorCode(status);
    if (outcome == Outcome::NotRun) {
        m_notRunTags.push_back(m_tag);
        if (isGeneration() ? m_world.startedGenerations(m_tag) > 0 : m_world.effects[tag()] > 0)
            reportViolation("reported as not-run, but it ran");
    }
    const bool isRepeatable = outcome == Outcome::NotRun || outcome == Outcome::Unknown;
    if (m_options.kind == SimRequestKind::Keyed && isRepeatable && mayResubmit()) {
        ++m_session;
        return retryAtOtherNode();
    }
    switch (outcome) {
    case Outcome::NotRun:
        return finish(SimOutcome::NotRun);
    case Outcome::Unknown:
        return finish(SimOutcome::Unknown);
    case Outcome::Done:
    case Outcome::Failed:
        return finish(SimOutcome::Failed);
    }
}

bool SimCaller::mayResubmit() const
{
    return m_submissions <= m_options.maxResubmissions;
}

void SimCaller::onLost()
{
    ++m_session;
    if (m_options.kind == SimRequestKind::Unkeyed && m_submissions > 0)
        return finish(SimOutcome::Unknown);
    retryAtOtherNode();
}

std::size_t SimCaller::nextReadyNode() const
{
    for (std::size_t i = 1; i <= m_world.nodes.size(); ++i) {
        const std::size_t node = (m_node + i) % m_world.nodes.size();
        const SimNode &entry = *m_world.nodes[node];
        if (entry.daemon && entry.daemon->drain().isReady() && !entry.timers.isPaused())
            return node;
    }
    return m_node;
}

void SimCaller::retryAtOtherNode()
{
    m_world.schedule(std::chrono::seconds(1), [this, session = m_session] {
        if (m_end != SimOutcome::Open || session != m_session)
            return;
        if (m_resumeToken.empty()) {
            if (!mayResubmit())
                return finish(SimOutcome::Unknown);
            return submit(nextReadyNode());
        }
        m_node = nextReadyNode();
        SimNode &entry = *m_world.nodes[m_node];
        if (!entry.daemon)
            return retryAtOtherNode();
        ++m_resumes;
        ++m_world.counts["resumes by token"];
        ++m_session;
        m_isDaemonAlive = entry.isDaemonAlive;
        m_call = entry.daemon->resume(generationRequest(), m_resumeToken, m_options.tokens,
                                      events());
        watch();
    });
}

void SimCaller::notifyCallerGone()
{
    SimNode &entry = *m_world.nodes[m_node];
    if (!m_isDaemonAlive || !*m_isDaemonAlive)
        return;
    entry.timers.run([&entry, call = m_call, isDaemonAlive = m_isDaemonAlive] {
        if (*isDaemonAlive)
            entry.daemon->callerGone(call);
    });
}

void SimCaller::leave()
{
    ++m_session;
    m_hasLeft = true;
    notifyCallerGone();
    if (m_end == SimOutcome::Open)
        finish(SimOutcome::Unknown);
}

void SimCaller::reconnect()
{
    if (m_end != SimOutcome::Open || !m_isDaemonAlive)
        return;
    ++m_session;
    notifyCallerGone();
    onLost();
}

void SimCaller::finish(SimOutcome end)
{
    m_end = end;
    m_endedAt = m_world.timers.now();
}

void SimCaller::checkFinalState()
{
    if (m_end == SimOutcome::Open)
        reportViolation("the request did not end");
    const bool mayRunOnce =
            m_options.kind == SimRequestKind::Keyed || m_options.kind == SimRequestKind::Unkeyed;
    if (mayRunOnce && m_world.effects[tag()] > 1)
        reportViolation("ran " + std::to_string(m_world.effects[tag()]) + " times");
    for (const std::string &tag : m_notRunTags) {
        if (m_options.kind == SimRequestKind::Keyed)
            continue;
        if (m_world.startedGenerations(tag) > 0 || m_world.effects[tag] > 0)
            reportViolation("reported as not-run, but it ran later");
    }
}

} // namespace currantwalk
