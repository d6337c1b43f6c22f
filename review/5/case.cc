// The operator takes the last key away, together with its tenant. Do requests with it, or with a
// key that never was, still run later than revoke_ms after the acknowledgement?
#include "rig.hh"

using namespace rig;

static constexpr double RevokeSeconds = 5; // bound revoke_ms

int main(int, char **arguments)
{
    const Case play(arguments[1]);
    const std::string ip = Case::address(1);
    Store store(ip);
    std::mutex mutex;
    std::map<std::string, std::string> tenants; // of the requests that ran

    const auto serve = [&](const ConnectionPtr &connection) {
        Message request;
        while (connection->readRequest(request)) {
            const std::string id = request.header("request-id");
            const std::string tenant = request.has("tenant") ? request.header("tenant") : "(none)";
            {
                const std::lock_guard<std::mutex> lock(mutex);
                tenants[id] = tenant;
            }
            note("server: runs %s %s, Tenant: %s", id.c_str(), request.startLine.c_str(),
                 tenant.c_str());
            connection->write("HTTP/1.1 200 OK\r\nRequest-Id: " + id
                              + "\r\nServer-Seal: seal\r\nContent-Length: 2\r\n\r\nok");
        }
    };
    Listener desk(ip, serve);
    Entry entry;
    entry.id = "i-desk";
    entry.service = "orders";
    entry.address = ip + ":" + std::to_string(desk.port());
    store.put("keyed.servers", entry.id, entry.text());
    const std::string routes = route("reserve", "/reserve/", "unsafe", "orders", 1000, 100, 1);
    store.put("keyed.op", "config", config(7, routes));
    NodeOptions options;
    options.ip = ip;
    options.folder = play.folder;
    options.store = ip + ":" + std::to_string(store.port());
    Node node(options);
    if (!node.awaitReady(10))
        play.end(2, "COULD NOT RUN: the node is not ready");

    ConnectionPtr kept = connectTo(ip, node.front());
    int number = 0;
    const auto ask = [&](const std::string &key) {
        const std::string id = "request-" + std::to_string(++number);
        std::string text = request("POST", "/reserve/pallet", id, 1000, "", "{\"pallet\":4}");
        const std::string usual = "Bearer key-1";
        text.replace(text.find(usual), usual.size(), "Bearer " + key);
        if (!kept)
            kept = connectTo(ip, node.front());
        kept->write(text);
        const Answer answer = readAnswer(*kept, 2);
        note("client: %s with %s: %s", id.c_str(), key.c_str(),
             answer.hasHead ? answer.head.startLine.c_str() : "no answer");
        if (!answer.isComplete || answer.head.header("connection") == "close")
            kept = nullptr;
        const std::lock_guard<std::mutex> lock(mutex);
        return tenants.count(id) != 0;
    };
    if (!ask("key-1"))
        play.end(2, "COULD NOT RUN: a request with a valid key did not run");
    ask("key-that-never-was");
    double acknowledged = now();
    if (play.hasTrouble) {
        std::string without = config(8, routes);
        const std::size_t list = without.find("\"tenants\":[");
        without = without.substr(0, list) + "\"tenants\":[]}";
        store.put("keyed.op", "config", without);
        acknowledged = now();
        note("store: acknowledges version 8, without the tenant and its key: %s", without.c_str());
    }
    int ran = 0;
    int ranUnknown = 0;
    while (now() < acknowledged + RevokeSeconds + 5) {
        sleepFor(0.5);
        const bool isLate = now() > acknowledged + RevokeSeconds;
        ran += ask("key-1") && isLate;
        ranUnknown += ask("key-that-never-was") && isLate;
    }
    note("%d requests with key-1 and %d with a key of no configuration ran that were sent later "
         "than "
         "%.0f s after the acknowledgement",
         ran, ranUnknown, RevokeSeconds);
    if ((play.hasTrouble && ran > 0) || ranUnknown > 0)
        play.end(1, "BROKEN: requests ran whose key was taken away, or never was");
    play.end(0, "HELD: only requests with a valid key ran");
}
