#ifndef CURRANTWALK_DAEMON_TESTS_SIMSERVER_H
#define CURRANTWALK_DAEMON_TESTS_SIMSERVER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/randomsource.h"
#include "daemon/tests/simnet.h"
#include "daemon/tests/simstore.h"

namespace currantwalk {

/// The body of a request that crashes its servers begins with this.
constexpr const char *PoisonMark = "poison";

/// Header that lists the parts of a request's prompt, separated by commas; the last is its own.
constexpr const char *PartsHeader = "parts";

/// Of the call for a copy of a stream, and its answer.
constexpr const char *CopyPath = "/copy";
constexpr const char *CopyHandle = "handle";
/// Of the call that stops a run; its header "id" names the request.
constexpr const char *StopPath = "/stop";

/// A request that a server got.
struct SimArrival
{
    TimePoint when{};
    std::string host;                        ///< Of the node that sent it.
    std::uint64_t start = 0;                 ///< Number of the server's start.
    std::optional<TimePoint> heldOffUntil{}; ///< If it was turned away for a time.
    /// When the answer began, if it said that the server leaves.
    std::optional<TimePoint> toldLeavingAt{};
    bool isStopCall = false; ///< Stops a run.
    bool isCopyCall = false; ///< Asks for a copy of a stream that a client asked for before.
    bool isDropCall = false; ///< Frees a copy.
    /// When the answer began, if it named a limit of requests.
    std::optional<TimePoint> toldLimitAt{};
};

/// One run of a request at a server.
struct SimRun
{
    std::string id;   ///< Of the request.
    std::string host; ///< Of the node that sent it.
    bool isResumed = false;
    TimePoint begunAt{};
    std::optional<TimePoint> endedAt;
};

/// Returns whether the rules do not bind a node in a time.
using SimExcuse = std::function<bool(const std::string &host, TimePoint from, TimePoint until)>;

/// What servers have seen of the poisonous requests of one path.
struct SimPoisonLog
{
    std::vector<SimArrival> arrivals;
    std::vector<TimePoint> crashes; ///< Of servers that had begun such a request.
};

/// By path, or by the part of the prompts that the requests share.
using SimPoisonLogs = std::map<std::string, SimPoisonLog>;

/// Shares of the requests with each part of a prompt that crash their servers.
using SimPoisonParts = std::map<std::string, double>;

/// How a call about a run fails at a server that answers other calls.
enum class SimCallFault {
    Hang,    ///< Nothing becomes of it, and its connection stays open.
    Reset,   ///< Nothing becomes of it, and its connection is reset.
    Error,   ///< Nothing becomes of it, and the answer is an error.
    Garbage, ///< Nothing becomes of it, and the answer can't be read.
    Late,    ///< It is carried out up to three seconds later.
};
constexpr std::size_t SimCallFaults = 5;

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
        /// Whether its entry says that it leaves; if not, the entry is removed at once.
        bool announcesLeaving = true;
        /// From when it begins a request that crashes it.
        Duration crashDelay = std::chrono::milliseconds(2);
        SimEnd crash = SimEnd::Reset;
        Duration coldTime{0};     ///< How long it is cold after it has started again.
        bool keepsId = false;     ///< Whether it starts again under its id.
        bool changesPort = false; ///< Whether it starts again at another port.
        double resetShare = 0;    ///< Of the requests that lose their connection.
        double errorShare = 0;    ///< Of the requests that get an error before they begin.
        bool keepsCopies = true;  ///< Whether it has the copies from which streams are to go on.
        bool givesCopies = false; ///< Whether it copies streams to other servers when asked.
        Duration copyTime{0};     ///< Of a copy; the run can't be stopped meanwhile.
        double breakShare = 0;    ///< Of the events in the middle of which the connection is reset.
        /// Whether its streams send a byte at each gap and never an event.
        bool trickles = false;
        /// Whether a run ends when the connection of its request is closed.
        bool dropsRuns = true;
        /// Share of the calls to stop a run that are refused, and of those whose answer is lost.
        double refusedStopShare = 0;
        double lostStopShare = 0;
        /// Share of the calls that copy a run, stop it or free a copy that fail.
        double failedCallShare = 0;
        std::optional<SimCallFault> callFault{}; ///< How they fail; nothing: in any way.
        /// Share of its answers that say that it leaves, while its entry says that it is ready.
        double leavingShare = 0;
        /// Share of the requests that it turns away for holdOff.
        double turnAwayShare = 0;
        Duration holdOff{0};
        /// Events that a crashing stream gets to write.
        std::uint32_t eventsBeforeCrash = 0;
        /// Written as the limit into its answers in place of the one that setLimit() has set.
        std::string limitText;
    };

    SimServer(SimNet &net, SimStore &store, SimPoisonLogs &poison, const SimPoisonParts &parts,
              RandomSource &random, Options options, std::string name);

    void start();
    void crash(SimEnd end);
    /// Announces that it leaves, or removes its entry, and leaves later; another takes its place.
    void leave();
    void resetConnections();
    /// Ends the connections of the requests that run; whether the runs go on is up to the options.
    void loseAnswers();
    /// Becomes cold for \a span. Its entry says so at once, or with the next beat.
    void becomeCold(Duration span, bool isToldAtOnce = true);
    /// Returns the most requests that came in one second in which it was cold and that began later
    /// than \a notice after it had become cold.
    std::size_t mostInAColdSecond(Duration notice) const;
    /// Names a limit of requests a second, from all nodes together, in its answers from now on;
    /// nothing: it names none.
    void setLimit(std::optional<double> limit);

    Options options;
    bool isUp() const { return m_isUp; }
    std::size_t copiesInProgress() const;
    const std::vector<SimArrival> &arrivals() const { return m_arrivals; }
    const std::vector<SimRun> &runs() const { return m_runs; }
    /// Returns the most requests that one start of the server got from one node between \a slack
    /// after it had turned a request of that node away and the end of the time it had asked for.
    /// Calls that stop runs are no requests.
    /// Excuses what \a isExcused says of a node since then.
    std::size_t arrivalsWhileHeldOff(Duration slack, const SimExcuse &isExcused = nullptr) const;
    /// Returns the number of requests that one start of the server got from a node later than
    /// \a slack after that node had got an answer that says that it leaves. Calls that move streams
    /// away are left out.
    std::size_t arrivalsAfterLeaving(Duration slack, const SimExcuse &isExcused = nullptr) const;

    /// Returns the number of requests that one start of the server got later than \a slack after it
    /// had left and its entry had been removed without a word. Calls about runs are left out.
    std::size_t arrivalsAfterRemoval(Duration slack, const SimExcuse &isExcused = nullptr) const;

    /// Returns by how many requests one start of the server got more, in some 4 s, than its limit
    /// allows, from nodes that it had told of the limit half a second before. Counts from
    /// LimitNotice after it had first named a limit, or had changed it.
    double arrivalsBeyondLimit(const SimExcuse &isExcused = nullptr) const;
    static constexpr Duration LimitNotice = std::chrono::seconds(3);

