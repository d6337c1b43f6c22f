#include <cstdint>
#include <cstdlib>
#include <memory>

#include "net/messagehead.h"
#include "net/tests/looptesting.h"
#include "net/tests/rawsocket.h"

using namespace currantwalk;

static constexpr int MaxRounds = 10000;

namespace {

/// A loop whose server and client both talk to raw sockets; kept for all inputs.
class FuzzedLoop
{
public:
    FuzzedLoop()
    {
        bench.handler = [](const std::shared_ptr<HttpExchange> &exchange) {
            respond(*exchange, 200, "text/plain", exchange->request().body);
        };
    }

    void serveRequest(std::string_view bytes)
    {
        auto socket = std::make_unique<RawSocket>(bench.server);
        runUntil([this] { return bench.loop->server().connections() != 0; });
        socket->send(bytes);
        bench.loop->runOnce(Duration::zero());
        socket.reset();
        runUntil([this] { return bench.loop->server().connections() == 0; });
    }

    void readAnswer(std::string_view bytes)
    {
        CallRecord record;
        HttpCallOptions options;
        options.endpoint = listener.endpoint();
        const std::unique_ptr<HttpCall> call =
                bench.loop->client().send(options, {"GET", "/", {}, {}}, record.hooks());
        int fd = -1;
        runUntil([&] {
            fd = listener.accept();
            return fd >= 0;
        });
        auto peer = std::make_unique<RawSocket>(fd);
        runUntil([&] {
            peer->receive();
            return !peer->received().empty();
        });
        peer->send(bytes);
        peer.reset();
        runUntil([&] { return record.status.has_value(); });
        // Of an exchange that has got no head this is 200.
        if (record.head.status < 200 || record.head.status > 599)
            std::abort();
    }

private:
    template<typename Predicate>
    void runUntil(Predicate predicate)
    {
        for (int round = 0; round < MaxRounds; ++round) {
            if (predicate())
                return;
            bench.loop->runOnce(Duration::zero());
        }
        std::abort();
    }

    LoopBench bench;
    RawListener listener;
};

} // namespace

// Any bytes from a caller end with a closed connection, any bytes from a target end the exchange,
// and neither ends the program. No answer has a status that answers don't have. The first byte
// chooses where the others begin.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static FuzzedLoop loop;
    if (size == 0)
        return 0;
    const std::string text(reinterpret_cast<const char *>(data + 1), size - 1);
    switch (data[0] % 6) {
    case 0:
        loop.serveRequest(text);
        break;
    case 1:
        loop.serveRequest("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n" + text);
        break;
    case 2:
        loop.serveRequest("POST / HTTP/1.1\r\ncontent-length: " + text);
        break;
    case 3:
        loop.readAnswer(text);
        break;
    case 4:
        loop.readAnswer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n" + text);
        break;
    default:
        loop.readAnswer("HTTP/1.1 200 OK\r\ncontent-length: " + text);
    }
    return 0;
}
