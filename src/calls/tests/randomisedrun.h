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

/// What one randomised run, or several, brought about.
struct RunReport
{
    std::map<std::string, std::uint64_t> faults; ///< By name.
    std::map<std::string, std::uint64_t> pairs;  ///< Of faults that were active at once.
    std::map<std::string, std::uint64_t> counts; ///< Of ends, resumes, duplicates, claims and more.
    std::vector<std::string> violations;

    void add(const RunReport &other);
};

/// Several nodes under callers and faults drawn from one seed, on virtual time.
class RandomisedRun
{
public:
    /// \a hasDefect has claims trusted before they are read back, which the run must find.
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
    void noteFault(const std::string &name, Duration span);
    void killDaemon(std::size_t node, Duration restartAfter);
    void drainDaemon(std::size_t node);
    void awaitExit(std::size_t node);
    std::size_t drawNode();
    std::string drawTarget();
    void healLog();
    void countEnds();
    void countClaims(std::size_t node);
    void checkAtRest();

    SimWorld m_world;
    RandomSource m_random;
    std::vector<std::unique_ptr<SimCaller>> m_callers;
    std::vector<bool> m_isDuplicate; // Of m_callers.
    std::vector<ActiveFault> m_active;
    RunReport m_report;
    bool m_isEngineFaulted = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_RANDOMISEDRUN_H
