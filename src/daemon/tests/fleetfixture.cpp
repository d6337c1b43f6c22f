#include "fleetfixture.h"

#include <chrono>
#include <utility>

#include "base/json.h"
#include "config/objectcodec.h"
#include "daemon/objectindex.h"

#include <CppUTest/TestHarness.h>

namespace currantwalk {

/// Past this a test hangs and is failed; no test is bounded by it.
static constexpr std::chrono::minutes HangTimeout{1};
static constexpr const char *PeersKey = "peers-key-of-the-tests";

static Endpoint anyPort()
{
    return Endpoint{"127.0.0.1", 0};
}

bool CallerAnswer::isDone() const
{
    return !events.empty() && events.back().data == "[DONE]";
}

static std::string tokenText(const SseEvent &event)
{
    const absl::StatusOr<Json::Value> json = parseJson(event.data);
    if (!event.type.empty() || !json.ok() || !json->isObject())
        return "";
    return (*json)["choices"][0]["text"].asString();
}

std::string CallerAnswer::text() const
{
    std::string text;
    for (const SseEvent &event : events)
        text += tokenText(event);
    return text;
}

std::size_t CallerAnswer::tokens() const
{
    std::size_t count = 0;
    for (const SseEvent &event : events)
        count += tokenText(event).empty() ? 0 : 1;
    return count;
}

std::string CallerAnswer::lastEventId() const
{
    std::string id;
    for (const SseEvent &event : events)
        id = event.id.empty() ? id : event.id;
    return id;
}

std::string CallerAnswer::error(const char *name) const
{
    std::string text = body;
    for (const SseEvent &event : events)
        text = event.type == "error" ? event.data : text;
    const absl::StatusOr<Json::Value> json = parseJson(text);
    if (!json.ok() || !json->isObject() || !(*json)["error"].isObject())
        return "";
    return (*json)["error"][name].asString();
}

FleetFixture::FleetFixture(const standin::Layout &layout)
    : m_loop(*EventLoop::create({})),
      m_standin(*standin::Standin::create(layout, m_loop->server(), m_loop->timers())),
      m_rpc(RpcClient::create(m_loop->client(), m_loop->timers(), OperatorKey, false))
{
}

FleetFixture::~FleetFixture() = default;

Node &FleetFixture::addNode(const std::string &zone)
{
    Settings settings;
    settings.vm = "vm-" + zone + std::to_string(m_nodes.size());
    settings.zone = zone;
    settings.callers.listen = anyPort();
    settings.peers.listen = anyPort();
    settings.operators.listen = anyPort();
    settings.platform = m_standin->platformEndpoint();
    settings.drainAnnounceTime = std::chrono::milliseconds(50);
    for (const RunningNode &running : m_nodes) {
        if (running.node)
            settings.seeds.push_back(running.node->peersEndpoint());
    }
    RunningNode running;
    running.loop = *EventLoop::create({});
    running.node = *Node::create(settings, NodeKeys{PeersKey, OperatorKey}, *running.loop);
    m_nodes.push_back(std::move(running));
    return *m_nodes.back().node;
}

void FleetFixture::killNode(std::size_t index)
{
    m_nodes[index].node.reset();
    m_nodes[index].loop.reset();
}

void FleetFixture::runOnce()
{
    constexpr Duration Wait = std::chrono::milliseconds(1);
    m_loop->runOnce(Wait);
    for (const RunningNode &running : m_nodes) {
        if (running.loop)
            running.loop->runOnce(Duration(0));
    }
}

void FleetFixture::runUntil(const std::function<bool()> &condition)
{
    const auto hangsAt = std::chrono::steady_clock::now() + HangTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > hangsAt)
            FAIL("the condition never held");
        runOnce();
    }
}

void FleetFixture::runFor(Duration span)
{
    const TimePoint end = m_loop->timers().now() + span;
    while (m_loop->timers().now() < end)
        runOnce();
}

