#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include "daemon/tests/loopnode.h"

#include <CppUTest/TestHarness.h>

#ifdef __SANITIZE_ADDRESS__
// From the sanitizer's runtime; GCC does not install the header that declares it.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

using namespace currantwalk;
using namespace std::chrono_literals;

// Guards against a node that runs out of memory by what targets send without end, over all its
// connections together.
TEST_GROUP_BASE(EndlessBytes, LoopNode)
{
    static constexpr std::size_t MegaByte = std::size_t{1024} * 1024;
    // From the users' settings; an idle node takes less than a fifth of it.
    static constexpr std::size_t MemoryLimit = 110 * MegaByte;
    static constexpr std::size_t IdleMemory = 20 * MegaByte;
    /// Three for each of fifty targets.
    static constexpr std::size_t Connections = 150;

    /// A request with its caller and its target, which sends \c head and then \c repeated.
    struct Flow
    {
        std::unique_ptr<RawSocket> caller;
        std::unique_ptr<RawSocket> target;
        std::string head;
        std::string_view rest;
        std::size_t sent = 0;
    };

    std::vector<Flow> flows;
    const std::string repeated = std::string(65536, 'x');

    // The sanitizer keeps freed memory for a while, so that only what is allocated tells anything.
    static std::size_t usedBytes()
    {
#ifdef __SANITIZE_ADDRESS__
        return __sanitizer_get_current_allocated_bytes();
#else
        std::ifstream statm("/proc/self/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        statm >> total >> resident;
        return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
#endif
    }

    void start(const std::string &path, const std::string &head)
    {
        request(path);
        Flow flow;
        flow.target = takeRequest(first, "from: none");
        flow.caller = std::move(caller);
        flow.head = head;
        flows.push_back(std::move(flow));
        flows.back().rest = flows.back().head;
    }

    /// Lets all targets send up to \a bytes each, while callers do not read. Returns how much the
    /// process has grown.
    std::size_t sendAll(std::size_t bytes)
    {
        const std::size_t before = usedBytes();
        std::size_t most = before;
        for (Flow &flow : flows)
            flow.rest = flow.head;
        for (int round = 0; round < 400; ++round) {
            for (Flow &flow : flows) {
                if (flow.sent >= bytes)
                    continue;
                const std::size_t size = flow.rest.size();
                flow.rest = flow.target->send(flow.rest);
                flow.sent += size - flow.rest.size();
                if (flow.rest.empty())
                    flow.rest = repeated;
            }
            bench.loop->runOnce(1ms);
            most = std::max(most, usedBytes());
        }
        return most - before;
    }

    void checkServes()
    {
        request("/once/x");
        std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
        write(*target, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello");
        awaitCaller("hello");
        request("/stream/x");
        target = takeRequest(first, "from: none");
        write(*target, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: " + std::string(3000, 'y') + "\n\n");
        awaitCaller("yyy\n\n");
    }
};

TEST(EndlessBytes, eventsThatNeverEndDoNotExhaustTheMemory)
{
    for (std::size_t i = 0; i < Connections; ++i)
        start("/stream/x", "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: ");
    // Just short of the bound of one event.
    CHECK(sendAll(1'000'000) + IdleMemory < MemoryLimit);
    checkServes();
}

TEST(EndlessBytes, bodiesThatNeverEndDoNotExhaustTheMemory)
{
    static constexpr const char *Heads[] = {
            "HTTP/1.1 200 OK\r\n\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n"};
    for (std::size_t i = 0; i < 2 * Connections; ++i)
        start(i % 2 == 0 ? "/once/x" : "/safe/x", Heads[i % 3]);
    CHECK(sendAll(250'000) + IdleMemory < MemoryLimit);
    checkServes();
}

TEST(EndlessBytes, answersToCallersThatDoNotReadDoNotExhaustTheMemory)
{
    for (std::size_t i = 0; i < 2 * Connections; ++i)
        start("/once/x", "HTTP/1.1 200 OK\r\n\r\n");
    CHECK(sendAll(20 * MegaByte) + IdleMemory < MemoryLimit);
    checkServes();
}

TEST(EndlessBytes, headsThatNeverEndDoNotExhaustTheMemory)
{
    static constexpr const char *Heads[] = {
            "HTTP/1.1 200 OK\r\nname: ", "", "HTTP/1.1 100 Continue\r\nname: ",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nname: "};
    for (std::size_t i = 0; i < 2 * Connections; ++i)
        start("/once/x", Heads[i % 5]);
    CHECK(sendAll(60'000) + IdleMemory < MemoryLimit);
    checkServes();
}
