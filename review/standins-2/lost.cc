// Case 6: a planned stop of machines whose callers take a stream more slowly than it is made.
#include "common.hh"

#include <memory>

using namespace review;

// The sheet of Glaz Froid: 235 events of 4 tokens, 7 ms a step; the site file: events of 330 bytes
// on average, and 2,000 at most.
constexpr int Events = 235;
constexpr std::size_t EventBytes = 600;
constexpr double EventGap = 0.028;
// The planned stop of a machine, after its stream has begun; grace_s is 8. The machines are stopped
// in turn, one at a time.
constexpr double StopAfter = 3.0;
constexpr double Grace = 8;
constexpr double Turn = 4.0;
// Bytes a second that the caller of each of the 7 machines takes.
constexpr int Speeds[] = {11000, 11700, 12400, 13100, 13800, 14500, 15200};
constexpr int Machines = 7;
constexpr int Engines = 3;

static std::string eventText(int number)
{
    std::string text = "id: " + std::to_string(number) + "\ndata: ";
    text.resize(EventBytes - 2, 'x');
    return text + "\n\n";
}

struct Stream
{
    std::atomic<double> madeAt{0}; ///< When the server had sent the whole answer.
    bool isWhole = false;
    int events = 0;
    std::string end;
    double endedAt = 0;
};

static Stream streams[Machines];

static void runEngine(int fd, const std::string &id, Record &record)
{
    std::string buffer;
    while (const std::optional<Request> request = readRequest(fd, buffer)) {
        if (request->resource().substr(0, 6) != "/plan/") {
            sendAll(fd, answer(request->resource() == "/currantwalk/report" ? 200 : 404,
                               "{\"state\":\"ready\"}"));
            continue;
        }
        const std::string name = request->header("request-id");
        record.write("%s runs request %s", id.c_str(), name.c_str());
        bool isSent = sendAll(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + name
                                          + "\r\nServer-Seal: seal." + name
                                          + "\r\nContent-Type: text/event-stream\r\n"
                                            "Transfer-Encoding: chunked\r\n\r\n");
        const double begun = now();
        for (int number = 1; number <= Events && isSent; ++number) {
            sleepUntil(begun + number * EventGap);
            isSent = sendAll(fd, chunk(eventText(number)));
        }
        isSent = isSent && sendAll(fd, "0\r\n\r\n");
        Stream &stream = streams[std::atoi(name.c_str() + 1)];
        if (isSent)
            stream.madeAt = now();
        record.write("%s has %s for %s", id.c_str(),
                     isSent ? "sent the whole answer" : "lost the connection", name.c_str());
    }
}