std::shared_ptr<CallerAnswer> FleetFixture::request(const Endpoint &endpoint,
                                                    const std::string &method,
                                                    const std::string &path,
                                                    const std::string &body, HttpHeaders headers)
{
    const auto answer = std::make_shared<CallerAnswer>();
    const auto parser = std::make_shared<SseParser>();
    HttpCallHooks hooks;
    // The answer owns the exchange, so the hooks must not own the answer.
    CallerAnswer *raw = answer.get();
    hooks.onHead = [raw](const HttpResponseHead &head) {
        raw->status = head.status;
        raw->headers = head.headers;
    };
    hooks.onBody = [raw, parser](std::string_view part) {
        raw->body.append(part);
        const absl::Status parsed =
                parser->feed(part, [raw](const SseEvent &event) { raw->events.push_back(event); });
        CHECK(parsed.ok());
    };
    hooks.onEnd = [raw](const absl::Status &status) {
        raw->end = status;
        raw->isEnded = true;
    };
    HttpCallOptions options;
    options.endpoint = endpoint;
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = std::move(headers);
    request.headers.push_back({"authorization", std::string("Bearer ") + ApiKey});
    answer->call = m_loop->client().send(options, std::move(request), std::move(hooks));
    return answer;
}

std::shared_ptr<CallerAnswer> FleetFixture::complete(Node &node, const std::string &body,
                                                     HttpHeaders headers)
{
    return request(node.callersEndpoint(), "POST", "/v1/completions", body, std::move(headers));
}

absl::StatusOr<Json::Value> FleetFixture::operate(Node &node, const std::string &method,
                                                  const Json::Value &params)
{
    constexpr Duration Timeout = std::chrono::seconds(30);
    std::optional<absl::StatusOr<Json::Value>> result;
    m_rpc->call(node.operatorsEndpoint(), method, params, Timeout,
                [&result](absl::StatusOr<Json::Value> answer) { result = std::move(answer); });
    runUntil([&result] { return result.has_value(); });
    return *result;
}

void FleetFixture::control(const std::string &path, const std::string &body)
{
    const std::shared_ptr<CallerAnswer> answer =
            request(m_standin->platformEndpoint(), "POST", "/standin/" + path, body);
    runUntil([&answer] { return answer->isEnded; });
    CHECK_EQUAL(200, answer->status);
}

void FleetFixture::publish(const ObjectSet &objects)
{
    Json::Value params(Json::objectValue);
    params["base"] = 0;
    params["author"] = "test";
    params["publication_id"] = "first";
    params["objects"] = encodeObjects(objects);
    const absl::StatusOr<Json::Value> result = operate(node(0), "publish", params);
    CHECK_TEXT(result.ok(), std::string(result.status().message()).c_str());
    CHECK((*result)["accepted"].asBool());
    for (const RunningNode &running : m_nodes)
        runUntil([&running] { return running.node->isReady(); });
}

standin::Layout testLayout(std::size_t engines)
{
    standin::Layout layout;
    layout.platform = anyPort();
    for (std::size_t i = 0; i < engines; ++i) {
        standin::TargetLayout target;
        target.id = "engine-" + std::to_string(i);
        target.zone = i % 2 == 0 ? "a" : "b";
        target.pool = "engines";
        target.endpoint = anyPort();
        target.engine.models = {{"small", "1"}};
        target.engine.stepTime = std::chrono::milliseconds(2);
        target.engine.loadLag = std::chrono::milliseconds(50);
        target.engine.meanTokens = 5000;
        layout.targets.push_back(target);
    }
    standin::TargetLayout plain;
    plain.id = "desk";
    plain.kind = TargetKind::Plain;
    plain.zone = "a";
    plain.pool = "desk";
    plain.endpoint = anyPort();
    layout.targets.push_back(plain);
    return layout;
}

ObjectSet testObjects()
{
    ObjectSet objects;
    objects.zones["a"] = {"a", "r"};
    objects.zones["b"] = {"b", "r"};
    PriorityObject priority;
    priority.name = "normal";
    objects.priorities["normal"] = priority;
    PoolObject pool;
    pool.name = "engines";
    objects.pools["engines"] = pool;
    pool.name = "desk";
    pool.kind = TargetKind::Plain;
    objects.pools["desk"] = pool;
    ModelObject model;
    model.name = "small";
    model.pool = "engines";
    model.weights = "small";
    model.version = "1";
    objects.models["small"] = model;
    OrganisationObject organisation;
    organisation.name = "org";
    organisation.keyHashes = {sha256Hex(FleetFixture::ApiKey)};
    organisation.priority = "normal";
    objects.organisations["org"] = organisation;
    ServiceObject service;
    service.name = "answers";
    service.models = {"small"};
    objects.services["answers"] = service;
    ServiceObject desk;
    desk.name = "desk";
    desk.kind = ServiceKind::Plain;
    desk.pool = "desk";
    desk.deadline = std::chrono::seconds(30);
    objects.services["desk"] = desk;
    return objects;
}

} // namespace currantwalk
