#ifndef CURRANTWALK_STANDIN_ENGINESERVER_H
#define CURRANTWALK_STANDIN_ENGINESERVER_H

#include <map>
#include <memory>
#include <string>

#include "net/http.h"
#include "standin/engine.h"
#include "standin/faultgate.h"

namespace currantwalk::standin {

/// Serves the engine protocol over HTTP for one engine.
class EngineServer
{
public:
    EngineServer(const Engine::Options &options, TimerService &timers, RandomSource &random);

    void handle(std::shared_ptr<HttpExchange> exchange);
    FaultGate &faults() { return m_faults; }
    const Engine &engine() const { return m_engine; }
    void leave() { m_engine.setLeaving(); }
    /// Ends the engine and all its connections; it comes back after \a downTime with a higher
    /// incarnation, or never where that is 0.
    void crash(Duration downTime);
    bool isDown() const { return m_isDown; }
    Incarnation incarnation() const { return m_incarnation; }
    /// Has the engine die of each prompt that contains \a text, and come back after \a downTime.
    void setPoison(std::string text, Duration downTime);
    std::uint64_t crashes() const { return m_crashes; }
    std::uint64_t cancels() const { return m_cancels; }

    /// Cuts off all answers that have begun, as a reset of the links does.
    void cutStreams();

private:
    /// An answer that has begun, with what a stalled link keeps from it.
    struct Stream
    {
        std::shared_ptr<HttpExchange> exchange;
        std::string held;
        bool isEnded = false;
    };

    void dispatch(const std::shared_ptr<HttpExchange> &exchange);
    void openGeneration(const std::shared_ptr<HttpExchange> &exchange);
    void resumeGeneration(const std::shared_ptr<HttpExchange> &exchange, Incarnation incarnation,
                          std::uint64_t generation, std::uint32_t from);
    void stream(const std::shared_ptr<HttpExchange> &exchange, std::uint64_t generation,
                std::uint32_t from);
    void send(std::uint64_t generation, const std::shared_ptr<HttpExchange> &exchange,
              const std::string &event, bool isLast);
    void flush(std::uint64_t generation);
    void flushAll();
    void cancel(HttpExchange &exchange, Incarnation incarnation, std::uint64_t generation);
    void cancelAttempt(HttpExchange &exchange, const std::string &attempt);
    void replyLoad(HttpExchange &exchange) const;
    void replyCacheEvents(HttpExchange &exchange, std::uint64_t from) const;
    void takeOrder(HttpExchange &exchange);

    TimerService &m_timers;
    FaultGate m_faults;
    Engine m_engine;
    Incarnation m_incarnation = 1;
    std::map<std::uint64_t, Stream> m_streams;
    std::string m_poison; ///< Empty: none.
    Duration m_poisonDownTime{0};
    std::uint64_t m_crashes = 0;
    std::uint64_t m_cancels = 0;
    bool m_isDown = false;
};

} // namespace currantwalk::standin

#endif // CURRANTWALK_STANDIN_ENGINESERVER_H