// A caller that reads steadily, at the speed of its link.
static void runCaller(int number, const std::string &ip, Record &record)
{
    Stream &stream = streams[number];
    const std::string id = "c" + std::to_string(number);
    const int fd = connectTo(ip, 8740, 1400, 4096);
    const timeval limit{5, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sendAll(fd, "POST /plan/" + id + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                        + "\r\nModel: m\r\nToken-Count: 3000,940\r\nPrompt-Prefix: 5c1e07a2:79,"
                        + std::to_string(100 + number)
                        + ":2921\r\nDeadline-Ms: 39000\r\nAuthorization: Bearer key1\r\n"
                          "Content-Length: 2\r\n\r\nhi");
    record.write("caller %s sent its request to %s; it reads %d bytes a second", id.c_str(),
                 ip.c_str(), Speeds[number]);
    std::string received;
    const std::size_t step = static_cast<std::size_t>(Speeds[number] / 10);
    std::vector<char> part(step);
    double next = now();
    while (true) {
        const ssize_t count = ::recv(fd, part.data(), part.size(), 0);
        if (count <= 0) {
            stream.end = count == 0 ? "the connection was closed" : std::strerror(errno);
            break;
        }
        received.append(part.data(), static_cast<std::size_t>(count));
        if (received.size() > 7 && received.substr(received.size() - 7) == "\r\n0\r\n\r\n") {
            stream.isWhole = true;
            stream.end = "the answer is complete";
            break;
        }
        next = std::max(next + 0.1, now() - 0.1);
        sleepUntil(next);
    }
    ::close(fd);
    stream.endedAt = now();
    for (std::size_t at = received.find("\nid: "); at != std::string::npos;
         at = received.find("\nid: ", at + 1))
        ++stream.events;
    stream.isWhole = stream.isWhole && stream.events == Events;
    record.write("caller %s: %s; status %s, %d of %d events", id.c_str(), stream.end.c_str(),
                 received.substr(9, 3).c_str(), stream.events, Events);
}

int main(int argc, char **argv)
{
    if (argc != 3)
        return CouldNotRun;
    Record record(argv[1]);
    const std::string folder = argv[2];
    const char *const variable = std::getenv("TROUBLE");
    const bool isTroubled = !variable || std::string(variable) != "0";
    std::signal(SIGPIPE, SIG_IGN);

    const std::string range = freeRange(12);
    Store store;
    if (range.empty() || !store.start(range + "1", 8742)) {
        record.write("no free addresses");
        return CouldNotRun;
    }
    const std::string zones[] = {"bzh-west-a", "bzh-west-b", "bzh-west-c"};
    for (int i = 0; i < Engines; ++i) {
        const std::string ip = range + std::to_string(10 + i);
        const std::string id = "i-engine" + std::to_string(i);
        if (!serve(ip, 8500, [id, &record](int fd) { runEngine(fd, id, record); }))
            return CouldNotRun;
        store.put("keyed.servers", id, beat("glaz-llm", ip + ":8500", zones[i], 24, "ready", 1));
    }
    store.put("keyed.op", "config", configuration("glaz-llm"));
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < Machines; ++i)
        daemons.push_back(std::make_unique<Daemon>(
                "front-" + zones[i % 3] + "-" + std::to_string(i), range + std::to_string(2 + i),
                zones[i % 3], range + "1:8742", folder));
    for (const auto &daemon : daemons) {
        if (!daemon->waitUntilReady(20)) {
            record.write("%s does not become ready", daemon->name.c_str());
            return CouldNotRun;
        }
    }
    sleepFor(1);

    std::vector<std::thread> callers;
    double stoppedAt[Machines] = {};
    const double begun = now();
    // Each machine is started again when it has ended, or after SIGKILL at the end of its grace.
    const auto runMachine = [&](int i) {
        std::unique_ptr<Daemon> &daemon = daemons[i];
        sleepUntil(begun + i * Turn);
        std::thread caller([i, ip = daemon->ip, &record] { runCaller(i, ip, record); });
        sleepUntil(begun + i * Turn + StopAfter);
        stoppedAt[i] = now();
        if (isTroubled) {
            daemon->signal(SIGTERM);
            record.write("SIGTERM to %s", daemon->name.c_str());
            while (now() < stoppedAt[i] + Grace && !daemon->hasEnded())
                sleepFor(0.01);
            record.write("%s %s %.2f s after SIGTERM", daemon->name.c_str(),
                         daemon->hasEnded() ? "has ended by itself" : "is killed",
                         now() - stoppedAt[i]);
            const std::string name = daemon->name;
            const std::string ip = daemon->ip;
            daemon.reset();
            daemon = std::make_unique<Daemon>(name, ip, zones[i % 3], range + "1:8742", folder);
        }
        caller.join();
    };
    for (int i = 0; i < Machines; ++i)
        callers.emplace_back(runMachine, i);
    for (std::thread &caller : callers)
        caller.join();

    int cut = 0;
    for (int i = 0; i < Machines; ++i) {
        const Stream &stream = streams[i];
        // The rule leaves out what the server broke off, what it still worked on in the last sixth
        // of the grace, and what ends later than a second after the grace.
        const bool isOwed = stream.madeAt != 0
                            && (!isTroubled
                                || (stream.madeAt < stoppedAt[i] + Grace * 5 / 6
                                    && stream.endedAt < stoppedAt[i] + Grace + 1));
        if (!isOwed || stream.isWhole)
            continue;
        ++cut;
        record.write(
                "LOST: c%d was passed on and its server sent the whole answer %.2f s after "
                "SIGTERM, but its connection ended after %d of %d events, %.2f s after SIGTERM",
                i, stream.madeAt - stoppedAt[i], stream.events, Events,
                stream.endedAt - stoppedAt[i]);
    }
    record.write("%d of %d answers were cut off", cut, Machines);
    return cut == 0 ? RuleHeld : RuleBroken;
}
