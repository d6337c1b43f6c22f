#ifndef CURRANTWALK_ROUTING_ENGINEROLES_H
#define CURRANTWALK_ROUTING_ENGINEROLES_H

#include <cstdint>
#include <vector>

#include "routing/policy.h"

namespace currantwalk {

/// Which engines short answers prefer and long ones leave to them. Nodes that see the same engines
/// and like traffic come to the same choice without a message.
class EngineRoles
{
public:
    /// Takes a request into account that was placed and is expected to generate \a answerTokens.
    void onPlaced(const RoutingRequest &request, double answerTokens);

    /// Returns the rank up to which engines are for short answers; see rank(). \a ranks holds those
    /// of all engines.
    std::uint64_t shortLimit(std::vector<std::uint64_t> ranks) const;
    /// Returns an engine's place in an order that is alike on all nodes.
    static std::uint64_t rank(const TargetId &target);
    /// Returns whether an answer expected to have so many tokens is short.
    static bool isShort(double answerTokens);

    double shortShare() const { return m_shortShare; }

private:
    std::uint64_t m_requests = 0;
    double m_shortShare = 0.2; // Of all tokens, of prompts and answers.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_ENGINEROLES_H
