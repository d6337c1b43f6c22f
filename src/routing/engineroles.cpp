#include "routing/engineroles.h"

#include <algorithm>
#include <cmath>

namespace currantwalk {

static constexpr double ShortAnswerTokens = 256;
static constexpr double UsualTokens = 2000;        // Of a request, prompt and answer.
static constexpr double ShareRate = 0.002;         // Weight of a usual request in the average.
static constexpr double EnginesPerShare = 0.6;     // Share of engines for a share of tokens.
static constexpr std::uint64_t FirstRequests = 20; // That the average starts from.
static constexpr double NearlyAll = 0.8;           // Of tokens: above, all engines are alike.
static constexpr std::size_t LeastEngines = 4;     // With fewer, none is set apart.

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
    const double rate = std::max(ShareRate, 1.0 / static_cast<double>(m_requests + FirstRequests));
    const double weight = std::min(1.0, rate * tokens / UsualTokens);
    m_shortShare += ((isShort(answerTokens) ? 1 : 0) - m_shortShare) * weight;
}

std::uint64_t EngineRoles::shortLimit(std::vector<std::uint64_t> ranks) const
{
    if (ranks.size() < LeastEngines || m_shortShare > NearlyAll)
        return 0;
    const double wanted =
            std::round(EnginesPerShare * m_shortShare * static_cast<double>(ranks.size()));
    const std::size_t count = static_cast<std::size_t>(std::max(wanted, 0.0));
    if (count == 0)
        return 0;
    const auto nth = ranks.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::nth_element(ranks.begin(), nth, ranks.end());
    return *nth;
}

} // namespace currantwalk
