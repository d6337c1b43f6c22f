#ifndef CURRANTWALK_DAEMON_TESTS_PROMPTPARTLOAD_H
#define CURRANTWALK_DAEMON_TESTS_PROMPTPARTLOAD_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "daemon/tests/entryfleet.h"

namespace currantwalk {

/// Generations whose prompts share parts. From some time on, further ones come that have a part
/// which crashes servers; none of these is like another.
class PromptPartLoad
{
public:
    enum class Place { First, Second };

    struct Options
    {
        std::string path = "/stream/parts";
        std::string poison = "bad"; ///< The part that crashes servers.
        Place place = Place::Second;
        double crashShare = 1; ///< Of the requests with that part that crash their servers.
        Duration soundGap = std::chrono::milliseconds(75);
        Duration poisonGap = std::chrono::milliseconds(330);
        Duration calmTime = std::chrono::seconds(15); ///< Before the first poisonous request.
        Duration span = std::chrono::seconds(25);     ///< Of the poisonous requests.
        double repeatShare = 0;                       ///< Of poisonous requests that come twice.
    };

    /// Tell what the rules say of the node \a host at a time.
    struct Excuses
    {
        /// Whether they hold the node to the bound on arrivals; always if it is not set.
        std::function<bool(const std::string &host, TimePoint when)> isInTouch;
        /// Whether its sound requests are judged; always if it is not set.
        std::function<bool(const std::string &host, TimePoint when)> isJudged;
    };

    /// How many of the sound requests that were sent got a part of an answer.
    struct Begun
    {
        std::uint32_t sent = 0;
        std::uint32_t begun = 0;

        double share() const { return sent == 0 ? 0 : static_cast<double>(begun) / sent; }
    };

    struct Verdict
    {
        std::size_t crashes = 0;
        std::size_t lateArrivals = 0; ///< Later than the window after the fifth crash.
        Begun before;                 ///< All sound requests before the first poisonous one.
        Begun after;
        Begun alikeBefore; ///< Those with the first part of the poisonous requests.
        Begun alikeAfter;
        std::string violation; ///< Empty if the bounds hold.
    };

    PromptPartLoad(EntryFleet &fleet, Options options, Excuses excuses = {});

    void start();
    /// Returns the time from the start until the last request.
    Duration duration() const { return m_options.calmTime + m_options.span; }
    Verdict judge() const;
    /// Returns the ends of the requests with the part that crashes servers.
    const EntryFleet::Tally &poison() const { return m_poison; }

private:
    struct SoundRequest
    {
        TimePoint sentAt{};
        std::string host;
        bool isAlike = false;
        bool hasBegun = false;
    };

    std::string popularFirstPart();
    std::string secondPart(const std::string &first);
    void sendSound();
    void sendPoison();
    void send(const std::string &parts, bool isSound, bool isAlike);
    Begun count(TimePoint from, TimePoint until, bool isAlikeOnly) const;

    EntryFleet &m_fleet;
    const Options m_options;
    const Excuses m_excuses;
    RandomSource m_random;
    std::vector<SoundRequest> m_sound;
    EntryFleet::Tally m_poison;
    std::uint64_t m_requests = 0;
    TimePoint m_startedAt{};
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TESTS_PROMPTPARTLOAD_H
