#ifndef CURRANTWALK_CALLS_TESTS_SIMCALLER_H
#define CURRANTWALK_CALLS_TESTS_SIMCALLER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "calls/tests/simworld.h"

namespace currantwalk {

enum class SimRequestKind { Streamed, Whole, Idempotent, Keyed, Unkeyed };

std::string_view simRequestKindName(SimRequestKind kind);

/// Outcome of a request as seen by its caller.
enum class SimOutcome {
    Open,
    Done,
    NotRun,
    Failed,
    Unknown,
};

std::string_view simOutcomeName(SimOutcome end);

/// A caller that verifies everything it receives. After its connection has broken, it reconnects
/// through another entry VM: with its resume token, with its idempotency key, or by a new
/// submission if that is safe.
class SimCaller
{
public:
    struct Options
    {
        SimRequestKind kind = SimRequestKind::Streamed;
        std::string name; ///< Shared by duplicates; determines the idempotency key.
        std::uint32_t tokens = 40;
        LossPolicy lossPolicy = LossPolicy::End;
        Duration deadline = std::chrono::seconds(90);
        std::uint32_t maxResubmissions = 4;
        Duration blockedDuration{0}; ///< Reads nothing for this long after its first token.
    };

    SimCaller(SimWorld &world, Options options);

    void submit(std::size_t node);
    /// Closes the caller's connection permanently.
    void leave();
    /// Breaks the caller's connection; the caller reconnects through another entry VM.
    void reconnect();
    /// Checks what must hold after all requests have ended.
    void checkFinalState();

    SimOutcome end() const { return m_end; }
    bool hasLeft() const { return m_hasLeft; }
    ErrorCode lastError() const { return m_lastError; }
    const Options &options() const { return m_options; }
    std::uint32_t submissions() const { return m_submissions; }
    std::uint32_t resumes() const { return m_resumes; }
    std::string tag() const;
    TimePoint firstTokenAt() const { return m_firstTokenAt; }
    TimePoint endedAt() const { return m_endedAt; }

private:
    CallerEvents events();
    GenerationRequest generationRequest() const;
    PlainRequest plainRequest() const;
    void onToken(const GenerationId &generation, std::uint32_t position, const std::string &text,
                 const std::string &resumeToken);
    void onRestart();
    void onFinish();
    void onResponse(const PlainResponse &response);
    void onFail(const absl::Status &status, Outcome outcome);
    void onLost();
    void watch();
    void notifyCallerGone();
    void block();
    void retryAtOtherNode();
    bool isGeneration() const;
    bool mayResubmit() const;
    void finish(SimOutcome end);
    void reportViolation(const std::string &what);
    std::size_t nextReadyNode() const;

    SimWorld &m_world;
    const Options m_options;
    std::size_t m_node = 0;
    std::uint64_t m_call = 0;
    std::shared_ptr<bool> m_isDaemonAlive; // Of the daemon that serves the request.
    std::uint64_t m_session = 0;           // Events of earlier sessions are ignored.
    std::uint32_t m_submissions = 0;
    std::uint32_t m_resumes = 0;
    std::string m_tag;
    std::optional<GenerationId> m_generation;
    std::uint32_t m_received = 0;
    std::string m_resumeToken;
    bool m_hasLeft = false;
    SimOutcome m_end = SimOutcome::Open;
    ErrorCode m_lastError = ErrorCode::Internal;
    std::vector<std::string> m_notRunTags;
    TimePoint m_firstTokenAt{};
    TimePoint m_endedAt{};
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_SIMCALLER_H
