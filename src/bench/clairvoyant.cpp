#include "bench/clairvoyant.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<ClairvoyantKind>, 3> KindNames{{
        {ClairvoyantKind::Now, "clairvoyant-now"},
        {ClairvoyantKind::HoldWhole, "clairvoyant-whole"},
        {ClairvoyantKind::HoldPeak, "clairvoyant-peak"},
}};

static constexpr Duration Recheck = std::chrono::milliseconds(50);

std::optional<ClairvoyantKind> clairvoyantKind(std::string_view name)
{
    return enumValue(KindNames, name);
}

static std::uint64_t wholeTokens(const EngineModel &engine)
{
    std::uint64_t total = 0;
    for (const EngineSequence &one : engine.running())
        total += one.prompt + one.answer;
    for (const EngineSequence &one : engine.waiting())
        total += one.prompt + one.answer;
    return total;
}

// All generations gain one token a step, so memory peaks just before one of them ends: then those
// that still run have each grown by what that one had left.
std::uint64_t peakTokens(const EngineModel &engine, std::uint32_t prompt, std::uint32_t answer)
{
    struct Growth
    {
        std::uint32_t left;
        std::uint64_t tokens;
    };
    std::vector<Growth> all{{answer, prompt}};
    for (const EngineSequence &one : engine.running())
        all.push_back({one.answer - one.generated, one.tokens()});
    for (const EngineSequence &one : engine.waiting())
        all.push_back({one.answer - one.generated, one.tokens()});
    std::sort(all.begin(), all.end(),
              [](const Growth &a, const Growth &b) { return a.left > b.left; });
    std::uint64_t peak = 0;
    std::uint64_t tokens = 0;
    std::uint64_t count = 0;
    for (const Growth &one : all) {
        tokens += one.tokens;
        ++count;
        peak = std::max(peak, tokens + count * one.left);
    }
    return peak;
}

namespace {

class ClairvoyantPolicy : public BasePolicy
{
public:
    ClairvoyantPolicy(ClairvoyantKind kind, std::vector<const EngineModel *> engines,
                      const std::vector<BenchRequest> &requests, std::uint64_t seed)
        : BasePolicy(seed), m_kind(kind), m_engines(std::move(engines)), m_requests(requests)
    {
    }

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override
    {
        const BenchRequest &known = m_requests[std::stoul(request.id.text())];
        const Target *best = nullptr;
        std::uint64_t bestTokens = std::numeric_limits<std::uint64_t>::max();
        for (const Target *target : allowed) {
            const EngineModel &engine = engineOf(*target);
            const std::uint64_t tokens = tokensAt(engine, known);
            const bool hasRoom = m_kind == ClairvoyantKind::Now || tokens <= engine.memoryTokens();
            if (hasRoom && tokens < bestTokens) {
                best = target;
                bestTokens = tokens;
            }
        }
        RoutingDecision decision = best == nullptr
                                           ? holdUntil(now + Recheck, "no-room", allowed.size())
                                           : placeAt(*best, "clairvoyant", allowed.size(),
                                                     static_cast<double>(bestTokens));
        decision.reason.expectedTokens = known.answerTokens;
        return decision;
    }

private:
    const EngineModel &engineOf(const Target &target) const
    {
        const std::string &id = target.id.text();
        return *m_engines[std::stoul(id.substr(id.rfind('-') + 1))];
    }

    std::uint64_t tokensAt(const EngineModel &engine, const BenchRequest &request) const
    {
        const std::uint32_t prompt = request.routing.promptTokens;
        if (m_kind == ClairvoyantKind::HoldPeak)
            return peakTokens(engine, prompt, request.answerTokens);
        return wholeTokens(engine) + prompt + request.answerTokens;
    }

    ClairvoyantKind m_kind;
    std::vector<const EngineModel *> m_engines;
    const std::vector<BenchRequest> &m_requests;
};

} // namespace

std::unique_ptr<RoutingPolicy> createClairvoyant(ClairvoyantKind kind,
                                                 std::vector<const EngineModel *> engines,
                                                 const std::vector<BenchRequest> &requests,
                                                 std::uint64_t seed)
{
    return std::make_unique<ClairvoyantPolicy>(kind, std::move(engines), requests, seed);
}

} // namespace currantwalk
