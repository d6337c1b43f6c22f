#ifndef CURRANTWALK_STANDIN_ENGINE_H
#define CURRANTWALK_STANDIN_ENGINE_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "targets/target.h"

namespace currantwalk::standin {

/// A request for a generation, as the engine's protocol carries it.
struct EngineRequest
{
    std::string attempt;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0; ///< 0: the engine's own bound.
    std::uint32_t priority = 0;  ///< 0 is kept longest when memory runs out.
};

/// Reads the tokens of one generation in order of position.
struct EngineReader
{
    std::function<void(std::uint32_t position, const std::string &text)> onToken;
    std::function<void(const std::string &reason, std::uint32_t tokens)> onEnd;
    std::function<void()> onCancelled;
};

/// A row of the engine's stream of cache events.
struct CacheEvent
{
    std::uint64_t number = 0;
    std::uint64_t prefixHash = 0;
    bool isCached = true;
    TimePoint visibleAt{};
};

/// An engine that batches continuously, with a memory counted in tokens that can fill up: the
/// generation of least priority is then preempted and computed again later.
class Engine
{
public:
    struct Options
    {
        std::uint64_t capacityTokens = 20000;
        std::uint32_t maxBatch = 32;
        std::uint32_t maxWaiting = 64;
        Duration stepTime = std::chrono::milliseconds(20);
        Duration loadLag = std::chrono::milliseconds(500);
        Duration cacheEventLag = std::chrono::milliseconds(800);
        double cacheEventLoss = 0.1; ///< Share of events that are never published.
        std::uint32_t prefillTokensPerStep = 2000;
        std::uint32_t meanTokens = 200;
        bool checksFencing = true;
        std::vector<LoadedModel> models;
    };

    struct Load
    {
        TargetLoad load;
        Duration age{0};
    };

    Engine(const Options &options, TimerService &timers, std::uint64_t seed);
    ~Engine();

    /// Starts a generation, or returns the one that this attempt started before. Fails with
    /// TargetBusy, TargetRefused (leaving) or UnknownModel; nothing runs then.
    absl::StatusOr<std::uint64_t> open(const EngineRequest &request);
    /// Attaches a reader from a position on; the one that was there before is dropped. Fails with
    /// ResumeExpired where the generation is not known.
    absl::Status read(std::uint64_t generation, std::uint32_t from, EngineReader reader);
    void detach(std::uint64_t generation);
    /// Stops a generation; false where it is not known or has ended.
    bool cancel(std::uint64_t generation);
    bool cancelAttempt(const std::string &attempt);
    std::optional<std::uint64_t> findAttempt(const std::string &attempt) const;

    /// Replaces the loaded models. Fails with FencedOff for a fence lower than one seen.
    absl::Status order(std::uint64_t fence, std::vector<LoadedModel> models);

    /// Returns the load as it was a lag ago.
    Load laggingLoad() const;
    std::vector<CacheEvent> cacheEvents(std::uint64_t from) const;
    const std::vector<LoadedModel> &models() const { return m_options.models; }
    bool isLeaving() const { return m_isLeaving; }
    void setLeaving() { m_isLeaving = true; }
    /// Forgets every generation, as a crash does.
    void crash();
    std::uint64_t generationsRun() const { return m_lastGeneration; }
    std::uint64_t tokensGenerated() const { return m_generatedTokens; }

private:
    struct Generation;

    void step();
    void scheduleStep();
    void admitWaiting();
    void generateToken(Generation &generation);
    void end(Generation &generation, const std::string &reason);
    void preemptForRoom();
    void feedReader(Generation &generation);
    void publishPrefix(const std::string &prompt);
    void sampleLoad();
    TargetLoad currentLoad() const;
    Generation *find(std::uint64_t generation);
    Generation *leastImportantRunning();
    void forgetEnded();

    Options m_options;
    TimerService &m_timers;
    RandomSource m_random;
    std::map<std::uint64_t, std::unique_ptr<Generation>> m_generations;
    std::map<std::string, std::uint64_t> m_attempts;
    std::deque<std::uint64_t> m_waiting;
    std::vector<std::uint64_t> m_running;
    std::deque<std::uint64_t> m_ended;
    std::vector<CacheEvent> m_cacheEvents;
    std::set<std::uint64_t> m_cachedPrefixes;
    std::deque<std::pair<TimePoint, TargetLoad>> m_loads;
    std::uint64_t m_lastGeneration = 0;
    std::uint64_t m_usedTokens = 0;
    std::uint64_t m_preemptions = 0;
    std::uint64_t m_generatedTokens = 0;
    std::uint64_t m_highestFence = 0;
    TimerId m_stepTimer = NoTimer;
    bool m_isLeaving = false;
};

} // namespace currantwalk::standin

#endif // CURRANTWALK_STANDIN_ENGINE_H
