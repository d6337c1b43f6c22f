#ifndef CURRANTWALK_DAEMON_TARGETLINK_H
#define CURRANTWALK_DAEMON_TARGETLINK_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/timerservice.h"
#include "calls/generationcall.h"
#include "calls/plaincall.h"
#include "net/fetcher.h"
#include "net/http.h"
#include "targets/targettable.h"

namespace currantwalk {

/// What one exchange with an engine reports; see GenerationCall.
struct EngineExchangeHooks
{
    std::function<void(Incarnation incarnation, std::uint64_t number)> onOpened;
    std::function<void(std::uint32_t position, std::string text)> onToken;
    std::function<void(std::uint32_t tokens, FinishReason reason)> onFinished;
    std::function<void(const absl::Status &status, bool wasSent)> onFailed;
};

/// A running exchange with an engine. Destroying it closes the connection.
class EngineExchange
{
public:
    virtual ~EngineExchange() = default;
};

/// An engine's announcement of what its prefix cache holds.
struct PrefixEvent
{
    std::uint64_t number = 0;
    std::uint64_t prefixHash = 0;
    bool isCached = true;
};

/// Speaks the protocols of model engines and plain services; see docs/PROTOCOLS.md.
class TargetLink
{
public:
    /// All must outlive the link.
    TargetLink(HttpClient &client, Fetcher &fetcher, TimerService &timers);

    /// Sends a prompt as an attempt. Reports come later, never from within.
    std::unique_ptr<EngineExchange> open(const Target &engine, const GenerationAttempt &attempt,
                                         const GenerationRequest &request,
                                         EngineExchangeHooks hooks);
    /// Reads a generation that runs, from a position on.
    std::unique_ptr<EngineExchange> resume(const Target &engine, const GenerationId &generation,
                                           std::uint32_t from, EngineExchangeHooks hooks);
    /// Has a generation stopped; \a callback gets ok() once the engine confirmed it.
    void cancel(const Target &engine, const GenerationAttempt &attempt,
                const std::optional<GenerationId> &generation,
                std::function<void(absl::Status)> callback);
    /// Asks a target for its load report.
    void probe(const Target &target, Duration timeout,
               std::function<void(absl::StatusOr<TargetReport>)> callback);
    /// Fetches prefix cache events from a number on.
    void fetchPrefixEvents(const Target &engine, std::uint64_t from,
                           std::function<void(absl::StatusOr<std::vector<PrefixEvent>>)> callback);
    /// Orders the models that an engine is to have loaded.
    void order(const Target &engine, LogOffset fence, const std::vector<LoadedModel> &models,
               std::function<void(absl::Status)> callback);

    using PlainCallback = std::function<void(absl::StatusOr<PlainResponse>, bool wasSent)>;

    /// Sends a request to a plain service.
    FetchId send(const Target &target, const PlainRequest &request, Duration timeout,
                 PlainCallback callback);
    /// Asks a plain service that stores keys for what it answered.
    FetchId lookUpKey(const Target &target, const std::string &key,
                      std::function<void(absl::StatusOr<std::optional<PlainResponse>>)> callback);
    void abandon(FetchId id) { m_fetcher.abandon(id); }

private:
    HttpClient &m_client;
    Fetcher &m_fetcher;
    TimerService &m_timers;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TARGETLINK_H
