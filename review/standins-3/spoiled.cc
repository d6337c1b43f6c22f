// Case: a server spoils a few of its answers, in the line with the size of a chunk.
#include "rig.hh"

using namespace rig;

namespace {

constexpr int Servers = 3;
constexpr int SpoilEach = 50; // x = .02 of the answers of one server
constexpr int Callers = 12;
constexpr int Events = 20;
constexpr double LoadTime = 10;

struct Answer
{
    std::string body;
    bool isSpoiled = false;
};

std::mutex stateMutex;
std::map<std::string, Answer> answers; ///< What the server gave, by request.
int spoilerAnswers = 0;

std::string chunk(const std::string &bytes, bool isSpoiled)
{
    char size[32];
    std::snprintf(size, sizeof(size), isSpoiled ? "0x%zx\r\n" : "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

void serve(int fd, const std::string &id, bool isSpoiler)
{
    Reader reader(fd);
    while (const std::optional<Message> request = reader.message(now() + 60)) {
        const std::string requestId = request->header("request-id");
        if (requestId.empty() || request->header("expect-instance") != id) {
            sendAll(fd, answer(421, "Instance-Id: " + id + "\r\n", ""));
            continue;
        }
        const bool isStream = request->word(1).rfind("/plan/", 0) == 0;
        bool isSpoiled = false;
        {
            const std::lock_guard lock(stateMutex);
            isSpoiled = isSpoiler && hasTrouble() && ++spoilerAnswers % SpoilEach == SpoilEach / 2;
        }
        std::vector<std::string> parts;
        for (int i = 1; i <= Events; ++i)
            parts.push_back(isStream ? "id: " + std::to_string(i) + "\ndata: of " + requestId + "\n\n"
                                     : "line " + std::to_string(i) + " for " + requestId + "\n");
        const std::size_t spoiledPart = isStream ? Events / 2 : 0;
        Answer given;
        given.isSpoiled = isSpoiled;
        for (const std::string &part : parts)
            given.body += part;
        {
            const std::lock_guard lock(stateMutex);
            answers[requestId] = given;
        }
        sleepFor(0.01);
        std::string text = std::string("HTTP/1.1 200 OK\r\nContent-Type: ")
                           + (isStream ? "text/event-stream" : "text/plain") + "\r\nTransfer-Encoding: chunked\r\n"
                           + "Request-Id: " + requestId + "\r\nServer-Seal: s." + requestId + "\r\n\r\n";
        for (std::size_t i = 0; i < parts.size(); ++i) {
            text += chunk(parts[i], isSpoiled && i == spoiledPart);
            if (!isStream)
                continue;
            sendAll(fd, text);
            text.clear();
            sleepFor(0.005);
        }
        if (!sendAll(fd, text + "0\r\n\r\n"))
            break;
        if (isSpoiled)
            record().line("%s spoils the size of chunk %zu of its answer to %s", id.c_str(), spoiledPart + 1,
                          requestId.c_str());
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
    const std::string born = std::to_string(unixMs());
    std::vector<std::unique_ptr<Listener>> servers;
    for (int i = 0; i < Servers; ++i) {
        const std::string id = "i-" + std::to_string(i + 1);
        servers.push_back(std::make_unique<Listener>());
        servers.back()->start("127.0.0.1", 0, [id, i](int fd) { serve(fd, id, i == 0); });
        store.write("keyed.servers", id,
                    "{\"service\":\"desk\",\"address\":\"" + servers.back()->address()
                            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":24,\"state\":\"ready\","
                              "\"cold_left_ms\":0,\"seq\":1,\"born\":"
                            + born + "}");
    }
    const auto route = [](const std::string &path, const std::string &kind) {
        return "{\"name\":\"" + kind + "\",\"host\":\"desk.example\",\"path_prefix\":\"" + path
               + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":6000,\"goal_ms\":1800,\"gap_goal_ms\":180,"
                 "\"priority\":0,\"service\":\"desk\",\"max_attempts\":2,\"allow_anonymous\":true}";
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
    std::atomic<int> failed = 0;
    std::atomic<int> wrong = 0;
    const double until = now() + LoadTime;
    std::vector<std::thread> callers;
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&, i] {
            for (int number = 0; now() < until; ++number) {
                const std::string id = "q" + std::to_string(i) + "-" + std::to_string(number);
                const int fd = connectTo(node.ip(), node.front());
                if (fd < 0)
                    cannotRun("a caller can't connect");
                const bool isStream = i % 2 == 0;
                sendAll(fd, std::string(isStream ? "POST /plan/" : "GET /status/") + id
                                    + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                                    + "\r\nDeadline-Ms: 5000\r\n"
                                    + (isStream ? "Content-Length: 2\r\n\r\n{}" : "\r\n"));
                Reader reader(fd);
                const std::optional<Message> message = reader.message(now() + 6);
                close(fd);
                if (!message || message->status() != 200) {
                    ++failed;
                    record().line("caller %d gets %d for %s", i, message ? message->status() : 0, id.c_str());
                    continue;
                }
                const std::lock_guard lock(stateMutex);
                const Answer &given = answers[id];
                ++(message->body == given.body ? whole : wrong);
                if (message->body != given.body)
                    record().line("caller %d gets 200 for %s, Server-Seal %s, complete, with %zu bytes; the server "
                                  "has sent %zu", i, id.c_str(), message->header("server-seal").c_str(),
                                  message->body.size(), given.body.size());
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    node.end();
    const int cleaned = std::system(("rm -r " + folder).c_str());
    (void)cleaned;
    int spoiled = 0;
    for (const auto &[id, given] : answers)
        spoiled += given.isSpoiled;
    record().line("%d answers whole, %d failed; %s has spoiled %d of %d answers", whole.load(), failed.load(), "i-1",
                  spoiled, spoilerAnswers);
    record().line("MIXED: %d answers of 200 look complete and hold another body than the server has sent",
                  wrong.load());
    if (whole == 0)
        cannotRun("no request was answered");
    return wrong > 0 ? 1 : 0;
}
