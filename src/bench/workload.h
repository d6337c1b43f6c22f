#ifndef CURRANTWALK_BENCH_WORKLOAD_H
#define CURRANTWALK_BENCH_WORKLOAD_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/policy.h"

namespace currantwalk {

/// The shape of one service's requests; lengths in tokens are log-normal.
struct ServiceShape
{
    std::string name;
    bool isShort = false; ///< Counted among the short questions.
    double share = 0;     ///< Of all requests.
    double promptMedian = 0;
    double promptSpread = 0; ///< Standard deviation of the logarithm.
    double answerMedian = 0;
    double answerSpread = 0;
    std::uint32_t answerLimit = 0;
    std::uint32_t sharedPrefix = 0; ///< Leading tokens that an organisation's requests share.
};

struct LoadShape
{
    std::string_view name;
    std::vector<ServiceShape> services;
};

/// How the arrival rate goes over a run.
struct RateShape
{
    double base = 0;       ///< Requests a second.
    double burst = 0;      ///< Requests a second during the burst.
    double burstFrom = 0;  ///< s
    double burstUntil = 0; ///< s
};

/// One request, with what the engine alone knows.
struct BenchRequest
{
    double at = 0; ///< s
    RoutingRequest routing;
    std::uint32_t answerTokens = 0;
    std::uint32_t organisation = 0;
    std::uint32_t sharedBlocks = 0;
    bool isShort = false;
};

constexpr std::uint32_t BlockTokens = 128; ///< Tokens of one prefix block.
constexpr std::uint32_t BenchOrganisations = 10;

/// Restock plans beside questions on product sheets, or reports beside triage questions.
const std::vector<LoadShape> &loadShapes();
const LoadShape *loadShapeByName(std::string_view name);
/// Draws the requests of \a seconds from a seed, in order of time.
std::vector<BenchRequest> drawWorkload(const LoadShape &shape, const RateShape &rate,
                                       double seconds, std::uint64_t seed);

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_WORKLOAD_H
