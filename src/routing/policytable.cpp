#include <array>

#include "routing/baselines.h"
#include "routing/memoryforecastpolicy.h"
#include "routing/policy.h"

namespace currantwalk {

namespace {

struct PolicyRow
{
    std::string_view name;
    std::unique_ptr<RoutingPolicy> (*create)(std::uint64_t seed);
};

} // namespace

template<typename Policy>
static std::unique_ptr<RoutingPolicy> createPolicy(std::uint64_t seed)
{
    return std::make_unique<Policy>(seed);
}

static constexpr std::array<PolicyRow, 6> Policies{{
        {"random", createPolicy<RandomPolicy>},
        {"round-robin", createPolicy<RoundRobinPolicy>},
        {"least-reported", createPolicy<LeastReportedLoadPolicy>},
        {"two-choices", createPolicy<TwoChoicesPolicy>},
        {"billiard", createPolicy<BilliardPolicy>},
        {"project", createPolicy<MemoryForecastPolicy>},
}};

std::unique_ptr<RoutingPolicy> createRoutingPolicy(std::string_view name, std::uint64_t seed)
{
    for (const PolicyRow &row : Policies) {
        if (row.name == name)
            return row.create(seed);
    }
    return nullptr;
}

std::vector<std::string_view> routingPolicyNames()
{
    std::vector<std::string_view> names;
    for (const PolicyRow &row : Policies)
        names.push_back(row.name);
    return names;
}

} // namespace currantwalk
