#ifndef CURRANTWALK_CALLS_TESTS_RANDOMISEDRUN_H
#define CURRANTWALK_CALLS_TESTS_RANDOMISEDRUN_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "calls/tests/faultmatrix.h"
#include "calls/tests/simcaller.h"

namespace currantwalk {

/// Statistics and violations of one or more randomised runs.
struct RunReport
{
    std::map<std::string, std::uint64_t> faults; ///< By name.
    std::map<std::string, std::uint64_t> pairs;  ///< Of faults that were active at the same time.
    std::map<std::string, std::uint64_t> counts; ///< Of outcomes, claims and other events.
    std::vector<std::string> violations;

    void add(const RunReport &other);
};

/// Runs several nodes on virtual time with callers and faults generated from one seed.
class RandomisedRun
{
public:
    /// If \a hasDefect is true, daemons send before they have read their claims back. The run must
    /// detect this.
    RandomisedRun(std::uint64_t seed, bool hasDefect);

    RunReport run();

private:
    struct ActiveFault
    {
        std::string name;
        TimePoint until{};
    };

    void scheduleCallers();
    void addCaller(SimCaller::Options options, TimePoint at, std::size_t node);
    void scheduleFaults();
    void injectFault(MatrixFault fault);
    void recordFault(const std::string &name, Duration span);
    void killDaemon(std::size_t node, Duration restartAfter);
    void drainDaemon(std::size_t node);
    void awaitExit(std::size_t node);
    std::size_t randomNode();
    std::string randomTarget();
    void clearLogFaults();
    void failControlCalls(Duration span);
    void countOutcomes();
    void countClaims(std::size_t node);
    void checkFinalState();

    SimWorld m_world;
    RandomSource m_random;
    std::vector<std::unique_ptr<SimCaller>> m_callers;
    std::vector<bool> m_isDuplicate; // Parallel to m_callers.
    std::vector<ActiveFault> m_active;
    RunReport m_report;
    bool m_isEngineFaulted = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_RANDOMISEDRUN_H
