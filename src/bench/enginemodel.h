#ifndef CURRANTWALK_BENCH_ENGINEMODEL_H
#define CURRANTWALK_BENCH_ENGINEMODEL_H

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <vector>

#include "bench/workload.h"
#include "targets/target.h"

namespace currantwalk {

/// What one engine can do; times in seconds.
struct EngineShape
{
    std::uint64_t memoryTokens = 60000;
    std::size_t batchLimit = 128;
    std::uint32_t stepTokens = 2048; ///< Decoded and prefilled together in one step.
    double stepBase = 0.010;
    double stepPerDecode = 0.00015;
    double stepPerPrefillToken = 0.00005;
    double stepPerMemoryToken = 1e-7;
    std::size_t cachedPrefixes = 4; ///< Shared prefixes kept, least recently used out first.
};

/// A generation at an engine.
struct EngineSequence
{
    std::size_t request = 0; ///< Index in the workload.
    std::uint32_t prompt = 0;
    std::uint32_t generated = 0;
    std::uint32_t answer = 0;
    std::uint32_t prefillLeft = 0;
    std::uint32_t rank = 0;
    std::uint64_t order = 0; ///< Of arrival at the engine.

    std::uint64_t tokens() const { return prompt + generated; }
};

/// A continuously batching engine. Each step decodes one token of each generation and spends what
/// is left of its budget on prompts; when memory runs out, the last come of the lowest priority is
/// preempted and later recomputed.
class EngineModel
{
public:
    struct Hooks
    {
        std::function<void(std::size_t request, std::uint32_t generated)> onToken;
        std::function<void(std::size_t request)> onFinished;
        std::function<void(std::uint64_t prefix, bool isCached)> onCacheEvent;
    };

    EngineModel(const EngineShape &shape, const std::vector<BenchRequest> &requests, Hooks hooks);

    void submit(std::size_t request);
    /// Starts a step and returns how long it takes; 0 if there is nothing to do.
    double beginStep();
    /// Emits the tokens of the step begun.
    void endStep();
    /// Drops everything; returns the requests that were lost.
    std::vector<std::size_t> die();

    TargetLoad load() const;
    std::uint64_t recomputedTokens() const { return m_recomputed; }
    const std::vector<EngineSequence> &running() const { return m_running; }
    const std::deque<EngineSequence> &waiting() const { return m_waiting; }
    std::uint64_t memoryTokens() const { return m_shape.memoryTokens; }

private:
    void admit();
    void enqueue(const EngineSequence &sequence, bool isFirst);
    void makeRoomForDecodes();
    std::size_t decodes() const;
    bool preemptOne();
    void touchPrefix(std::size_t request);
    bool isPrefixCached(std::size_t request) const;

    EngineShape m_shape;
    const std::vector<BenchRequest> &m_requests;
    Hooks m_hooks;
    std::vector<EngineSequence> m_running;
    std::deque<EngineSequence> m_waiting;
    std::list<std::uint64_t> m_prefixes; // Most recently used first.
    std::uint64_t m_used = 0;
    std::uint64_t m_preemptions = 0;
    std::uint64_t m_generated = 0;
    std::uint64_t m_recomputed = 0;
    std::uint64_t m_order = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_ENGINEMODEL_H
