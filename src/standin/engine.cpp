#include "standin/engine.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <string_view>
#include <utility>

#include "base/ids.h"
#include "targets/prompt.h"

namespace currantwalk::standin {

static constexpr std::size_t KeptEndedGenerations = 1000;
static constexpr std::size_t KeptCacheEvents = 10000;
static constexpr std::size_t MaxCachedPrefixes = 256;
static constexpr Duration LoadSampleInterval = std::chrono::milliseconds(100);
static constexpr double LengthDeviation = 1.0; ///< Of the logarithm of a length.

struct Engine::Generation
{
    enum class State { Waiting, Prefilling, Decoding, Ended, Cancelled };

    std::uint64_t number = 0;
    EngineRequest request;
    State state = State::Waiting;
    std::uint32_t length = 0;
    std::uint32_t heldTokens = 0; ///< Of the engine's memory.
    std::uint32_t toPrefill = 0;
    std::vector<std::string> tokens;
    std::string finishReason;
    std::optional<EngineReader> reader;
    std::uint32_t nextToRead = 0;

    bool isOver() const { return state == State::Ended || state == State::Cancelled; }
    bool isRunning() const { return state == State::Prefilling || state == State::Decoding; }
};

Engine::Engine(const Options &options, TimerService &timers, std::uint64_t seed)
    : m_options(options), m_timers(timers), m_random(seed)
{
    scheduleStep();
}

Engine::~Engine()
{
    m_timers.cancel(m_stepTimer);
}

absl::StatusOr<std::uint64_t> Engine::open(const EngineRequest &request)
{
    if (const std::optional<std::uint64_t> running = findAttempt(request.attempt))
        return *running;
    if (m_isLeaving)
        return makeError(ErrorCode::TargetRefused, "the engine is leaving");
    const auto isWanted = [&](const LoadedModel &model) { return model.name == request.model; };
    if (std::none_of(m_options.models.begin(), m_options.models.end(), isWanted))
        return makeError(ErrorCode::UnknownModel, "the model is not loaded here");
    if (m_waiting.size() >= m_options.maxWaiting)
        return makeError(ErrorCode::TargetBusy, "the engine's queue is full");

    auto generation = std::make_unique<Generation>();
    generation->number = ++m_lastGeneration;
    generation->request = request;
    const double logMean = std::log(static_cast<double>(m_options.meanTokens)) - 0.5;
    const double drawn = std::exp(m_random.normal(logMean, LengthDeviation));
    generation->length = std::max(1U, static_cast<std::uint32_t>(drawn));
    m_attempts[request.attempt] = generation->number;
    m_waiting.push_back(generation->number);
    const std::uint64_t number = generation->number;
    m_generations[number] = std::move(generation);
    return number;
}

absl::Status Engine::read(std::uint64_t generation, std::uint32_t from, EngineReader reader)
{
    Generation *found = find(generation);
    if (!found || from > found->tokens.size())
        return makeError(ErrorCode::ResumeExpired, "the generation is not known here");
    found->reader = std::move(reader);
    found->nextToRead = from;
    // Readers are called from the loop only, so that they may attach before they are called.
    m_timers.scheduleAfter(Duration(0), [this, generation] {
        if (Generation *attached = find(generation))
            feedReader(*attached);
    });
    return absl::OkStatus();
}

void Engine::detach(std::uint64_t generation)
{
    if (Generation *found = find(generation))
        found->reader.reset();
}

bool Engine::cancel(std::uint64_t generation)
{
    Generation *found = find(generation);
    if (!found || found->isOver())
        return false;
    m_usedTokens -= found->heldTokens;
    found->heldTokens = 0;
    found->state = Generation::State::Cancelled;
    std::erase(m_running, generation);
    std::erase(m_waiting, generation);
    m_ended.push_back(generation);
    feedReader(*found);
    return true;
}

bool Engine::cancelAttempt(const std::string &attempt)
{
    const std::optional<std::uint64_t> generation = findAttempt(attempt);
    return generation && cancel(*generation);
}

std::optional<std::uint64_t> Engine::findAttempt(const std::string &attempt) const
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return std::nullopt;
    return it->second;
}

