#ifndef CURRANTWALK_CALLS_TESTS_RELAYCALLRIG_H
#define CURRANTWALK_CALLS_TESTS_RELAYCALLRIG_H

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/virtualtimerservice.h"
#include "calls/relaycall.h"

#include <CppUTest/TestHarness.h>

namespace currantwalk {

/// One relayed call with a caller and targets that the tests simulate step by step.
struct RelayCallRig : public Utest
{
    VirtualTimerService timers;
    std::unique_ptr<RelayCall> call;
    std::deque<TargetId> targets{TargetId("a"), TargetId("b"), TargetId("c")};
    std::vector<RelaySend> sent;
    std::set<std::uint64_t> abandoned;
    std::vector<std::uint64_t> ending; ///< Exchanges whose runs are to be ended.
    std::vector<std::pair<std::uint64_t, TargetId>> copies; ///< Move and destination.
    std::vector<StreamCopy> dropped;
    std::vector<TargetId> replaced;
    std::vector<std::uint64_t> lostExchanges;
    std::string body;
    std::optional<RelayFailure> failure;
    int heads = 0;
    int ends = 0;
    int aborts = 0;
    int retriesLeft = 10;
    std::size_t heldBytes = 0;
    std::size_t maxHeldBytes = std::size_t{16} * 1024 * 1024;
    bool isMoveOffered = true;
    bool isBackupOffered = false;
    bool isBackupAvailable = true;
    bool isHolderTaking = true;

    RelayHooks hooks()
    {
        RelayHooks hooks;
        hooks.chooseTarget = [this](const std::vector<TargetId> &excluded) {
            return pick(excluded);
        };
        hooks.send = [this](const RelaySend &send) { sent.push_back(send); };
        hooks.chooseBackupTarget = [this](const TargetId &target) {
            return isBackupOffered ? pick({target}) : std::nullopt;
        };
        hooks.findBackup = [this](const TargetId &holder) -> std::optional<StreamCopy> {
            if (!isBackupAvailable)
                return std::nullopt;
            return StreamCopy{holder, holder, {"10.0.0.2", 80}, "r", true};
        };
        hooks.abandon = [this](std::uint64_t exchange) { abandoned.insert(exchange); };
        hooks.endRun = [this](std::uint64_t exchange) { ending.push_back(exchange); };
        hooks.endMovedRun = [this](std::uint64_t exchange, const StreamCopy &) {
            ending.push_back(exchange);
        };
        hooks.mayResumeAt = [this](const TargetId &) { return isHolderTaking; };
        hooks.holdBytes = [this](std::size_t bytes) {
            heldBytes = bytes;
            return bytes <= maxHeldBytes;
        };
        hooks.forwardHead = [this](std::uint64_t) { ++heads; };
        hooks.forwardBody = [this](std::string_view bytes) { body += bytes; };
        hooks.forwardEnd = [this] { ++ends; };
        hooks.forwardAbort = [this](const absl::Status &) { ++aborts; };
        hooks.fail = [this](const RelayFailure &told) { failure = told; };
        hooks.takeRetry = [this] { return retriesLeft-- > 0; };
        hooks.report = [](const TargetId &, SendResult) {};
        hooks.reportLost = [this](std::uint64_t exchange) { lostExchanges.push_back(exchange); };
        hooks.chooseMoveTarget = [this](const TargetId &source, std::vector<TargetId> excluded) {
            excluded.push_back(source);
            return isMoveOffered ? pick(excluded) : std::nullopt;
        };
        hooks.requestCopy = [this](std::uint64_t move, const TargetId &,
                                   const TargetId &destination) {
            copies.emplace_back(move, destination);
        };
        hooks.freeCopy = [this](const StreamCopy &copy) { dropped.push_back(copy); };
        hooks.reportTargetReplaced = [this](const TargetId &target) { replaced.push_back(target); };
        return hooks;
    }

    std::optional<TargetId> pick(const std::vector<TargetId> &excluded)
    {
        for (const TargetId &target : targets) {
            if (std::find(excluded.begin(), excluded.end(), target) == excluded.end())
                return target;
        }
        return std::nullopt;
    }

    void begin(RetrySemantics rule, std::uint32_t maxTargets = 1)
    {
        RelayRequest request;
        request.id = RequestId("r");
        request.rule = rule;
        request.maxTargets = maxTargets;
        request.deadline = timers.now() + std::chrono::seconds(10);
        request.attemptTimeout = std::chrono::milliseconds(200);
        call = RelayCall::create(request, hooks(), timers);
        call->start();
    }

    static RelayAnswerHead success()
    {
        RelayAnswerHead head;
        head.status = 200;
        head.isSigned = true;
        return head;
    }

    static RelayAnswerHead serverError()
    {
        RelayAnswerHead head;
        head.status = 500;
        head.isSigned = true;
        return head;
    }

    static RelayAnswerHead refusal()
    {
        RelayAnswerHead head;
        head.status = 503;
        head.isNotRun = true;
        return head;
    }

    void answerCompletely(std::uint64_t exchange, std::string_view bytes)
    {
        call->onHead(exchange, success());
        call->onBody(exchange, bytes);
        call->onEnd(exchange, absl::OkStatus(), true);
    }

    static std::string event(int number)
    {
        return "id: " + std::to_string(number) + "\ndata: x\n\n";
    }

    static absl::Status lost() { return makeError(ErrorCode::ConnectionLost, "reset"); }

    /// Begins a stream that has passed on its first two events.
    void beginStream()
    {
        begin(RetrySemantics::Stream);
        call->onHead(sent[0].exchange, success());
        call->onBody(sent[0].exchange, event(1) + event(2));
    }

    /// Completes the copy under way.
    void completeCopy()
    {
        call->onCopyResult(copies.back().first,
                           StreamCopy{copies.back().second, TargetId("a"), {"10.0.0.1", 80}, "h1"});
    }

    /// Ends the run that was to be ended last.
    void endRun() { call->onRunReleased(ending.back(), true); }

    /// Has the stream lose its connection, and its run end.
    void loseStream()
    {
        call->onEnd(sent.back().exchange, lost(), true);
        LONGS_EQUAL(sent.back().exchange, ending.back());
        endRun();
    }
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_RELAYCALLRIG_H
