#include "routing/engineroles.h"

#include <algorithm>
#include <cmath>

namespace currantwalk {

static constexpr double ShortAnswerTokens = 256;
static constexpr double TypicalRequestTokens = 2000; // Prompt and answer of a typical request.
static constexpr double ShareSmoothing = 0.002;  // Smoothing factor for a request of typical size.
static constexpr double EngineShareFactor = 0.6; // Short engines' share per share of tokens.
static constexpr std::uint64_t PriorRequests = 20; // Weight of the initial average, in requests.
static constexpr double MaxShortTokenShare = 0.8;  // Above this share, no engine is set apart.
static constexpr std::size_t MinEngines = 4;       // With fewer engines, none is set apart.

bool EngineRoles::isShort(double answerTokens)
{
    return answerTokens < ShortAnswerTokens;
}

std::uint64_t EngineRoles::rank(const TargetId &target)
{
    return stableHash(target.text());
}

void EngineRoles::onPlaced(const RoutingRequest &request, double answerTokens)
{
    const double tokens = request.promptTokens + answerTokens;
    ++m_requests;
    const double smoothing =
            std::max(ShareSmoothing, 1.0 / static_cast<double>(m_requests + PriorRequests));
    const double weight = std::min(1.0, smoothing * tokens / TypicalRequestTokens);
    m_shortTokenShare += ((isShort(answerTokens) ? 1 : 0) - m_shortTokenShare) * weight;
}

std::uint64_t EngineRoles::maxShortRank(std::vector<std::uint64_t> ranks) const
{
    if (ranks.size() < MinEngines || m_shortTokenShare > MaxShortTokenShare)
        return 0;
    const double wanted =
            std::round(EngineShareFactor * m_shortTokenShare * static_cast<double>(ranks.size()));
    const std::size_t count = static_cast<std::size_t>(std::max(wanted, 0.0));
    if (count == 0)
        return 0;
    const auto nth = ranks.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::nth_element(ranks.begin(), nth, ranks.end());
    return *nth;
}

} // namespace currantwalk