absl::Status Engine::order(std::uint64_t fence, std::vector<LoadedModel> models)
{
    if (m_options.checksFencing && fence < m_highestFence)
        return makeError(ErrorCode::FencedOff, std::to_string(m_highestFence));
    m_highestFence = std::max(m_highestFence, fence);
    m_options.models = std::move(models);
    return absl::OkStatus();
}

Engine::Load Engine::laggingLoad() const
{
    const TimePoint visible = m_timers.now() - m_options.loadLag;
    Load result;
    result.age = m_options.loadLag;
    for (const auto &[sampledAt, load] : m_loads) {
        if (sampledAt > visible)
            break;
        result.load = load;
        result.age = m_timers.now() - sampledAt;
    }
    result.load.capacityTokens = m_options.capacityTokens;
    return result;
}

std::vector<CacheEvent> Engine::cacheEvents(std::uint64_t from) const
{
    std::vector<CacheEvent> events;
    for (const CacheEvent &event : m_cacheEvents) {
        if (event.number >= from && event.visibleAt <= m_timers.now())
            events.push_back(event);
    }
    return events;
}

void Engine::crash()
{
    m_generations.clear();
    m_attempts.clear();
    m_waiting.clear();
    m_running.clear();
    m_ended.clear();
    m_cachedPrefixes.clear();
    m_cacheEvents.clear();
    m_loads.clear();
    m_usedTokens = 0;
    m_preemptions = 0;
    m_generatedTokens = 0;
}

void Engine::scheduleStep()
{
    m_stepTimer = m_timers.scheduleAfter(m_options.stepTime, [this] {
        step();
        scheduleStep();
    });
}

void Engine::step()
{
    sampleLoad();
    admitWaiting();
    std::uint32_t prefillBudget = m_options.prefillTokensPerStep;
    const std::vector<std::uint64_t> batch = m_running;
    for (const std::uint64_t number : batch) {
        Generation *generation = find(number);
        if (!generation || !generation->isRunning())
            continue;
        if (generation->state == Generation::State::Prefilling) {
            const std::uint32_t part = std::min(prefillBudget, generation->toPrefill);
            prefillBudget -= part;
            generation->toPrefill -= part;
            if (generation->toPrefill > 0)
                continue;
            generation->state = Generation::State::Decoding;
            publishPrefix(generation->request.prompt);
        }
        generateToken(*generation);
    }
    forgetEnded();
    assert(m_usedTokens <= m_options.capacityTokens && "the memory holds what is counted");
}

void Engine::admitWaiting()
{
    while (!m_waiting.empty() && m_running.size() < m_options.maxBatch) {
        Generation *generation = find(m_waiting.front());
        assert(generation && "only known generations wait");
        const std::uint32_t needed = estimatePromptTokens(generation->request.prompt)
                                     + static_cast<std::uint32_t>(generation->tokens.size()) + 1;
        if (needed > m_options.capacityTokens) {
            m_waiting.pop_front();
            end(*generation, "length");
            continue;
        }
        if (m_usedTokens + needed > m_options.capacityTokens)
            return;
        m_waiting.pop_front();
        generation->heldTokens = needed - 1;
        m_usedTokens += generation->heldTokens;
        generation->toPrefill = generation->heldTokens;
        generation->state = Generation::State::Prefilling;
        m_running.push_back(generation->number);
    }
}

void Engine::generateToken(Generation &generation)
{
    if (m_usedTokens + 1 > m_options.capacityTokens)
        preemptForRoom();
    if (!generation.isRunning())
        return;
    ++generation.heldTokens;
    ++m_usedTokens;
    ++m_generatedTokens;
    // Words differ between generations, so that mixing two of them shows.
    static constexpr std::array<std::string_view, 16> Words{
            "crate",  "pallet", "basin",  "gauge", "frozen", "order", "slope",  "mesh",
            "intake", "weir",   "storey", "truck", "depot",  "inlet", "ledger", "valve"};
    const std::uint64_t position = generation.tokens.size();
    const std::string seed = generation.request.attempt + "/" + std::to_string(generation.number);
    const std::uint64_t hash = stableHash(seed, position);
    generation.tokens.push_back(std::string(Words[hash % Words.size()]) + " ");
    const std::uint32_t bound = generation.request.maxTokens;
    if (generation.tokens.size() >= generation.length)
        end(generation, "stop");
    else if (bound > 0 && generation.tokens.size() >= bound)
        end(generation, "length");
    else
        feedReader(generation);
}

