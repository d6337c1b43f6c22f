#include "bench/enginemodel.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

EngineModel::EngineModel(const EngineShape &shape, const std::vector<BenchRequest> &requests,
                         Hooks hooks)
    : m_shape(shape), m_requests(requests), m_hooks(std::move(hooks))
{
}

void EngineModel::submit(std::size_t request)
{
    const BenchRequest &from = m_requests[request];
    EngineSequence sequence;
    sequence.request = request;
    sequence.prompt = from.routing.promptTokens;
    sequence.answer = from.answerTokens;
    sequence.rank = from.routing.priorityRank;
    sequence.order = ++m_order;
    enqueue(sequence, false);
}

// Among equals, a preempted generation goes before those that never ran.
void EngineModel::enqueue(const EngineSequence &sequence, bool isFirst)
{
    const auto it =
            std::find_if(m_waiting.begin(), m_waiting.end(), [&](const EngineSequence &other) {
                return isFirst ? other.rank >= sequence.rank : other.rank > sequence.rank;
            });
    m_waiting.insert(it, sequence);
}

bool EngineModel::isPrefixCached(std::size_t request) const
{
    const BenchRequest &from = m_requests[request];
    if (from.sharedBlocks == 0)
        return false;
    const std::uint64_t prefix = from.routing.prefixHashes[from.sharedBlocks - 1];
    return std::find(m_prefixes.begin(), m_prefixes.end(), prefix) != m_prefixes.end();
}

void EngineModel::touchPrefix(std::size_t request)
{
    const BenchRequest &from = m_requests[request];
    if (from.sharedBlocks == 0)
        return;
    const std::uint64_t prefix = from.routing.prefixHashes[from.sharedBlocks - 1];
    const auto it = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    if (it != m_prefixes.end()) {
        m_prefixes.splice(m_prefixes.begin(), m_prefixes, it);
        return;
    }
    m_prefixes.push_front(prefix);
    m_hooks.onCacheEvent(prefix, true);
    if (m_prefixes.size() <= m_shape.cachedPrefixes)
        return;
    m_hooks.onCacheEvent(m_prefixes.back(), false);
    m_prefixes.pop_back();
}

void EngineModel::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_shape.batchLimit) {
        EngineSequence sequence = m_waiting.front();
        if (m_used + sequence.tokens() + 1 > m_shape.memoryTokens)
            return;
        m_waiting.pop_front();
        const std::uint32_t cached =
                isPrefixCached(sequence.request)
                        ? m_requests[sequence.request].sharedBlocks * BlockTokens
                        : 0;
        sequence.prefillLeft = static_cast<std::uint32_t>(sequence.tokens()) - cached;
        m_recomputed += sequence.generated > 0 ? sequence.prefillLeft : 0;
        m_used += sequence.tokens();
        touchPrefix(sequence.request);
        m_running.push_back(sequence);
    }
}

std::size_t EngineModel::decodes() const
{
    return static_cast<std::size_t>(
            std::count_if(m_running.begin(), m_running.end(),
                          [](const EngineSequence &one) { return one.prefillLeft == 0; }));
}

bool EngineModel::preemptOne()
{
    if (m_running.size() < 2)
        return false;
    const auto victim =
            std::max_element(m_running.begin(), m_running.end(),
                             [](const EngineSequence &a, const EngineSequence &b) {
                                 return std::pair(a.rank, a.order) < std::pair(b.rank, b.order);
                             });
    m_used -= victim->tokens();
    ++m_preemptions;
    const EngineSequence sequence = *victim;
    m_running.erase(victim);
    enqueue(sequence, true);
    return true;
}

void EngineModel::makeRoomForDecodes()
{
    // Each running generation may gain a token in this step.
    while (m_used + m_running.size() > m_shape.memoryTokens) {
        if (!preemptOne())
            return;
    }
}

double EngineModel::beginStep()
{
    admit();
    makeRoomForDecodes();
    if (m_running.empty())
        return 0;
    const std::size_t decoding = decodes();
    std::uint32_t budget = m_shape.stepTokens - static_cast<std::uint32_t>(decoding);
    const std::uint32_t wholeBudget = budget;
    for (EngineSequence &sequence : m_running) {
        const std::uint32_t part = std::min(budget, sequence.prefillLeft);
        sequence.prefillLeft -= part;
        budget -= part;
    }
    return m_shape.stepBase + m_shape.stepPerDecode * static_cast<double>(decoding)
           + m_shape.stepPerPrefillToken * (wholeBudget - budget)
           + m_shape.stepPerMemoryToken * static_cast<double>(m_used);
}

// A generation whose prompt was finished in this step emits a token at once.
void EngineModel::endStep()
{
    std::vector<std::size_t> finished;
    for (EngineSequence &sequence : m_running) {
        if (sequence.prefillLeft > 0)
            continue;
        ++sequence.generated;
        ++m_used;
        ++m_generated;
        m_hooks.onToken(sequence.request, sequence.generated);
        if (sequence.generated == sequence.answer)
            finished.push_back(sequence.request);
    }
    if (finished.empty())
        return;
    std::erase_if(m_running, [this](const EngineSequence &sequence) {
        if (sequence.generated < sequence.answer)
            return false;
        m_used -= sequence.tokens();
        return true;
    });
    for (const std::size_t request : finished)
        m_hooks.onFinished(request);
}

std::vector<std::size_t> EngineModel::die()
{
    std::vector<std::size_t> lost;
    for (const EngineSequence &sequence : m_running)
        lost.push_back(sequence.request);
    for (const EngineSequence &sequence : m_waiting)
        lost.push_back(sequence.request);
    m_running.clear();
    m_waiting.clear();
    m_prefixes.clear();
    m_used = 0;
    return lost;
}

TargetLoad EngineModel::load() const
{
    TargetLoad load;
    load.running = static_cast<std::uint32_t>(m_running.size());
    load.waiting = static_cast<std::uint32_t>(m_waiting.size());
    load.usedTokens = m_used;
    load.capacityTokens = m_shape.memoryTokens;
    load.preemptions = m_preemptions;
    load.generatedTokens = m_generated;
    return load;
}

} // namespace currantwalk
