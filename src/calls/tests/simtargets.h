#ifndef CURRANTWALK_CALLS_TESTS_SIMTARGETS_H
#define CURRANTWALK_CALLS_TESTS_SIMTARGETS_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "calls/generationcall.h"
#include "calls/plaincall.h"
#include "calls/tests/simnetwork.h"

namespace currantwalk {

/// Base of simulated engines and services.
struct SimTarget
{
    SimEndpoint place;
    Incarnation incarnation = 1;
    bool isAlive = true;
    bool isLeaving = false;
    std::uint32_t deaths = 0;
    TimePoint diedAt{};

    virtual ~SimTarget() = default;
    TargetId id() const { return TargetId(place.name); }
    /// If \a keepsConnectionsOpen is true, open connections neither break nor answer, as after the
    /// loss of a VM.
    virtual void kill(SimNetwork &network, bool keepsConnectionsOpen);
    void restart();
};

/// Messages from an engine to a node.
struct EngineAnswers
{
    std::function<void(const GenerationId &)> opened;
    std::function<void(std::uint32_t, std::string)> token;
    std::function<void(std::uint32_t, FinishReason)> finished;
    std::function<void(const absl::Status &)> failed;
};

using EngineAnswersPtr = std::shared_ptr<const EngineAnswers>;

/// A simulated engine. Opening the same attempt id again attaches to its generation.
class SimEngine : public SimTarget
{
public:
    static constexpr Duration TokenInterval = std::chrono::milliseconds(20);
    static constexpr Duration FirstTokenDelay = std::chrono::milliseconds(60);

    explicit SimEngine(SimNetwork &network) : m_network(network) {}

    /// \a tag identifies the request in the text of its tokens.
    void open(const ConnectionPtr &connection, const std::string &attempt, const std::string &tag,
              std::uint32_t tokens, const EngineAnswersPtr &answers);
    void resume(const ConnectionPtr &connection, const GenerationId &generation, std::uint32_t from,
                const EngineAnswersPtr &answers);
    absl::Status cancel(const std::string &attempt, const std::optional<GenerationId> &generation);
    void kill(SimNetwork &network, bool keepsConnectionsOpen) override;

    std::uint64_t runningGenerations() const;
    /// Number of generations started for each request, by tag.
    std::map<std::string, std::uint32_t> begun;
    std::uint64_t producedTokens = 0;
    double refusalChance = 0;
    bool isIsolated = false; ///< Reserved by the nodes for one suspect request.
    std::string poison;      ///< Requests whose tag has this prefix crash the engine.
    std::function<void()> onPoisoned;

private:
    struct Reader
    {
        ConnectionPtr connection;
        EngineAnswersPtr answers;
    };

    struct Generation
    {
        std::string attempt;
        std::string tag;
        std::uint32_t tokens = 0;
        std::uint32_t produced = 0;
        bool isCancelled = false;
        std::vector<Reader> readers;
    };

    void attach(std::uint64_t number, std::uint32_t from, const Reader &reader);
    void scheduleToken(std::uint64_t number, Duration delay);
    void produce(std::uint64_t number);
    std::string text(const Generation &generation, std::uint64_t number,
                     std::uint32_t position) const;
    void sendEnd(const Generation &generation, const Reader &reader);

    SimNetwork &m_network;
    std::map<std::uint64_t, Generation> m_generations;
    std::uint64_t m_lastNumber = 0;
};

/// A simulated plain service. If it checks keys, it runs each key only once.
class SimService : public SimTarget
{
public:
    static constexpr Duration WorkTime = std::chrono::milliseconds(30);

    SimService(SimNetwork &network, bool checksKeys) : m_network(network), m_checksKeys(checksKeys)
    {
    }

    static constexpr std::string_view KeyPrefix = "key-";

    /// \a tag is the idempotency key of the request, which begins with KeyPrefix, or, without a
    /// key, the request id.
    void call(const ConnectionPtr &connection, const std::string &tag,
              const std::function<void(const PlainResponse &)> &answer);
    std::optional<PlainResponse> stored(const std::string &tag) const;

    std::function<void(const std::string &tag)> onEffect = [](const std::string &) {};

private:
    void work(const ConnectionPtr &connection, const std::string &tag,
              const std::function<void(const PlainResponse &)> &answer);

    SimNetwork &m_network;
    bool m_checksKeys;
    std::map<std::string, PlainResponse> m_stored; // Survives restarts, like a database.
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_SIMTARGETS_H
