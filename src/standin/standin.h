#ifndef CURRANTWALK_STANDIN_STANDIN_H
#define CURRANTWALK_STANDIN_STANDIN_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/randomsource.h"
#include "config/objects.h"
#include "net/http.h"
#include "standin/engineserver.h"
#include "standin/faultgate.h"
#include "standin/logstore.h"
#include "standin/plainservice.h"

namespace currantwalk::standin {

/// An entry VM that the platform's list shows.
struct EntryVm
{
    std::string id;
    std::string zone;
    Endpoint endpoint; ///< Of its listener for peers.
};

/// A target that the stand-in plays.
struct TargetLayout
{
    std::string id;
    TargetKind kind = TargetKind::Engine;
    std::string zone;
    std::string pool;
    Endpoint endpoint;
    Engine::Options engine;  ///< Of an engine.
    bool checksKeys = false; ///< Of a plain service.
};

struct Layout
{
    Endpoint platform;
    LogStore::Options log;
    Duration listLag = std::chrono::seconds(2); ///< Of the list of VMs.
    std::uint32_t weightLoadsPerMinute = 6;
    std::uint64_t seed = 1;
    std::vector<EntryVm> entryVms;
    std::vector<TargetLayout> targets;

    /// Reads a layout in TOML. Fails with SettingsInvalid, naming the line.
    static absl::StatusOr<Layout> parse(const std::string &text);
};

/// Plays the platform and all targets in one process; see docs/PROTOCOLS.md.
class Standin
{
public:
    /// \a server and \a timers must outlive the result.
    static absl::StatusOr<std::unique_ptr<Standin>> create(const Layout &layout, HttpServer &server,
                                                           TimerService &timers);

    /// Returns where the platform listens.
    const Endpoint &platformEndpoint() const { return m_platformEndpoint; }
    EngineServer *engine(const std::string &id);
    const PlainService *plainService(const std::string &id) const;
    /// Changes the list of entry VMs, as the platform does when it replaces one.
    void setEntryVms(std::vector<EntryVm> vms) { m_layout.entryVms = std::move(vms); }

private:
    struct PlainTarget
    {
        PlainTarget(bool checksKeys, TimerService &timers, RandomSource &random)
            : service(checksKeys), faults(timers, random)
        {
        }

        PlainService service;
        FaultGate faults;
        bool isLeaving = false;
        bool isDown = false;
    };

    struct ListedState
    {
        TimePoint changedAt;
        bool isLeaving = false;
    };

    Standin(Layout layout, TimerService &timers);

    absl::Status listen(HttpServer &server);
    absl::Status listenForTarget(TargetLayout &target, HttpServer &server);
    void handlePlatform(const std::shared_ptr<HttpExchange> &exchange);
    void handleLog(HttpExchange &exchange, const std::string &stream);
    void handlePlain(const std::string &id, std::shared_ptr<HttpExchange> exchange);
    void answerPlain(PlainTarget &target, HttpExchange &exchange);
    void replyVms(HttpExchange &exchange) const;
    void replyWeights(HttpExchange &exchange, const std::string &name, const std::string &version);
    void handleControl(HttpExchange &exchange, const std::vector<std::string> &parts);
    void setFault(HttpExchange &exchange);
    void controlTarget(HttpExchange &exchange, const std::string &id, const std::string &action);
    void crashPlain(PlainTarget &target, Duration downTime);
    void replyCounts(HttpExchange &exchange) const;
    FaultGate *gate(const std::string &part);
    bool isShownLeaving(const std::string &id) const;

    Layout m_layout;
    TimerService &m_timers;
    RandomSource m_random;
    Endpoint m_platformEndpoint;
    LogStore m_log;
    FaultGate m_logFaults;
    FaultGate m_vmFaults;
    FaultGate m_weightFaults;
    std::map<std::string, std::unique_ptr<EngineServer>> m_engines;
    std::map<std::string, std::unique_ptr<PlainTarget>> m_plainTargets;
    std::map<std::string, ListedState> m_listed;
    std::vector<TimePoint> m_weightLoads;
};

} // namespace currantwalk::standin

#endif // CURRANTWALK_STANDIN_STANDIN_H
