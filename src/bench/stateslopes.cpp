// State kept for each peer, target and object.
#include <functional>

#include "base/json.h"
#include "base/virtualtimerservice.h"
#include "bench/slope.h"
#include "config/objectcodec.h"
#include "limits/limiter.h"
#include "membership/membertable.h"
#include "targets/targettable.h"

namespace currantwalk {

static Slope::Point heapOf(std::size_t size, const std::function<void()> &fill)
{
    const double before = heapBytes();
    fill();
    return {static_cast<double>(size), heapBytes() - before};
}

static Slope measurePeers()
{
    Slope slope{"state of a peer", "peers", "bytes", {}};
    for (const std::size_t size : {60U, 330U, 1320U}) {
        MemberTable table;
        slope.points.push_back(heapOf(size, [&] {
            for (std::size_t i = 0; i < size; ++i) {
                const Member member{VmId("entry-vm-" + std::to_string(i)),
                                    "zone-" + std::to_string(i % 27),
                                    {"10.12.130." + std::to_string(i % 250), 7000},
                                    1'700'000'000,
                                    MemberState::Alive,
                                    7,
                                    {}};
                table.put(member);
            }
        }));
    }
    return slope;
}

static Slope measureTargetTable()
{
    Slope slope{"state of a target", "targets", "bytes", {}};
    for (const std::size_t size : {41U, 275U, 1100U}) {
        VirtualTimerService timers;
        TargetTable::Options options;
        options.zone = "zone-1";
        const auto ignore = [](const auto &) {};
        TargetTable::Hooks hooks{
                ignore, [](const TargetId &) { return true; }, ignore, ignore, ignore, ignore};
        const std::unique_ptr<TargetTable> table = TargetTable::create(options, hooks, timers);
        std::vector<ListedTarget> list;
        std::vector<TargetReport> reports;
        for (std::size_t i = 0; i < size; ++i) {
            const TargetId id("model-server-" + std::to_string(i));
            list.push_back({id,
                            TargetKind::Engine,
                            {"10.12.130.17", 9000},
                            "zone-" + std::to_string(i % 27),
                            "engines",
                            false});
            TargetReport report;
            report.id = id;
            report.incarnation = 1;
            report.models = {{"assistant-large", "7"}, {"assistant-small", "3"}};
            reports.push_back(report);
        }
        slope.points.push_back(heapOf(size, [&] {
            table->onTargetList(list);
            for (const TargetReport &report : reports)
                table->onReport(report);
        }));
    }
    return slope;
}

static ObjectSet organisationObjects(std::size_t count)
{
    ObjectSet objects;
    objects.limits["standard"] = {"standard", 10, 2000, 20};
    for (std::size_t i = 0; i < count; ++i) {
        OrganisationObject organisation;
        organisation.name = "organisation-" + std::to_string(i);
        organisation.keyHashes = {std::string(64, 'a')};
        organisation.priority = "standard";
        organisation.limit = "standard";
        objects.organisations[organisation.name] = organisation;
    }
    return objects;
}

// What a change to the published set costs each node, as a publication carries the whole set.
static std::vector<Slope> measurePublication()
{
    Slope bytes{"published set as JSON", "organisations", "bytes", {}};
    Slope decode{"processor time to read a published set", "organisations", "us", {}};
    Slope limits{"state of the limits of a published set", "organisations", "bytes", {}};
    for (const std::size_t size : {1000U, 4000U, 14000U}) {
        const auto count = static_cast<double>(size);
        const ObjectSet objects = organisationObjects(size);
        const std::string text = writeJson(encodeObjects(objects));
        bytes.points.push_back({count, static_cast<double>(text.size())});
        const double before = processorSeconds();
        const absl::StatusOr<Json::Value> json = parseJson(text);
        const bool isRead = json.ok() && decodeObjects(*json).ok();
        if (isRead)
            decode.points.push_back({count, (processorSeconds() - before) * 1e6});
        VirtualTimerService timers;
        LimiterOptions options;
        options.self = VmId("vm-1");
        options.zone = "zone-1";
        LimiterHooks hooks;
        hooks.send = [](const VmId &, const Json::Value &) {};
        hooks.members = [] { return std::vector<Member>(); };
        const std::unique_ptr<Limiter> limiter = createLimiter(options, hooks, timers);
        limits.points.push_back(heapOf(size, [&] { limiter->applyObjects(objects); }));
    }
    return {bytes, decode, limits};
}

static Slope measureObjects()
{
    Slope slope{"state of an organisation object", "organisations", "bytes", {}};
    for (const std::size_t size : {1000U, 4000U, 14000U}) {
        ObjectSet objects;
        slope.points.push_back(heapOf(size, [&] { objects = organisationObjects(size); }));
    }
    return slope;
}

std::vector<Slope> measureState()
{
    std::vector<Slope> slopes{measurePeers(), measureTargetTable(), measureObjects()};
    for (Slope &slope : measurePublication())
        slopes.push_back(std::move(slope));
    return slopes;
}

} // namespace currantwalk
