#include "calls/tests/simcaller.h"

#include <array>
#include <utility>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<SimKind>, 5> KindNames{{
        {SimKind::Streamed, "streamed"},
        {SimKind::Whole, "whole"},
        {SimKind::Idempotent, "idempotent"},
        {SimKind::Keyed, "keyed"},
        {SimKind::Unkeyed, "unkeyed"},
}};

static constexpr std::array<EnumName<SimEnd>, 5> EndNames{{
        {SimEnd::Open, "open"},
        {SimEnd::Done, "done"},
        {SimEnd::NotRun, "not-run"},
        {SimEnd::Failed, "failed"},
        {SimEnd::Unknown, "unknown"},
}};

std::string_view simKindName(SimKind kind)
{
    return enumName(KindNames, kind);
}

std::string_view simEndName(SimEnd end)
{
    return enumName(EndNames, end);
}

SimCaller::SimCaller(SimWorld &world, Options options)
    : m_world(world), m_options(std::move(options))
{
}

bool SimCaller::isGeneration() const
{
    return m_options.kind == SimKind::Streamed || m_options.kind == SimKind::Whole;
}

std::string SimCaller::tag() const
{
    if (m_options.kind == SimKind::Keyed)
        return std::string(SimService::KeyPrefix) + m_options.name;
    return m_tag;
}

void SimCaller::violate(const std::string &what)
{
    m_world.violate(std::string(simKindName(m_options.kind)) + " " + m_options.name + ": " + what);
}

