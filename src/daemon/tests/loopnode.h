#ifndef CURRANTWALK_DAEMON_TESTS_LOOPNODE_H
#define CURRANTWALK_DAEMON_TESTS_LOOPNODE_H

#include <memory>
#include <optional>
#include <string>

#include "daemon/entrynode.h"
#include "daemon/tests/looptopic.h"
#include "net/tests/looptesting.h"
#include "net/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

namespace currantwalk {

/// An entry node on a real loop, with targets and a caller that write bytes as tests tell them.
class LoopNode : public Utest
{
public:
    enum class End { Closed, Reset };

    LoopBench bench; ///< Its listener takes the calls about copies.
    RawListener first;
    RawListener second;
    LoopTopic catalog;
    LoopTopic targets;
    int starts = 1; ///< Of the targets.
    std::unique_ptr<EntryNode> node;
    std::unique_ptr<RawSocket> caller;

    void setup() override;

    EntryBindings bindings();

    std::string firstId() const { return "first" + std::to_string(starts); }
    std::string secondId() const { return "second" + std::to_string(starts); }

    /// Leaves the first target alone, under a new id.
    void renewTargets()
    {
        publish(firstId(), std::nullopt);
        publish(secondId(), std::nullopt);
        ++starts;
        publish(firstId(), first.endpoint().toString());
    }

    /// Changes the entry of a target and waits until the node has read it.
    void publish(const std::string &target, std::optional<std::string> entry);

    void request(const std::string &path, const std::string &version = "HTTP/1.1");

    /// Returns the connection of the next request with \a mark in its head.
    std::unique_ptr<RawSocket> takeRequest(RawListener &listener, const std::string &mark);

    void write(RawSocket &peer, const std::string &bytes) { CHECK(peer.send(bytes).empty()); }

    void awaitCaller(const std::string &text)
    {
        CHECK(bench.runUntil([&] {
            caller->receive();
            return caller->received().find(text) != std::string::npos;
        }));
    }

    static void end(std::unique_ptr<RawSocket> peer, End how)
    {
        if (how == End::Reset)
            peer->reset();
    }
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TESTS_LOOPNODE_H
