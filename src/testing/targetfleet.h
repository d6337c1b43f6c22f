#ifndef CURRANTWALK_TESTING_TARGETFLEET_H
#define CURRANTWALK_TESTING_TARGETFLEET_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "targets/targettable.h"
#include "testing/memberfleet.h"

namespace currantwalk {

/// The target tables of all nodes of a fleet, over engines that answer probes as long as they run.
/// Each node is told a list that lags by some seconds.
class TargetFleet
{
public:
    struct Engine
    {
        ListedTarget listed;
        Incarnation incarnation = 1;
        bool isRunning = true;
        bool isSayingThatItLeaves = false;
        std::uint64_t generated = 0;
    };

    TargetFleet(const MemberFleet::Options &options, std::size_t targetsPerZone, Duration listLag);

    /// Starts the table of a node that was added to the fleet.
    void start(MemberFleet::Node &node);
    void kill(const VmId &vm);
    /// Lets \a span pass, and lists and engines go on meanwhile.
    void advance(Duration span);

    MemberFleet &members() { return m_fleet; }
    std::map<TargetId, Engine> &engines() { return m_engines; }
    TargetTable &table(const VmId &vm) { return *m_tables.at(vm); }
    std::map<VmId, std::unique_ptr<TargetTable>> &tables() { return m_tables; }
    std::uint64_t digestBytes() const { return m_digestBytes; }
    std::uint64_t digestMessages() const { return m_digestMessages; }
    std::uint64_t probes() const { return m_probes; }
    /// When any node first took this incarnation for leaving.
    const std::map<std::pair<TargetId, Incarnation>, TimePoint> &leavingSince() const
    {
        return m_leavingSince;
    }

private:
    std::vector<ListedTarget> list() const;
    void probe(MemberFleet::Node &node, const TargetId &target);
    void share(MemberFleet::Node &node, const Json::Value &digest);

    MemberFleet m_fleet;
    Duration m_listLag;
    std::map<TargetId, Engine> m_engines;
    std::map<VmId, std::unique_ptr<TargetTable>> m_tables;
    std::map<std::pair<TargetId, Incarnation>, TimePoint> m_leavingSince;
    std::uint64_t m_digestBytes = 0;
    std::uint64_t m_digestMessages = 0;
    std::uint64_t m_probes = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_TESTING_TARGETFLEET_H
