// Case: the only server of a service leaves without a word, a few seconds after another node was frozen.
#include "rig.hh"

using namespace rig;

namespace {

constexpr double FreezeTime = 2.2;
constexpr double DrainTime = 2.0;
constexpr double LeaveAfterThaw = 1.9;
// Of the three nodes, the one that reads the store for the others (by the hash of its name).
constexpr std::size_t StoreReader = 2;

std::mutex arrivalsMutex;
std::map<std::string, double> arrivals;

void serve(int fd, const std::string &id)
{
    Reader reader(fd);
    while (const std::optional<Message> request = reader.message(now() + 60)) {
        const std::string requestId = request->header("request-id");
        if (requestId.empty() || request->header("expect-instance") != id) {
            sendAll(fd, answer(421, "Instance-Id: " + id + "\r\n", ""));
            continue;
        }
        {
            const std::lock_guard lock(arrivalsMutex);
            arrivals[requestId] = now();
        }
        sleepFor(0.01);
        sendAll(fd, answer(200, "Request-Id: " + requestId + "\r\nServer-Seal: s." + requestId + "\r\n",
                           "done " + requestId));
    }
    close(fd);
}

std::string entry(const Listener &server, std::uint64_t born, int seq)
{
    return "{\"service\":\"desk\",\"address\":\"" + server.address()
           + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,"
             "\"seq\":" + std::to_string(seq) + ",\"born\":" + std::to_string(born) + "}";
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
    const std::uint64_t born = unixMs();
    store.write("keyed.servers", "i-one", entry(server, born, 1));
    store.write("keyed.op", "config",
                "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"desk.example\",\"path_prefix\":"
                "\"/status/\",\"kind\":\"safe\",\"timeout_ms\":1000,\"goal_ms\":100,\"priority\":0,"
                "\"service\":\"desk\",\"max_attempts\":2,\"allow_anonymous\":true}],\"services\":[{"
                "\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":100}],\"limits\":{"
                "\"max_header_bytes\":32768,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,"
                "\"idle_timeout_ms\":30000}}");
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 3; ++i) {
        nodes.push_back(std::make_unique<Node>());
        NodeOptions options;
        options.name = "front-a-" + std::to_string(i + 1);
        options.ip = loopbackIp(i + 1);
        nodes.back()->start(options, store, folder);
    }
    for (const std::unique_ptr<Node> &node : nodes)
        node->awaitReady(now() + 15);
    sleepFor(5);
    Node &frozen = *nodes[StoreReader];

    std::atomic<bool> isOver = false;
    std::mutex sentMutex;
    std::map<std::string, std::pair<double, std::string>> sent; ///< When, and to which node.
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        Node *const node = nodes[i].get();
        if (node == &frozen)
            continue;
        for (int j = 0; j < 2; ++j) {
            callers.emplace_back([&, node, i, j] {
                for (int number = 0; !isOver; ++number) {
                    const std::string id =
                            "q" + std::to_string(i) + std::to_string(j) + "-" + std::to_string(number);
                    const int fd = connectTo(node->ip(), node->front());
                    if (fd < 0)
                        break;
                    {
                        const std::lock_guard lock(sentMutex);
                        sent[id] = {now(), node->name()};
                    }
                    sendAll(fd, "GET /status/" + id + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                                        + "\r\nDeadline-Ms: 1000\r\n\r\n");
                    Reader reader(fd);
                    const std::optional<Message> message = reader.message(now() + 1.2);
                    close(fd);
                    if (message && message->status() != 200)
                        sleepFor(0.01);
                    sleepFor(0.002);
                }
            });
        }
    }
    if (hasTrouble()) {
        record().line("%s is frozen", frozen.name().c_str());
        frozen.signal(SIGSTOP);
    }
    sleepFor(FreezeTime);
    if (hasTrouble()) {
        frozen.signal(SIGCONT);
        record().line("%s wakes", frozen.name().c_str());
    }
    sleepFor(LeaveAfterThaw);
    const double gone = store.write("keyed.servers", "i-one", std::nullopt);
    record().line("the store has accepted that server i-one is gone");
    sleepFor(DrainTime + 1.5);
    isOver = true;
    for (std::thread &caller : callers)
        caller.join();
    for (const std::unique_ptr<Node> &node : nodes)
        node->end();
    const int cleaned = std::system(("rm -r " + folder).c_str());
    (void)cleaned;
    int late = 0;
    int total = 0;
    double last = 0;
    for (const auto &[id, at] : arrivals) {
        ++total;
        last = std::max(last, at - gone);
        if (at <= gone + DrainTime)
            continue;
        ++late;
        record().line("%s, sent to %s %.0f ms after, reached the server %.0f ms after it was gone", id.c_str(),
                      sent[id].second.c_str(), (sent[id].first - gone) * 1000, (at - gone) * 1000);
    }
    record().line("DRAIN: %d of %d requests reached the server later than drain_ms after the store had "
                  "accepted that it is gone; the last %.0f ms after", late, total, last * 1000);
    if (total == 0)
        cannotRun("no request reached the server");
    return late > 0 ? 1 : 0;
}
