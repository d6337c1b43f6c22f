// Another writer's entries lie among the servers' in the store, and the nodes are killed. Do they
// serve again?
#include "rig.hh"

using namespace rig;

static constexpr int ForeignEntries = 60;
static constexpr double RecoverySeconds = 12; // bound recovery_s

int main(int, char **arguments)
{
    const Case play(arguments[1]);
    const std::string ip = Case::address(1);
    Store store(ip);
    store.pageSize = 50;

    const auto serve = [](const ConnectionPtr &connection) {
        Message request;
        while (connection->readRequest(request)) {
            note("server: runs %s", request.header("request-id").c_str());
            connection->write("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id")
                              + "\r\nServer-Seal: seal\r\nContent-Length: 2\r\n\r\nok");
        }
    };
    Listener desk(ip, serve);
    Entry entry;
    entry.id = "i-desk";
    entry.service = "orders";
    entry.address = ip + ":" + std::to_string(desk.port());
    store.put("keyed.servers", entry.id, entry.text());
    store.put("keyed.op", "config",
              config(7, route("stock", "/stock/", "safe", "orders", 1000, 100, 2)));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 1; i <= 3; ++i) {
        NodeOptions options;
        options.name = "front-a-" + std::to_string(i);
        options.ip = Case::address(i);
        options.folder = play.folder;
        options.store = ip + ":" + std::to_string(store.port());
        nodes.push_back(std::make_unique<Node>(options));
    }
    for (const auto &node : nodes) {
        if (!node->awaitReady(10))
            play.end(2, "COULD NOT RUN: a node is not ready");
    }
    for (int i = 1; i <= ForeignEntries; ++i)
        store.put("keyed.servers", "batch job " + std::to_string(i),
                  "{\"owner\":\"another writer\"}");
    note("store: %d entries of another writer, keys 'batch job N'", ForeignEntries);
    sleepFor(1);

    int number = 0;
    const auto ask = [&](const std::string &when, int count) {
        int served = 0;
        for (int i = 0; i < count; ++i) {
            const Node &node = *nodes[static_cast<std::size_t>(i) % nodes.size()];
            const std::string id = "request-" + std::to_string(++number);
            const ConnectionPtr connection = connectTo(node.ip(), node.front());
            if (!connection) {
                note("client: %s not accepted by %s", id.c_str(), node.name().c_str());
                continue;
            }
            connection->write(request("GET", "/stock/a", id, 1000));
            const Answer answer = readAnswer(*connection, 2);
            note("client: %s at %s %s: %s", id.c_str(), node.name().c_str(), when.c_str(),
                 answer.hasHead ? answer.head.startLine.c_str() : "no answer");
            served += answer.isComplete && answer.head.status() == 200;
        }
        note("client: %d of %d served %s", served, count, when.c_str());
        return served;
    };
    if (ask("before the fault", 12) < 3)
        play.end(2, "COULD NOT RUN: less than a quarter is served before the fault");
    if (play.hasTrouble) {
        for (const auto &node : nodes)
            node->signal(SIGKILL);
        for (const auto &node : nodes)
            node->wait();
        sleepFor(1);
        for (const auto &node : nodes)
            node->start();
    }
    sleepFor(RecoverySeconds + 1);
    const int served = ask("later than recovery_s after the nodes were back", 60);
    if (served * 4 < 60)
        play.end(1, "BROKEN: less than a quarter is served after the recovery time");
    play.end(0, "HELD: the nodes serve again");
}
