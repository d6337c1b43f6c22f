// Case 10: callers that take large answers slowly, at a machine with the memory of the sheet.
#include "common.hh"

#include <memory>

using namespace review;

// The sheet of Glaz Froid: 110 MB a machine, 55.5 requests a second for 7 machines, 39 s the
// longest deadline.
constexpr long MemoryLimit = 110L * 1024;
constexpr double CallersPerSecond = 7.9;
constexpr double CrowdTime = 38;
constexpr std::size_t LargeAnswer = 1000 * 1000;
constexpr int SlowSpeed = 10 * 1000;
// Ordinary callers on kept connections, and the work of a server for each of their requests.
constexpr int OrdinaryCallers = 6;
constexpr double Work = 0.45;
// Closed connections that the rule allows.
constexpr int Allowed = 3;
constexpr int Servers = 3;

static std::atomic<bool> isOver{false};
static std::mutex runsMutex;
static std::map<std::string, bool> runs; ///< Requests that a server has begun to run.

static void runServer(int fd)
{
    std::string buffer;
    while (const std::optional<Request> request = readRequest(fd, buffer)) {
        const std::string id = request->header("request-id");
        const bool isLarge = request->resource().substr(0, 7) == "/large/";
        {
            const std::lock_guard<std::mutex> lock(runsMutex);
            runs[id] = true;
        }
        sleepFor(isLarge ? 0.015 : Work);
        const std::string body(isLarge ? LargeAnswer : 800, 'x');
        if (!sendAll(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + id
                                 + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                 + body))
            return;
    }
}

static std::string requestText(const std::string &method, const std::string &path,
                               const std::string &id)
{
    return method + ' ' + path
           + " HTTP/1.1\r\nHost: h.example\r\n"
             "Request-Id: "
           + id
           + "\r\nDeadline-Ms: 39000\r\nAuthorization: Bearer key1\r\n"
             "Content-Length: 0\r\n\r\n";
}

// Returns whether the whole answer came within the deadline.
static bool takeLargeAnswer(const std::string &ip, const std::string &id, bool isSlow)
{
    const int fd = connectTo(ip, 8740, 1400, isSlow ? 4096 : 0);
    if (fd < 0)
        return false;
    sendAll(fd, requestText("GET", "/large/" + id, id));
    const double deadline = now() + 39;
    std::size_t received = 0;
    std::vector<char> part(isSlow ? SlowSpeed / 10 : 65536);
    while (received < LargeAnswer && now() < deadline && !isOver) {
        const ssize_t count = ::recv(fd, part.data(), part.size(), 0);
        if (count <= 0)
            break;
        received += static_cast<std::size_t>(count);
        if (isSlow)
            sleepFor(0.1);
    }
    ::close(fd);
    return received >= LargeAnswer;
}

struct Totals
{
    std::atomic<int> answered{0};
    std::atomic<int> lost{0};
    std::atomic<int> large{0};
};

// One request after the other, on a connection that is kept.
static void runOrdinaryCaller(int number, const std::string &ip, Totals &totals, Record &record)
{
    int fd = -1;
    bool isKept = false;
    for (int i = 0; !isOver; ++i) {
        if (fd < 0) {
            fd = connectTo(ip, 8740);
            isKept = false;
        }
        if (fd < 0) {
            sleepFor(0.05);
            continue;
        }
        const std::string id = "o" + std::to_string(number) + "." + std::to_string(i);
        sendAll(fd, requestText("POST", "/order/" + id, id));
        std::string received;
        char part[4096];
        std::size_t wanted = std::string::npos;
        while (received.size() < wanted) {
            const ssize_t count = ::recv(fd, part, sizeof(part), 0);
            if (count <= 0)
                break;
            received.append(part, static_cast<std::size_t>(count));
            const std::size_t end = received.find("\r\n\r\n");
            const std::size_t length = received.find("Content-Length: ");
            if (end != std::string::npos && length != std::string::npos)
                wanted = end + 4 + std::strtoul(received.c_str() + length + 16, nullptr, 10);
        }
        if (received.size() >= wanted) {
            totals.answered += received.substr(9, 3) == "200";
            isKept = received.find("onnection: close") == std::string::npos;
            if (isKept)
                continue;
        } else {
            const std::lock_guard<std::mutex> lock(runsMutex);
            if (isKept && runs.count(id) != 0) {
                ++totals.lost;
                record.write("LOST: %s was passed on to a server; its kept connection was closed "
                             "without an answer",
                             id.c_str());
            }
        }
        ::close(fd);
        fd = -1;
    }
    if (fd >= 0)
        ::close(fd);
}

