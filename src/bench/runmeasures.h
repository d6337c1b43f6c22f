#ifndef CURRANTWALK_BENCH_RUNMEASURES_H
#define CURRANTWALK_BENCH_RUNMEASURES_H

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "bench/workload.h"
#include "observe/loghistogram.h"

namespace currantwalk {

/// What a run is judged by; times in seconds. Short and long answers are told apart by service.
enum class Measure {
    Stall,         ///< Time within gaps between tokens longer than StallGap, over all answers.
    Preemptions,   ///< At the engines.
    Recomputed,    ///< Tokens prefilled again after a preemption.
    FirstShort50,  ///< Time to the first token, waits at the node included.
    FirstShort95,  ///<
    FirstLong50,   ///<
    FirstLong95,   ///<
    GapShort50,    ///< Gap between tokens.
    GapShort95,    ///<
    GapShort99,    ///<
    GapShort999,   ///<
    GapLong50,     ///<
    GapLong95,     ///<
    GapLong99,     ///<
    GapLong999,    ///<
    WholeMean,     ///< Mean time to the whole answer, of those finished.
    Goodput,       ///< Tokens a second that reached callers, each counted once.
    Fairness,      ///< Jain's index over organisations of the share of their tokens served.
    Shed,          ///< Requests refused.
    Lost,          ///< Generations lost with an engine.
    Backlog,       ///< Requests that no engine runs at the end.
    BacklogMiddle, ///< The same, half-way through.
};

constexpr std::size_t MeasureCount = static_cast<std::size_t>(Measure::BacklogMiddle) + 1;
constexpr double StallGap = 0.5; ///< s
using RunMeasures = std::array<double, MeasureCount>;

std::string_view measureName(Measure measure);

/// Follows each request of a run as its caller sees it.
class CallerView
{
public:
    explicit CallerView(const std::vector<BenchRequest> &requests);

    void onToken(std::size_t request, std::uint32_t generated, double now);
    void onFinished(std::size_t request, double now);
    void onShed(std::size_t request);
    void onLost() { ++m_lost; }

    bool isFinished(std::size_t request) const { return m_states[request].isFinished; }
    /// Fills in all that callers see of a run that ends at \a now.
    void finish(double now, RunMeasures &measures);

private:
    struct State
    {
        double lastToken = -1;
        std::uint32_t tokens = 0; ///< The most that any run of it reached.
        bool isFinished = false;
        bool isShed = false;
    };

    void addGap(bool isShort, double gap);
    double fairness() const;

    const std::vector<BenchRequest> &m_requests;
    std::vector<State> m_states;
    LogHistogram m_firstShort;
    LogHistogram m_firstLong;
    LogHistogram m_gapShort;
    LogHistogram m_gapLong;
    double m_stall = 0;
    double m_wholeSum = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_lost = 0;
};

/// The middle value with a 95 % confidence interval from order statistics.
struct Median
{
    double middle = 0;
    double low = 0;
    double high = 0;
};

Median medianOf(std::vector<double> values);

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_RUNMEASURES_H
