#ifndef CURRANTWALK_DAEMON_TESTS_POISONSOAK_H
#define CURRANTWALK_DAEMON_TESTS_POISONSOAK_H

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "daemon/tests/entryfleet.h"
#include "daemon/tests/promptpartload.h"

namespace currantwalk {

/// A deployment under random faults while requests that crash their servers come again and again,
/// beside others, and servers say in their answers that they leave or want nothing for a time.
class PoisonSoak
{
public:
    struct Report
    {
        std::string violation;   ///< Empty if the run kept the bounds.
        std::size_t crashes = 0; ///< Most that one poisonous request has caused.
        /// Most arrivals, of one request, later than the window after its third crash, sent by
        /// nodes in touch.
        std::size_t lateArrivals = 0;
        std::uint32_t served = 0; ///< Of the harmless requests.
        std::uint32_t refusedAsPoisonous = 0;
        std::size_t partCrashes = 0; ///< Caused by requests with one part of their prompts.
        std::size_t latePartArrivals = 0;
        PromptPartLoad::Begun soundBefore; ///< With parts, while nothing disturbs them.
        PromptPartLoad::Begun soundAfter;
        std::uint64_t digest = 0; ///< Of all arrivals at servers; the same for runs that are alike.
    };

    /// What varies beside crashes, disruptions and what servers say of themselves.
    struct Variation
    {
        bool limits = false; ///< Servers name limits of requests at random times.
        /// Engines may go on with runs whose connections are closed, other writers' keys stand
        /// among those of the servers, the store lists them in pages, and the last organisation
        /// goes at the end.
        bool platform = false;
        /// Engines take time for copies, servers lose answers whose runs go on, callers may read
        /// slowly, and nodes are stopped as planned.
        bool answers = false;
        /// Engines go on with runs and fail part of the calls about them in any way, nodes stand
        /// still, and servers' entries are removed without notice.
        bool calls = false;
    };

    /// Chooses the number of nodes by the seed if \a nodes is 0.
    explicit PoisonSoak(std::uint64_t seed, std::size_t nodes = 0);
    PoisonSoak(std::uint64_t seed, std::size_t nodes, const Variation &variation);

    Report run();

private:
    static constexpr Duration Span = std::chrono::seconds(40); ///< Of the requests and faults.

    /// What a disruption concerns.
    enum class Concern {
        Nodes, ///< Or their links.
        Store,
        Servers,
    };

    /// A time in which the rules do not hold a node to their bounds.
    struct Disruption
    {
        std::string host; ///< Empty: all nodes.
        TimePoint from{};
        TimePoint until{};
        Concern concern = Concern::Nodes;
    };

    static EntryFleet::Options fleetOptions(std::uint64_t seed, std::size_t nodes);
    PromptPartLoad::Options partOptions();
    void disturb();
    void disturbNode(std::size_t node, Duration span);
    void disturbServers(Duration span);
    void disturbStore(Duration span);
    void nameLimits(Duration span);
    /// Runs \a action after each pause that \a drawPause returns, until \a span is over.
    void repeat(Duration span, const std::function<Duration()> &drawPause,
                const std::function<void()> &action);
    void varyPlatform();
    void writeForeignKeys(Duration span);
    void varyAnswers();
    void varyCalls();
    void haltRandomNode();
    void removeEntries();
    std::string findLateArrivals() const;
    void stopRandomNode();
    void killWhenStopped(std::size_t node, TimePoint killedAt);
    std::string findOverlaps() const;
    std::string findRunsWithoutKey();
    void turnRequestsAway(const SimServer &server, Duration span);
    void sendLookalikes(Duration span);
    void restart(std::size_t node, Duration downTime);
    void note(const std::string &host, Duration span, Concern concern = Concern::Nodes);
    void noteNode(std::size_t node, Duration span) { note(m_fleet.addressOf(node), span); }
    bool isInTouch(const std::string &host, TimePoint when) const;
    bool isBoundByLimits(const std::string &host, TimePoint when) const;
    bool isCalm(const std::string &host, TimePoint when) const;
    bool isDisturbed(const std::string &host, TimePoint from, TimePoint until) const;
    std::size_t lateArrivals(const SimPoisonLog &log) const;
    std::string findServerViolations() const;
    std::uint64_t digest() const;

    RandomSource m_random;
    RandomSource m_limitRandom;
    RandomSource m_platformRandom;
    RandomSource m_answerRandom;
    RandomSource m_callRandom;
    const Variation m_variation;
    EntryFleet m_fleet;
    std::vector<Disruption> m_disruptions;
    std::vector<std::string> m_paths; ///< Of the poisonous requests.
    std::set<std::string> m_heldUp;   ///< Hosts to which messages take long.
    std::set<std::size_t> m_halted;   ///< Nodes that stand still.
    PromptPartLoad m_parts;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TESTS_POISONSOAK_H