void Engine::end(Generation &generation, const std::string &reason)
{
    m_usedTokens -= generation.heldTokens;
    generation.heldTokens = 0;
    generation.state = Generation::State::Ended;
    generation.finishReason = reason;
    std::erase(m_running, generation.number);
    m_ended.push_back(generation.number);
    feedReader(generation);
}

void Engine::preemptForRoom()
{
    Generation *victim = leastImportantRunning();
    assert(victim && "a full memory has someone in it");
    m_usedTokens -= victim->heldTokens;
    victim->heldTokens = 0;
    victim->state = Generation::State::Waiting;
    std::erase(m_running, victim->number);
    m_waiting.push_front(victim->number);
    ++m_preemptions;
}

Engine::Generation *Engine::leastImportantRunning()
{
    Generation *least = nullptr;
    for (const std::uint64_t number : m_running) {
        Generation *generation = find(number);
        // Of equal priority the youngest goes, since it loses the least work.
        if (!least || generation->request.priority >= least->request.priority)
            least = generation;
    }
    return least;
}

void Engine::feedReader(Generation &generation)
{
    const std::uint64_t number = generation.number;
    while (generation.reader && generation.nextToRead < generation.tokens.size()) {
        const std::uint32_t position = generation.nextToRead++;
        generation.reader->onToken(position, generation.tokens[position]);
        if (!find(number))
            return;
    }
    if (!generation.reader || !generation.isOver())
        return;
    const EngineReader reader = *std::exchange(generation.reader, std::nullopt);
    if (generation.state == Generation::State::Cancelled)
        reader.onCancelled();
    else
        reader.onEnd(generation.finishReason, static_cast<std::uint32_t>(generation.tokens.size()));
}

void Engine::publishPrefix(const std::string &prompt)
{
    for (const std::uint64_t hash : promptPrefixHashes(prompt)) {
        const bool isNew = m_cachedPrefixes.insert(hash).second;
        const bool isPublished = !m_random.chance(m_options.cacheEventLoss);
        if (isNew && isPublished && m_cacheEvents.size() < KeptCacheEvents) {
            const TimePoint visibleAt = m_timers.now() + m_options.cacheEventLag;
            m_cacheEvents.push_back({m_cacheEvents.size() + 1, hash, true, visibleAt});
        }
    }
    while (m_cachedPrefixes.size() > MaxCachedPrefixes) {
        const std::uint64_t dropped = *m_cachedPrefixes.begin();
        m_cachedPrefixes.erase(m_cachedPrefixes.begin());
        const TimePoint visibleAt = m_timers.now() + m_options.cacheEventLag;
        if (m_cacheEvents.size() < KeptCacheEvents)
            m_cacheEvents.push_back({m_cacheEvents.size() + 1, dropped, false, visibleAt});
    }
}

void Engine::sampleLoad()
{
    const TimePoint now = m_timers.now();
    if (!m_loads.empty() && now - m_loads.back().first < LoadSampleInterval)
        return;
    m_loads.emplace_back(now, currentLoad());
    while (m_loads.size() > 1 && m_loads[1].first <= now - m_options.loadLag)
        m_loads.pop_front();
}

TargetLoad Engine::currentLoad() const
{
    TargetLoad load;
    load.running = static_cast<std::uint32_t>(m_running.size());
    load.waiting = static_cast<std::uint32_t>(m_waiting.size());
    load.usedTokens = m_usedTokens;
    load.capacityTokens = m_options.capacityTokens;
    load.preemptions = m_preemptions;
    load.generatedTokens = m_generatedTokens;
    return load;
}

Engine::Generation *Engine::find(std::uint64_t generation)
{
    const auto it = m_generations.find(generation);
    return it == m_generations.end() ? nullptr : it->second.get();
}

void Engine::forgetEnded()
{
    while (m_ended.size() > KeptEndedGenerations) {
        const Generation *generation = find(m_ended.front());
        m_attempts.erase(generation->request.attempt);
        m_generations.erase(m_ended.front());
        m_ended.pop_front();
    }
}

} // namespace currantwalk::standin
