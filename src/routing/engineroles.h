#ifndef CURRANTWALK_ROUTING_ENGINEROLES_H
#define CURRANTWALK_ROUTING_ENGINEROLES_H

#include <cstdint>
#include <vector>

#include "routing/policy.h"

namespace currantwalk {

/// Determines which engines are preferred for short answers and avoided by long ones. Nodes with
/// the same set of engines and similar traffic reach the same result without communication.
class EngineRoles
{
public:
    /// Records a placed request that is expected to generate \a answerTokens.
    void onPlaced(const RoutingRequest &request, double answerTokens);

    /// Returns the highest rank of the engines preferred for short answers, or 0 if there are none.
    /// \a ranks holds the rank() of every engine.
    std::uint64_t maxShortRank(std::vector<std::uint64_t> ranks) const;
    /// Returns the position of an engine in an order that is the same on all nodes.
    static std::uint64_t rank(const TargetId &target);
    /// Returns whether an answer with this expected length, in tokens, counts as short.
    static bool isShort(double answerTokens);

    double shortTokenShare() const { return m_shortTokenShare; }

private:
    std::uint64_t m_requests = 0;
    double m_shortTokenShare = 0.2; // Short requests' share of prompt and answer tokens.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_ENGINEROLES_H
