#ifndef CURRANTWALK_DAEMON_TESTS_FLEETFIXTURE_H
#define CURRANTWALK_DAEMON_TESTS_FLEETFIXTURE_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/node.h"
#include "net/eventloop.h"
#include "net/fetcher.h"
#include "net/rpc.h"
#include "net/sse.h"
#include "standin/standin.h"

namespace currantwalk {

/// What a caller has got of an answer.
struct CallerAnswer
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
    std::vector<SseEvent> events;
    absl::Status end;
    bool isEnded = false;
    std::unique_ptr<HttpCall> call;

    bool isDone() const;
    /// Returns the text of all tokens so far.
    std::string text() const;
    std::size_t tokens() const;
    std::string lastEventId() const;
    /// Returns the error's member \a name, of a body or of an error event.
    std::string error(const char *name) const;
};

/// A stand-in and some daemons on one loop, over loopback.
class FleetFixture
{
public:
    static constexpr const char *ApiKey = "test-key";
    static constexpr const char *OperatorKey = "operators-key-of-tests";

    explicit FleetFixture(const standin::Layout &layout);
    ~FleetFixture();

    /// Starts a daemon in a zone; earlier ones are its seeds.
    Node &addNode(const std::string &zone);
    /// Ends a daemon at once, as a kill does.
    void killNode(std::size_t index);
    Node &node(std::size_t index) { return *m_nodes[index].node; }

    /// Publishes a set through the first daemon and waits until it is in force on all.
    void publish(const ObjectSet &objects);
    /// Runs the loop until \a condition holds; fails the test after a minute.
    void runUntil(const std::function<bool()> &condition);
    /// Runs the loop for \a span.
    void runFor(Duration span);

    /// Sends a caller's request to a daemon.
    std::shared_ptr<CallerAnswer> request(const Endpoint &endpoint, const std::string &method,
                                          const std::string &path, const std::string &body,
                                          HttpHeaders headers = {});
    std::shared_ptr<CallerAnswer> complete(Node &node, const std::string &body,
                                           HttpHeaders headers = {});
    /// Calls an operator's method and waits for the answer.
    absl::StatusOr<Json::Value> operate(Node &node, const std::string &method,
                                        const Json::Value &params);
    /// Asks the stand-in for something, such as a fault.
    void control(const std::string &path, const std::string &body = "");

    standin::Standin &standin() { return *m_standin; }

private:
    struct RunningNode
    {
        std::unique_ptr<EventLoop> loop;
        std::unique_ptr<Node> node;
    };

    void runOnce();

    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<standin::Standin> m_standin;
    std::vector<RunningNode> m_nodes;
    std::unique_ptr<RpcClient> m_rpc;
};

/// Returns a layout of \a engines engines in zone "a" and "b" in turn, and one plain service.
standin::Layout testLayout(std::size_t engines);
/// Returns a small sound set for testLayout().
ObjectSet testObjects();

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TESTS_FLEETFIXTURE_H