GenerationRequest SimCaller::generationRequest() const
{
    GenerationRequest request;
    request.id = RequestId(m_tag);
    request.prompt = "prompt";
    request.fingerprint = stableHash(m_options.name);
    const bool isWhole = m_options.kind == SimKind::Whole;
    request.delivery = isWhole ? Delivery::Whole : Delivery::Streamed;
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
    request.method = m_options.kind == SimKind::Idempotent ? "GET" : "POST";
    request.isIdempotent = m_options.kind == SimKind::Idempotent;
    if (m_options.kind == SimKind::Keyed) {
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
    if (!entry.daemon || !entry.daemon->drain().isTakingWork())
        return onLost();
    ++m_submissions;
    ++m_session;
    m_tag = m_options.name + "#" + std::to_string(m_submissions);
    m_life = entry.life;
    m_received = 0;
    m_generation.reset();
    m_resumeToken.clear();
    if (isGeneration())
        m_call = entry.daemon->generate(generationRequest(), m_options.tokens, events());
    else
        m_call = entry.daemon->callPlain(plainRequest(), events());
    watch();
}

// A connection breaks with the daemon's life; the caller notices within a moment.
void SimCaller::watch()
{
    m_world.later(std::chrono::milliseconds(100), [this, session = m_session] {
        if (m_end != SimEnd::Open || session != m_session)
            return;
        if (*m_life)
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
        if (m_end != SimEnd::Open)
            violate("an answer came after the end");
        return m_end == SimEnd::Open;
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
        violate("got token " + text + " in place of " + expected);
    if (m_generation && *m_generation != generation)
        violate("tokens of two generations are mixed");
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
    if (m_options.blocksFor == Duration(0))
        return;
    const auto tell = [this, session = m_session, life = m_life, call = m_call,
                       node = m_node](bool isBlocked) {
        SimNode &entry = *m_world.nodes[node];
        entry.timers.run([&entry, life, call, isBlocked] {
            if (*life)
                entry.daemon->callerBlocked(call, isBlocked);
        });
    };
    ++m_world.counts["slow callers"];
    m_world.later(Duration(0), [tell] { tell(true); });
    m_world.later(m_options.blocksFor, [tell] { tell(false); });
}

void SimCaller::onRestart()
{
    if (m_options.lossPolicy != LossPolicy::Restart)
        violate("a restart that was not asked for");
    m_generation.reset();
    m_received = 0;
    // The tokens are void, and so is the place among them.
    m_resumeToken.clear();
    ++m_world.counts["restarts"];
}

void SimCaller::onFinish()
{
    if (m_received != m_options.tokens)
        violate("the answer ended after " + std::to_string(m_received) + " tokens");
    finish(SimEnd::Done);
}

void SimCaller::onResponse(const PlainResponse &response)
{
    if (response.body != "ran " + tag())
        violate("got the answer '" + response.body + "' to another request");
    if (m_world.effects[tag()] == 0)
        violate("done, and it did not run");
    finish(SimEnd::Done);
}

void SimCaller::onFail(const absl::Status &status, Outcome outcome)
{
    m_lastError = errorCode(status);
    if (outcome == Outcome::NotRun) {
        m_tagsNotRun.push_back(m_tag);
        if (isGeneration() ? m_world.begunGenerations(m_tag) > 0 : m_world.effects[tag()] > 0)
            violate("told not-run, and it ran");
    }
    const bool isRepeatable = outcome == Outcome::NotRun || outcome == Outcome::Unknown;
    if (m_options.kind == SimKind::Keyed && isRepeatable && mayResubmit()) {
        ++m_session;
        return comeBack();
    }
    switch (outcome) {
    case Outcome::NotRun:
        return finish(SimEnd::NotRun);
    case Outcome::Unknown:
        return finish(SimEnd::Unknown);
    case Outcome::Done:
    case Outcome::Failed:
        return finish(SimEnd::Failed);
    }
}

bool SimCaller::mayResubmit() const
{
    return m_submissions <= m_options.maxResubmissions;
}

void SimCaller::onLost()
{
    ++m_session;
    if (m_options.kind == SimKind::Unkeyed && m_submissions > 0)
        return finish(SimEnd::Unknown);
    comeBack();
}

std::size_t SimCaller::otherNode() const
{
    for (std::size_t i = 1; i <= m_world.nodes.size(); ++i) {
        const std::size_t node = (m_node + i) % m_world.nodes.size();
        const SimNode &entry = *m_world.nodes[node];
        if (entry.daemon && entry.daemon->drain().isReady() && !entry.timers.isPaused())
            return node;
    }
    return m_node;
}

void SimCaller::comeBack()
{
    m_world.later(std::chrono::seconds(1), [this, session = m_session] {
        if (m_end != SimEnd::Open || session != m_session)
            return;
        if (m_resumeToken.empty()) {
            if (!mayResubmit())
                return finish(SimEnd::Unknown);
            return submit(otherNode());
        }
        m_node = otherNode();
        SimNode &entry = *m_world.nodes[m_node];
        if (!entry.daemon)
            return comeBack();
        ++m_resumes;
        ++m_world.counts["resumes by token"];
        ++m_session;
        m_life = entry.life;
        m_call = entry.daemon->resume(generationRequest(), m_resumeToken, m_options.tokens,
                                      events());
        watch();
    });
}

void SimCaller::tellGone()
{
    SimNode &entry = *m_world.nodes[m_node];
    if (!m_life || !*m_life)
        return;
    entry.timers.run([&entry, call = m_call, life = m_life] {
        if (*life)
            entry.daemon->callerGone(call);
    });
}

void SimCaller::leave()
{
    ++m_session;
    m_hasLeft = true;
    tellGone();
    if (m_end == SimEnd::Open)
        finish(SimEnd::Unknown);
}

void SimCaller::reconnect()
{
    if (m_end != SimEnd::Open || !m_life)
        return;
    ++m_session;
    tellGone();
    onLost();
}

void SimCaller::finish(SimEnd end)
{
    m_end = end;
    m_endedAt = m_world.timers.now();
}

void SimCaller::checkAtRest()
{
    if (m_end == SimEnd::Open)
        violate("never ended");
    const bool mayRunOnce = m_options.kind == SimKind::Keyed || m_options.kind == SimKind::Unkeyed;
    if (mayRunOnce && m_world.effects[tag()] > 1)
        violate("ran " + std::to_string(m_world.effects[tag()]) + " times");
    for (const std::string &tag : m_tagsNotRun) {
        if (m_options.kind == SimKind::Keyed)
            continue;
        if (m_world.begunGenerations(tag) > 0 || m_world.effects[tag] > 0)
            violate("told not-run, and it ran later");
    }
}

} // namespace currantwalk
