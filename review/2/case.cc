// A stream is moved from a server that leaves to another one. Does its first run end before the
// second one goes on, also where the server doesn't drop requests when their connections close?
#include "rig.hh"

using namespace rig;

static constexpr int Servers = 8; // one of them leaves
static constexpr int EventCount = 160;
static constexpr double EventGap = 0.05;
static constexpr double OverlapLimit = 0.4; // of rule TWICE

struct Run
{
    std::string server;
    double startedAt = 0;
    std::atomic<double> endedAt{0}; // 0: still at work
    std::atomic<int> events{0};
    std::atomic<bool> isStopped{false};
};

int main(int, char **arguments)
{
    const Case play(arguments[1]);
    const std::string ip = Case::address(1);
    Store store(ip);
    std::mutex mutex;
    std::map<std::string, std::vector<std::shared_ptr<Run>>> runs; // by request
    const auto runAt = [&](const std::string &id, const std::string &server) {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const std::shared_ptr<Run> &run : runs[id]) {
            if (run->server == server && run->endedAt == 0)
                return run;
        }
        return std::shared_ptr<Run>();
    };

    // Makes all events, whether or not the connection is still open.
    const auto generate = [&](const std::string &server, const Message &request,
                              const ConnectionPtr &connection) {
        const auto run = std::make_shared<Run>();
        const std::string id = request.header("request-id");
        const int after = std::atoi(request.header("last-event-id").c_str());
        run->server = server;
        run->startedAt = now();
        run->events = after;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            runs[id].push_back(run);
        }
        note("%s: runs %s%s%s, behind event %d", server.c_str(), id.c_str(),
             request.has("kv-from") ? " from copy " : "", request.header("kv-from").c_str(), after);
        connection->write("HTTP/1.1 200 OK\r\nRequest-Id: " + id
                          + "\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
        bool isOpen = true;
        for (int i = after + 1; i <= EventCount && !run->isStopped; ++i) {
            sleepFor(EventGap);
            run->events = i;
            if (!isOpen)
                continue;
            isOpen = connection->write(chunk("id: " + std::to_string(i) + "\ndata: token\n\n"))
                     && !connection->peerGone();
            if (!isOpen)
                note("%s: the connection of %s was closed at event %d; the run goes on",
                     server.c_str(), id.c_str(), i);
        }
        if (isOpen && !run->isStopped)
            connection->write("0\r\n\r\n");
        run->endedAt = now();
        note("%s: the run of %s ends at event %d", server.c_str(), id.c_str(), run->events.load());
    };
    const auto engine = [&](const std::string &server) {
        return [&, server](const ConnectionPtr &connection) {
            Message request;
            while (connection->readRequest(request)) {
                const std::string path = request.path();
                if (path == "/currantwalk/kv-move") {
                    const std::size_t at = request.body.find("request-");
                    const std::string id = request.body.substr(at, request.body.find('"', at) - at);
                    const bool isLast = request.body.find("\"last\":true") != std::string::npos;
                    const std::shared_ptr<Run> run = runAt(id, server);
                    note("%s: %s %s", server.c_str(), request.startLine.c_str(),
                         request.body.c_str());
                    if (run && isLast)
                        run->isStopped = true;
                    sleepFor(0.05);
                    const std::string body = "{\"handle\":\"h1\",\"created\":"
                                             + std::to_string(run ? run->events.load() : 0) + "}";
                    connection->write("HTTP/1.1 " + std::string(run ? "200 OK" : "404 Not Found")
                                      + "\r\nContent-Type: application/json\r\nContent-Length: "
                                      + std::to_string(body.size()) + "\r\n\r\n" + body);
                } else if (path.rfind("/currantwalk/", 0) == 0) {
                    const std::string body =
                            "{\"stage\":\"both\",\"state\":\"ready\",\"busy\":false,\"seq\":1,"
                            "\"queued\":0,\"running\":1,\"kv_used\":100,"
                            "\"kv_total\":34226,\"handles\":0}";
                    connection->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                      "Content-Length: "
                                      + std::to_string(body.size()) + "\r\n\r\n" + body);
                } else {
                    generate(server, request, connection);
                    return;
                }
            }
        };
    };
    std::vector<std::unique_ptr<Listener>> listeners;
    std::map<std::string, Entry> entries;
    for (int i = 1; i <= Servers; ++i) {
        Entry entry;
        entry.id = "i-" + std::to_string(i);
        listeners.push_back(std::make_unique<Listener>(ip, engine(entry.id)));
        entry.service = "llm";
        entry.address = ip + ":" + std::to_string(listeners.back()->port());
        entries[entry.id] = entry;
        store.put("keyed.servers", entry.id, entry.text());
    }
    store.put("keyed.op", "config",
              config(7, route("plans", "/plan/", "streaming", "llm", 39000, 1800, 1,
                              ",\"sticky\":true,\"resumable\":false,\"gap_goal_ms\":180")));
    NodeOptions options;
    options.ip = ip;
    options.folder = play.folder;
    options.store = ip + ":" + std::to_string(store.port());
    Node node(options);
    if (!node.awaitReady(10))
        play.end(2, "COULD NOT RUN: the node is not ready");
    sleepFor(3.2); // stable_window_ms

    const std::string id = "request-1";
    const ConnectionPtr connection = connectTo(ip, node.front());
    connection->write(request(
            "POST", "/plan/a", id, 30000,
            "Model: m\r\nToken-Count: 100,160\r\nPrompt-Prefix: 5c1e:80,91bd:20\r\n", "{}"));
    note("client: sent %s", id.c_str());
    std::thread trouble([&] {
        sleepFor(1.5);
        if (!play.hasTrouble)
            return;
        std::string server;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            server = runs[id].empty() ? "i-1" : runs[id].front()->server;
        }
        Entry &entry = entries.at(server);
        entry.state = "draining";
        ++entry.seq;
        store.put("keyed.servers", server, entry.text());
        note("store: servers/%s is draining", server.c_str());
    });
    const Answer answer = readAnswer(*connection, 20);
    trouble.join();
    note("client: %s: %s, %zu bytes, %s", id.c_str(), answer.head.startLine.c_str(),
         answer.head.body.size(), answer.isComplete ? "complete" : "not complete");
    sleepFor(1);
    const std::lock_guard<std::mutex> lock(mutex);
    bool isBroken = false;
    for (const auto &one : runs[id]) {
        for (const auto &other : runs[id]) {
            if (one == other || other->startedAt < one->startedAt)
                continue;
            const double end = one->endedAt == 0 ? now() : one->endedAt.load();
            const double overlap = end - other->startedAt;
            note("%s goes on at %s at %.3f s; %s works on it until %.3f s, %.3f s longer",
                 id.c_str(), other->server.c_str(), other->startedAt, one->server.c_str(), end,
                 overlap);
            isBroken = isBroken || overlap > OverlapLimit;
        }
    }
    if (!answer.hasHead)
        play.end(2, "COULD NOT RUN: the client got no answer");
    if (isBroken)
        play.end(1, "BROKEN: the server before still worked on the request 400 ms later");
    play.end(0, "HELD: no two servers worked on the request for over 400 ms");
}