private:
    /// What the server names as its limit from a time on.
    struct LimitChange
    {
        TimePoint when{};
        std::optional<double> limit;
    };

    double allowedArrivals(TimePoint from, TimePoint until) const;

    struct Work
    {
        std::shared_ptr<HttpExchange> exchange;
        bool hasBegun = false;
        std::uint32_t events = 0;
        std::size_t arrival = 0; ///< Its place among the arrivals.
        std::size_t run = 0;     ///< Its place among the runs, once it has begun.
        bool isBeingCopied = false;
        /// In the log of poisonous requests, if it crashes the server.
        std::optional<std::string> poison;
    };

    HttpResponseHead head(int status, const HttpExchange &exchange, SimArrival &arrival);
    std::optional<std::string> notePoison(const HttpRequest &request);

    void beat();
    void writeEntry(bool isLeaving);
    void take(std::shared_ptr<HttpExchange> exchange);
    void accept(std::shared_ptr<HttpExchange> exchange);
    void failCall(const std::shared_ptr<HttpExchange> &exchange);
    void copyRun(const std::shared_ptr<HttpExchange> &exchange);
    void stopRun(const std::shared_ptr<HttpExchange> &exchange);
    std::shared_ptr<Work> findRun(const HttpExchange &exchange) const;
    bool isDropped(const Work &work) const;
    void endAllWork();
    void beginNext();
    void work(const std::shared_ptr<Work> &work);
    void writeEvent(const std::shared_ptr<Work> &work);
    void writeEventLater(const std::shared_ptr<Work> &work);
    void end(const std::shared_ptr<Work> &work);
    void stop(SimEnd end);

    SimNet &m_net;
    SimStore &m_store;
    SimPoisonLogs &m_poison;
    const SimPoisonParts &m_poisonParts;
    RandomSource &m_random;
    const std::string m_name;
    std::string m_id;
    std::uint64_t m_start = 0; ///< Number of its starts; earlier ones' timers do nothing.
    std::uint64_t m_bornAt = 0;
    std::vector<std::shared_ptr<Work>> m_work;
    std::vector<std::shared_ptr<HttpExchange>> m_hungCalls;
    std::vector<SimArrival> m_arrivals;
    std::map<std::uint64_t, TimePoint> m_removals; ///< Of its entry, by start.
    std::vector<SimRun> m_runs;
    std::vector<LimitChange> m_limits;
    std::vector<std::pair<TimePoint, TimePoint>> m_coldTimes; ///< From when until when it was cold.
    bool m_isUp = false;
    bool m_isLeaving = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TESTS_SIMSERVER_H
