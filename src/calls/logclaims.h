#ifndef CURRANTWALK_CALLS_LOGCLAIMS_H
#define CURRANTWALK_CALLS_LOGCLAIMS_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/randomsource.h"
#include "calls/claimindex.h"
#include "calls/claims.h"
#include "calls/claimwriter.h"
#include "log/streamreader.h"

namespace currantwalk {

/// Implements Claims by appending records to the log and reading them back.
class LogClaims : public Claims
{
public:
    LogClaims(const Options &options, LogHooks log, TimerService &timers);
    ~LogClaims() override;

    LogClaims(const LogClaims &) = delete;
    LogClaims &operator=(const LogClaims &) = delete;

    void claim(const ClaimRequest &request, Callback callback) override;
    void recordResult(const ClaimRequest &request, const PlainResponse &response) override;
    void recordNotRun(const ClaimRequest &request, const absl::Status &status) override;
    void recordUnknown(const ClaimRequest &request) override;
    void lookUp(const ClaimRequest &request, Callback callback) override;
    std::size_t unsettled() const override { return m_waiters.size() + m_outgoing.size(); }
    const ClaimCounts &counts() const override { return m_counts; }

private:
    using Number = std::uint64_t;

    /// One stream of claims with its index, its reader and its writer.
    struct Shard
    {
        explicit Shard(Duration lifetime) : index(lifetime) {}

        ClaimIndex index;
        std::optional<TimePoint> caughtUpAt; // All records appended before this time were read.
        absl::Status lastFailure;
        std::unique_ptr<ClaimWriter> writer;
        std::unique_ptr<StreamReader> reader;
        TimerId pollTimer = NoTimer;
        std::unordered_map<std::string, std::vector<Number>> waiters; // By key.
        std::set<Number> recheckWhenCaughtUp; // Waiters to evaluate at the end of the stream.
    };

    enum class AppendState {
        None,      ///< Not appended, or proven to have had no effect.
        InFlight,  ///< An append is in flight.
        Uncertain, ///< An append failed, but may have taken effect.
    };

    /// A claim or a look-up that has not been answered yet.
    struct Waiter
    {
        ClaimRequest request;
        Callback callback;
        std::string key;
        std::string claimId; // Empty for a look-up.
        std::uint32_t shard = 0;
        TimePoint startedAt{};
        AppendState append = AppendState::None;
        bool mayHaveTakenEffect = false; // At least one append may have taken effect.
        std::uint32_t tries = 0;
        bool isFetching = false;
        TimerId deadlineTimer = NoTimer;
        TimerId retryTimer = NoTimer;
    };

    /// A won claim whose outcome has not been recorded yet.
    struct WonClaim
    {
        std::string claimId;
        TimePoint expiresAt{};
    };

    /// A record that ends a claim, kept until the log has acknowledged it or giveUpAt has passed.
    struct OutgoingRecord
    {
        std::uint32_t shard = 0;
        std::string record;
        TimePoint giveUpAt{};
        std::uint32_t tries = 0;
        TimerId timer = NoTimer;
    };

    Number addWaiter(const ClaimRequest &request, Callback callback);
    Shard &shard(std::uint32_t number);
    void startShard(std::uint32_t number, Shard &shard);
    void poll(std::uint32_t number);
    void removeWaiter(Number number, const Waiter &waiter);
    void onRecord(std::uint32_t shardNumber, const LogRecord &record);
    void onGap(std::uint32_t shardNumber);
    void onCaughtUp(std::uint32_t shardNumber, TimePoint asOf);

    void append(Number number, Waiter &waiter);
    void onAppended(Number number, const absl::StatusOr<LogOffset> &offset);
    void evaluate(Number number);
    void evaluateAll(std::vector<Number> numbers);
    std::optional<ClaimAnswer> verdict(const Waiter &waiter, const ClaimIndex::Entry *entry);
    std::optional<ClaimAnswer> lookUpVerdict(const Waiter &waiter, const ClaimIndex::Claim *holder);
    bool isCaughtUp(const Waiter &waiter);
    bool isUnclaimedByOthers(const Waiter &waiter);
    void fetchResult(Number number, Waiter &waiter, LogOffset offset);
    void onResult(Number number, const absl::StatusOr<LogPage> &page);
    void onDeadline(Number number);
    ClaimAnswer answerAtDeadline(const Waiter &waiter);
    void answer(Number number, ClaimAnswer answer);
    void count(ClaimVerdict verdict);

    void recordOutcome(const ClaimRequest &request, ClaimRecord record);
    void enqueue(std::uint32_t shard, const ClaimRecord &record, Duration window);
    void appendOutgoing(Number number);
    void onOutgoingAppended(Number number, const absl::StatusOr<LogOffset> &offset);

    const Options m_options;
    const LogHooks m_log;
    TimerService &m_timers;
    RandomSource m_random;

    Number m_lastNumber = 0;
    std::map<std::uint32_t, std::unique_ptr<Shard>> m_shards;
    std::map<Number, Waiter> m_waiters;
    std::map<std::string, WonClaim> m_won; // By key.
    std::map<Number, OutgoingRecord> m_outgoing;
    ClaimCounts m_counts;
    // Set to null by the destructor, for callbacks that outlive this object.
    std::shared_ptr<LogClaims *> m_self;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_LOGCLAIMS_H