static std::string configurationOfOrders()
{
    const auto route = [](const std::string &prefix, const std::string &kind) {
        return "{\"name\":\"r-" + kind + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + prefix
               + "/\",\"kind\":\"" + kind
               + "\",\"timeout_ms\":39000,\"goal_ms\":1000,\"priority\":2,\"service\":\"glaz-"
                 "orders\","
                 "\"max_attempts\":1,\"allow_anonymous\":false}";
    };
    return "{\"version\":7,\"routes\":[" + route("order", "unsafe") + "," + route("large", "safe")
           + "],\"services\":[{\"name\":\"glaz-orders\",\"health_path\":\"/"
             "health\",\"max_conns\":100,"
             "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
             "\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"key1\"],\"priority\":1}]}";
}

int main(int argc, char **argv)
{
    if (argc != 3)
        return CouldNotRun;
    Record record(argv[1]);
    const char *const variable = std::getenv("TROUBLE");
    const bool isTroubled = !variable || std::string(variable) != "0";
    std::signal(SIGPIPE, SIG_IGN);
    const std::string range = freeRange(15);
    Store store;
    if (range.empty() || !store.start(range + "1", 8742)) {
        record.write("no free addresses");
        return CouldNotRun;
    }
    for (int i = 0; i < Servers; ++i) {
        const std::string ip = range + std::to_string(10 + i);
        if (!serve(ip, 8500, runServer))
            return CouldNotRun;
        store.put("keyed.servers", "i-orders" + std::to_string(i),
                  beat("glaz-orders", ip + ":8500", "bzh-west-a", 6, "ready", 1));
    }
    store.put("keyed.op", "config", configurationOfOrders());
    const auto start = [&] {
        return std::make_unique<Daemon>("front-bzh-west-a-1", range + "2", "bzh-west-a",
                                        range + "1:8742", argv[2]);
    };
    std::unique_ptr<Daemon> daemon = start();
    if (!daemon->waitUntilReady(20)) {
        record.write("the machine does not become ready");
        return CouldNotRun;
    }
    sleepFor(4); // The machine is in touch.

    Totals totals;
    std::vector<std::thread> threads;
    for (int i = 0; i < OrdinaryCallers; ++i)
        threads.emplace_back([&, i] { runOrdinaryCaller(i, range + "2", totals, record); });
    const double begun = now();
    int callers = 0;
    long most = 0;
    double toldAt = 0;
    while (now() < begun + CrowdTime) {
        if (callers < (now() - begun) * CallersPerSecond) {
            const std::string id = "l" + std::to_string(callers++);
            threads.emplace_back(
                    [&, id] { totals.large += takeLargeAnswer(range + "2", id, isTroubled); });
        }
        const long used = daemon->ownKilobytes();
        most = std::max(most, used);
        if (now() - toldAt >= 2) {
            toldAt = now();
            record.write(
                    "%d callers of large answers so far, %ld kB of its own, %d ordinary answers",
                    callers, used, totals.answered.load());
        }
        // DEPLOY.md: a process that exceeds memory_mb is killed, and started again.
        if (used > MemoryLimit) {
            record.write(
                    "the machine has %ld kB of its own, %ld are allowed: the platform kills it",
                    used, MemoryLimit);
            daemon.reset();
            sleepFor(0.3);
            daemon = start();
            sleepFor(2);
            break;
        }
        sleepFor(0.01);
    }
    isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    record.write(
            "at most %ld kB of its own; %d of %d large answers taken whole; %d ordinary answers, "
            "%d lost, %d are allowed",
            most, totals.large.load(), callers, totals.answered.load(), totals.lost.load(),
            Allowed);
    return totals.lost > Allowed ? RuleBroken : RuleHeld;
}
