#include "calls/tests/simtargets.h"

#include <algorithm>

namespace currantwalk {

void SimTarget::kill(SimNetwork &network, bool keepsConnectionsOpen)
{
    isAlive = false;
    ++deaths;
    diedAt = network.timers.now();
    if (keepsConnectionsOpen)
        return;
    network.breakAll(
            [this](const SimConnection &connection) { return connection.to.name == place.name; });
}

void SimTarget::restart()
{
    isAlive = true;
    isLeaving = false;
    ++incarnation;
}

std::string SimEngine::text(const Generation &generation, std::uint64_t number,
                            std::uint32_t position) const
{
    return generation.tag + "/" + place.name + "." + std::to_string(incarnation) + "."
           + std::to_string(number) + "/" + std::to_string(position);
}

void SimEngine::open(const ConnectionPtr &connection, const std::string &attempt,
                     const std::string &tag, std::uint32_t tokens, const EngineAnswersPtr &answers)
{
    for (const auto &[number, generation] : m_generations) {
        if (generation.attempt == attempt)
            return attach(number, 0, Reader{connection, answers});
    }
    if (isLeaving || m_network.random.chance(refusalChance)) {
        m_network.answer(connection, [answers] {
            answers->failed(makeError(ErrorCode::TargetBusy, "no room for a generation"));
        });
        return;
    }
    if (!poison.empty() && tag.rfind(poison, 0) == 0)
        return onPoisoned();
    const std::uint64_t number = ++m_lastNumber;
    m_generations[number] = Generation{attempt, tag, tokens, 0, false, {}};
    ++begun[tag];
    attach(number, 0, Reader{connection, answers});
    scheduleToken(number, FirstTokenDelay);
}

void SimEngine::resume(const ConnectionPtr &connection, const GenerationId &generation,
                       std::uint32_t from, const EngineAnswersPtr &answers)
{
    const auto it = m_generations.find(generation.number);
    const bool isKnown = generation.incarnation == incarnation && it != m_generations.end()
                         && !it->second.isCancelled;
    if (isKnown)
        return attach(generation.number, from, Reader{connection, answers});
    m_network.answer(connection, [answers] {
        answers->failed(makeError(ErrorCode::NotFound, "no such generation"));
    });
}

void SimEngine::attach(std::uint64_t number, std::uint32_t from, const Reader &reader)
{
    Generation &generation = m_generations.at(number);
    const GenerationId id{this->id(), incarnation, number};
    m_network.answer(reader.connection, [reader, id] { reader.answers->opened(id); });
    for (std::uint32_t position = from; position < generation.produced; ++position) {
        const std::string token = text(generation, number, position);
        m_network.answer(reader.connection,
                         [reader, position, token] { reader.answers->token(position, token); });
    }
    if (generation.produced == generation.tokens)
        return sendEnd(generation, reader);
    generation.readers.push_back(reader);
}

void SimEngine::sendEnd(const Generation &generation, const Reader &reader)
{
    m_network.answer(reader.connection, [reader, tokens = generation.tokens] {
        reader.answers->finished(tokens, FinishReason::Stop);
    });
}

void SimEngine::scheduleToken(std::uint64_t number, Duration delay)
{
    m_network.timers.scheduleAfter(delay, [this, number, run = incarnation] {
        if (isAlive && run == incarnation)
            produce(number);
    });
}

void SimEngine::produce(std::uint64_t number)
{
    Generation &generation = m_generations.at(number);
    if (generation.isCancelled)
        return;
    const std::uint32_t position = generation.produced++;
    ++producedTokens;
    const std::string token = text(generation, number, position);
    const bool isLast = generation.produced == generation.tokens;
    for (const Reader &reader : generation.readers) {
        m_network.answer(reader.connection,
                         [reader, position, token] { reader.answers->token(position, token); });
        if (isLast)
            sendEnd(generation, reader);
    }
    if (isLast)
        generation.readers.clear();
    else
        scheduleToken(number, TokenInterval);
}

absl::Status SimEngine::cancel(const std::string &attempt,
                               const std::optional<GenerationId> &generation)
{
    for (auto &[number, each] : m_generations) {
        const bool isSame =
                generation ? generation->number == number && generation->incarnation == incarnation
                           : each.attempt == attempt;
        if (!isSame)
            continue;
        each.isCancelled = true;
        for (const Reader &reader : each.readers)
            m_network.breakConnection(reader.connection,
                                      makeError(ErrorCode::ConnectionLost, "cancelled"));
        each.readers.clear();
        return absl::OkStatus();
    }
    return makeError(ErrorCode::NotFound, "no such generation");
}

void SimEngine::kill(SimNetwork &network, bool keepsConnectionsOpen)
{
    m_generations.clear();
    isIsolated = false;
    SimTarget::kill(network, keepsConnectionsOpen);
}

std::uint64_t SimEngine::runningGenerations() const
{
    if (!isAlive)
        return 0;
    return static_cast<std::uint64_t>(
            std::count_if(m_generations.begin(), m_generations.end(), [](const auto &row) {
                return !row.second.isCancelled && row.second.produced < row.second.tokens;
            }));
}

void SimService::call(const ConnectionPtr &connection, const std::string &tag,
                      const std::function<void(const PlainResponse &)> &answer)
{
    if (isLeaving) {
        m_network.answer(connection, [connection] {
            connection->isOpen = false;
            connection->onBroken(makeError(ErrorCode::TargetRefused, "leaving"), true);
        });
        return;
    }
    m_network.timers.scheduleAfter(WorkTime, [this, connection, tag, answer, run = incarnation] {
        if (isAlive && run == incarnation)
            work(connection, tag, answer);
    });
}

void SimService::work(const ConnectionPtr &connection, const std::string &tag,
                      const std::function<void(const PlainResponse &)> &answer)
{
    PlainResponse response;
    response.status = 200;
    response.body = "ran " + tag;
    const bool isKeyed = tag.rfind(KeyPrefix, 0) == 0;
    const bool isRepeat = m_checksKeys && isKeyed && m_stored.count(tag) > 0;
    if (!isRepeat) {
        m_stored[tag] = response;
        onEffect(tag);
    }
    if (isAlive)
        m_network.answer(connection, [answer, response] { answer(response); });
}

std::optional<PlainResponse> SimService::stored(const std::string &tag) const
{
    const auto it = m_stored.find(tag);
    if (it == m_stored.end())
        return std::nullopt;
    return it->second;
}

} // namespace currantwalk
