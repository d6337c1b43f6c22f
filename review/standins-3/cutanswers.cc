// Case: callers that read a stream slowly send a further request while the machine stops.
#include "rig.hh"

using namespace rig;

namespace {

constexpr int Callers = 12;
constexpr int Events = 235;
constexpr std::size_t EventBytes = 600;
constexpr double EventTime = 0.02;
constexpr double ReadGap = 0.05;
constexpr std::size_t ReadBytes = 1024; // 20 KB a second; the server sends 30 KB a second.
constexpr double StopAfter = 3;
constexpr double FurtherAfter = 5.5;

std::mutex runsMutex;
std::map<std::string, double> ended; ///< When the server had sent the whole answer.

void serve(int fd, const std::string &id)
{
    Reader reader(fd);
    while (const std::optional<Message> request = reader.message(now() + 60)) {
        const std::string requestId = request->header("request-id");
        if (requestId.empty() || request->header("expect-instance") != id) {
            sendAll(fd, answer(421, "Instance-Id: " + id + "\r\n", ""));
            continue;
        }
        const std::string headers =
                "Request-Id: " + requestId + "\r\nServer-Seal: s." + requestId + "\r\n";
        if (request->word(1).rfind("/plan/", 0) != 0) {
            sendAll(fd, answer(200, headers, "done " + requestId));
            continue;
        }
        bool isOpen = sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n" + headers + "\r\n");
        for (int i = 1; i <= Events && isOpen; ++i) {
            sleepFor(EventTime);
            std::string event = "id: " + std::to_string(i) + "\ndata: ";
            event += std::string(EventBytes - event.size() - 2, 'p') + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            isOpen = sendAll(fd, size + event + "\r\n");
        }
        isOpen = isOpen && sendAll(fd, "0\r\n\r\n");
        const std::lock_guard lock(runsMutex);
        if (isOpen)
            ended[requestId] = now();
        record().line("server has %s %s", isOpen ? "sent the whole answer to" : "broken off", requestId.c_str());
    }
    close(fd);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record().open(argc > 1 ? argv[1] : "record.txt");
    const std::string folder = temporaryFolder();
    Store store;
    store.start("127.0.0.1");
    Listener server;
    server.start("127.0.0.1", 0, [](int fd) { serve(fd, "i-one"); });
    store.write("keyed.servers", "i-one",
                "{\"service\":\"desk\",\"address\":\"" + server.address()
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                          "\"cold_left_ms\":0,\"seq\":1,\"born\":"
                        + std::to_string(unixMs()) + "}");
    const auto route = [](const std::string &path, const std::string &kind) {
        return "{\"name\":\"" + kind + "\",\"host\":\"desk.example\",\"path_prefix\":\"" + path
               + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":39000,\"goal_ms\":1800,\"gap_goal_ms\":180,"
                 "\"priority\":0,\"service\":\"desk\",\"max_attempts\":1,\"allow_anonymous\":true}";
    };
    store.write("keyed.op", "config",
                "{\"version\":1,\"routes\":[" + route("/plan/", "streaming") + "," + route("/status/", "safe")
                        + "],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":100}],"
                          "\"limits\":{\"max_header_bytes\":32768,\"max_body_bytes\":4194304,"
                          "\"header_timeout_ms\":5000,\"idle_timeout_ms\":30000}}");
    Node node;
    NodeOptions options;
    options.name = "front-a-1";
    options.ip = loopbackIp(1);
    node.start(options, store, folder);
    node.awaitReady(now() + 15);
    sleepFor(3.5);

    std::atomic<int> whole = 0;
    std::atomic<int> cut = 0;
    const double stopAt = now() + StopAfter;
    std::vector<std::thread> callers;
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&, i] {
            const int fd = connectTo(node.ip(), node.front(), 4096);
            if (fd < 0)
                cannotRun("a caller can't connect");
            const std::string id = "q" + std::to_string(i);
            const double sentAt = now();
            sendAll(fd, "POST /plan/" + std::to_string(i) + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                                + "\r\nDeadline-Ms: 30000\r\nContent-Length: 2\r\n\r\n{}");
            std::string got;
            bool hasSentFurther = false;
            while (now() < sentAt + 25 && got.find("\r\n0\r\n\r\n") == std::string::npos) {
                char bytes[ReadBytes];
                const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
                if (count <= 0)
                    break;
                got.append(bytes, static_cast<std::size_t>(count));
                sleepFor(ReadGap);
                if (!hasSentFurther && now() > sentAt + FurtherAfter + 0.13 * i) {
                    hasSentFurther = true;
                    sendAll(fd, "GET /status/" + std::to_string(i) + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r"
                                        + std::to_string(i) + "\r\nDeadline-Ms: 20000\r\n\r\n");
                    record().line("caller of %s sends a further request", id.c_str());
                }
            }
            const bool isWhole = got.find("\r\n0\r\n\r\n") != std::string::npos;
            ++(isWhole ? whole : cut);
            record().line("caller of %s: the answer %s, %zu bytes, %.1f s after SIGTERM", id.c_str(),
                          isWhole ? "is whole" : "is cut off", got.size(), now() - stopAt);
            close(fd);
        });
    }
    sleepFor(StopAfter);
    if (hasTrouble()) {
        record().line("the platform sends SIGTERM to %s", node.name().c_str());
        node.signal(SIGTERM);
    }
    for (std::thread &caller : callers)
        caller.join();
    node.end();
    const int cleaned = std::system(("rm -r " + folder).c_str());
    (void)cleaned;
    record().line("LOST: %d of %d answers that the server had sent whole were cut off", cut.load(), Callers);
    if (whole + cut == 0)
        cannotRun("no request was answered");
    return cut > 0 ? 1 : 0;
}
