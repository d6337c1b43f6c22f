#ifndef CURRANTWALK_CALLS_TESTS_SIMCALLER_H
#define CURRANTWALK_CALLS_TESTS_SIMCALLER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "calls/tests/simworld.h"

namespace currantwalk {

enum class SimKind { Streamed, Whole, Idempotent, Keyed, Unkeyed };

std::string_view simKindName(SimKind kind);

/// How a request ended as its caller sees it.
enum class SimEnd {
    Open,
    Done,
    NotRun,
    Failed,
    Unknown,
};

std::string_view simEndName(SimEnd end);

/// A caller that checks all it is told. When its connection breaks it comes back through another
/// entry VM: with its resume token, with its key, or anew where that is sound.
class SimCaller
{
public:
    struct Options
    {
        SimKind kind = SimKind::Streamed;
        std::string name; ///< Unique; the key of a keyed request is made of it.
        std::uint32_t tokens = 40;
        LossPolicy lossPolicy = LossPolicy::End;
        Duration deadline = std::chrono::seconds(90);
        std::uint32_t maxResubmissions = 4;
        Duration blocksFor{0}; ///< Takes nothing for so long after its first token.
    };

    SimCaller(SimWorld &world, Options options);

    void submit(std::size_t node);
    /// Closes the caller's connection for good.
    void leave();
    /// Loses the caller's connection; it comes back through another entry VM.
    void reconnect();
    /// Checks what must hold once all is quiet.
    void checkAtRest();

    SimEnd end() const { return m_end; }
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
    void tellGone();
    void block();
    void comeBack();
    bool isGeneration() const;
    bool mayResubmit() const;
    void finish(SimEnd end);
    void violate(const std::string &what);
    std::size_t otherNode() const;

    SimWorld &m_world;
    const Options m_options;
    std::size_t m_node = 0;
    std::uint64_t m_call = 0;
    std::shared_ptr<bool> m_life; // Of the daemon that serves it.
    std::uint64_t m_session = 0;  // Events of earlier connections are nobody's.
    std::uint32_t m_submissions = 0;
    std::uint32_t m_resumes = 0;
    std::string m_tag;
    std::optional<GenerationId> m_generation;
    std::uint32_t m_received = 0;
    std::string m_resumeToken;
    bool m_hasLeft = false;
    SimEnd m_end = SimEnd::Open;
    ErrorCode m_lastError = ErrorCode::Internal;
    std::vector<std::string> m_tagsNotRun;
    TimePoint m_firstTokenAt{};
    TimePoint m_endedAt{};
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_SIMCALLER_H
