#include "bench/workload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace currantwalk {

static constexpr double OrganisationSkew = 1.1;   // Exponent of the organisations' sizes.
static constexpr double OrganisationSpread = 0.4; // Of the logarithm of their answers' lengths.
static constexpr double SurgeFactor = 1.5;        // Rate in a surge, relative to the mean.
static constexpr double SurgeSeconds = 6;
static constexpr double LullSeconds = 18;
static constexpr std::uint32_t LeastTokens = 4;
static constexpr Duration HoldAllowed = std::chrono::seconds(300);

const std::vector<LoadShape> &loadShapes()
{
    static const std::vector<LoadShape> Shapes = {
            {"restock",
             {{"plans", false, 0.35, 1200, 0.6, 700, 1.0, 6000, 640},
              {"sheets", true, 0.65, 300, 0.5, 60, 0.7, 600, 128}}},
            {"cfd",
             {{"reports", false, 0.25, 2500, 0.7, 1000, 0.9, 8000, 512},
              {"triage", true, 0.75, 700, 0.5, 80, 0.6, 600, 384}}},
    };
    return Shapes;
}

const LoadShape *loadShapeByName(std::string_view name)
{
    for (const LoadShape &shape : loadShapes()) {
        if (shape.name == name)
            return &shape;
    }
    return nullptr;
}

namespace {

/// Draws requests one after the other.
class Drawer
{
public:
    Drawer(const LoadShape &shape, std::uint64_t seed) : m_shape(shape), m_random(seed)
    {
        double total = 0;
        for (std::size_t i = 0; i < BenchOrganisations; ++i) {
            total += std::pow(static_cast<double>(i + 1), -OrganisationSkew);
            m_sizes[i] = total;
            m_lengthFactors[i] = std::exp(m_random.normal(0, OrganisationSpread));
        }
    }

    RandomSource &random() { return m_random; }

    BenchRequest draw(double at, std::size_t number)
    {
        const ServiceShape &service = drawService();
        const std::uint32_t organisation = drawOrganisation();
        BenchRequest request;
        request.at = at;
        request.organisation = organisation;
        request.isShort = service.isShort;
        const double factor = service.isShort ? 1 : m_lengthFactors[organisation];
        request.answerTokens = drawTokens(service.answerMedian * factor, service.answerSpread,
                                          service.answerLimit);
        fillRouting(request, service, number);
        return request;
    }

private:
    const ServiceShape &drawService()
    {
        double left = m_random.uniform();
        for (const ServiceShape &service : m_shape.services) {
            left -= service.share;
            if (left < 0)
                return service;
        }
        return m_shape.services.back();
    }

    std::uint32_t drawOrganisation()
    {
        const double drawn = m_random.uniform() * m_sizes.back();
        const auto it = std::upper_bound(m_sizes.begin(), m_sizes.end(), drawn);
        return static_cast<std::uint32_t>(it - m_sizes.begin());
    }

    std::uint32_t drawTokens(double median, double spread, std::uint32_t limit)
    {
        const double tokens = median * std::exp(m_random.normal(0, spread));
        return std::clamp(static_cast<std::uint32_t>(tokens), LeastTokens, limit);
    }

    void fillRouting(BenchRequest &request, const ServiceShape &service, std::size_t number)
    {
        constexpr std::uint32_t PromptLimit = 12000;
        RoutingRequest &routing = request.routing;
        routing.id = RequestId(std::to_string(number));
        routing.model = "model";
        routing.service = service.name;
        routing.organisation = "organisation-" + std::to_string(request.organisation);
        routing.priorityRank = 1;
        routing.promptTokens =
                service.sharedPrefix
                + drawTokens(service.promptMedian, service.promptSpread, PromptLimit);
        routing.arrivedAt = TimePoint(Duration(static_cast<std::int64_t>(request.at * 1e6)));
        routing.holdDeadline = routing.arrivedAt + HoldAllowed;
        request.sharedBlocks = service.sharedPrefix / BlockTokens;
        std::uint64_t hash = stableHash(service.name, request.organisation);
        for (std::uint32_t i = 0; i < routing.promptTokens / BlockTokens; ++i) {
            const std::uint64_t salt = i < request.sharedBlocks ? 0 : number;
            hash = hash * 0x9E3779B97F4A7C15ULL + salt + 1;
            routing.prefixHashes.push_back(hash);
        }
    }

    const LoadShape &m_shape;
    RandomSource m_random;
    std::array<double, BenchOrganisations> m_sizes{}; // Running sums.
    std::array<double, BenchOrganisations> m_lengthFactors{};
};

} // namespace

static double rateAt(const RateShape &rate, double at)
{
    return at >= rate.burstFrom && at < rate.burstUntil ? rate.burst : rate.base;
}

// Surges and lulls of some seconds lie over the rate; its mean is kept.
std::vector<BenchRequest> drawWorkload(const LoadShape &shape, const RateShape &rate,
                                       double seconds, std::uint64_t seed)
{
    constexpr double LullFactor =
            (SurgeSeconds + LullSeconds - SurgeFactor * SurgeSeconds) / LullSeconds;
    Drawer drawer(shape, seed);
    std::vector<BenchRequest> requests;
    bool isSurge = false;
    double phaseEnd = drawer.random().exponential(LullSeconds);
    const double topRate = std::max(rate.base, rate.burst) * SurgeFactor;
    double at = drawer.random().exponential(1 / topRate);
    while (at < seconds) {
        while (at > phaseEnd) {
            isSurge = !isSurge;
            phaseEnd += drawer.random().exponential(isSurge ? SurgeSeconds : LullSeconds);
        }
        const double factor = isSurge ? SurgeFactor : LullFactor;
        if (drawer.random().chance(rateAt(rate, at) * factor / topRate))
            requests.push_back(drawer.draw(at, requests.size()));
        at += drawer.random().exponential(1 / topRate);
    }
    return requests;
}

} // namespace currantwalk
