#ifndef CURRANTWALK_DAEMON_TESTS_SIMSERVER_H
#define CURRANTWALK_DAEMON_TESTS_SIMSERVER_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/randomsource.h"
#include "daemon/tests/simnet.h"
#include "daemon/tests/simstore.h"

namespace currantwalk {

/// The body of a request that crashes its servers begins with this.
constexpr const char *PoisonMark = "poison";

/// What servers have seen of the poisonous requests of one path.
struct SimPoisonLog
{
    struct Arrival
    {
        TimePoint when{};
        std::string host; ///< Of the node that sent it.
    };

    std::vector<Arrival> arrivals;
    std::vector<TimePoint> crashes; ///< Of servers that had begun such a request.
};

using SimPoisonLogs = std::map<std::string, SimPoisonLog>;

/// A server of a service, as the platform's pages describe it: each start is a new incarnation, a
/// request may crash it, and its entry in the store is removed after three missed beats.
class SimServer
{
public:
    struct Options
    {
        std::string service;
        ZoneName zone;
        Endpoint endpoint;
        std::uint32_t slots = 8;
        Duration work = std::chrono::milliseconds(20); ///< Of one request, or to the first event.
        Duration eventGap = std::chrono::milliseconds(40);
        std::uint32_t events = 20; ///< Of a stream.
        Duration restartAfter = std::chrono::milliseconds(2500);
        /// From the announcement that it leaves until it ends.
        Duration leavingTime = std::chrono::milliseconds(1500);
        /// From when it begins a request that crashes it.
        Duration crashDelay = std::chrono::milliseconds(2);
        SimEnd crash = SimEnd::Reset;
        bool keepsId = false;     ///< Whether it starts again under its id.
        bool changesPort = false; ///< Whether it starts again at another port.
        double resetShare = 0;    ///< Of the requests that lose their connection.
        double errorShare = 0;    ///< Of the requests that get an error before they begin.
        bool keepsCopies = true;  ///< Whether it has the copies from which streams are to go on.
        double breakShare = 0;    ///< Of the events in the middle of which the connection is reset.
        /// Events that a crashing stream gets to write.
        std::uint32_t eventsBeforeCrash = 0;
    };

    SimServer(SimNet &net, SimStore &store, SimPoisonLogs &poison, RandomSource &random,
              Options options, std::string name);

    void start();
    void crash(SimEnd end);
    /// Announces that it leaves, and leaves; another takes its place.
    void leave();
    void resetConnections();

    Options options;
    bool isUp() const { return m_isUp; }

private:
    struct Work
    {
        std::shared_ptr<HttpExchange> exchange;
        bool hasBegun = false;
        std::uint32_t events = 0;
    };

    void beat();
    void writeEntry(bool isLeaving);
    void take(std::shared_ptr<HttpExchange> exchange);
    void beginNext();
    void work(const std::shared_ptr<Work> &work);
    void writeEvent(const std::shared_ptr<Work> &work);
    void end(const std::shared_ptr<Work> &work);
    void stop(SimEnd end);

    SimNet &m_net;
    SimStore &m_store;
    SimPoisonLogs &m_poison;
    RandomSource &m_random;
    const std::string m_name;
    std::string m_id;
    std::uint64_t m_start = 0; ///< Number of its starts; earlier ones' timers do nothing.
    std::uint64_t m_bornAt = 0;
    std::vector<std::shared_ptr<Work>> m_work;
    bool m_isUp = false;
    bool m_isLeaving = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TESTS_SIMSERVER_H
