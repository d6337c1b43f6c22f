#ifndef CURRANTWALK_BENCH_CLAIRVOYANT_H
#define CURRANTWALK_BENCH_CLAIRVOYANT_H

#include <optional>
#include <string_view>

#include "bench/enginemodel.h"
#include "routing/basepolicy.h"

namespace currantwalk {

/// Policies that know every answer's length and every engine's present state: limits, not choices.
enum class ClairvoyantKind {
    Now,       ///< Places at once, where the memory wanted in the end is least.
    HoldWhole, ///< Holds until the memory for all whole answers is there.
    HoldPeak,  ///< Holds until the highest memory use to come leaves room.
};

/// Returns the kind named "clairvoyant-now", "clairvoyant-whole" or "clairvoyant-peak".
std::optional<ClairvoyantKind> clairvoyantKind(std::string_view name);

/// \a engines in the order of the candidates, whose ids end in their index; both must outlive the
/// result.
std::unique_ptr<RoutingPolicy> createClairvoyant(ClairvoyantKind kind,
                                                 std::vector<const EngineModel *> engines,
                                                 const std::vector<BenchRequest> &requests,
                                                 std::uint64_t seed);

/// Returns the most memory that the engine's generations will use at once, with one more added that
/// has \a prompt tokens and will generate \a answer.
std::uint64_t peakTokens(const EngineModel &engine, std::uint32_t prompt, std::uint32_t answer);

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_CLAIRVOYANT_H
