#include "membership/nodedirectory.h"

#include <algorithm>

#include "base/json.h"

namespace currantwalk {

std::string encodeNodeRecord(const NodeRecord &entry)
{
    Json::Value json(Json::objectValue);
    json["peers"] = entry.peers.toString();
    json["zone"] = entry.zone.text();
    json["incarnation"] = Json::UInt64(entry.incarnation);
    return writeJson(json);
}

absl::StatusOr<NodeRecord> decodeNodeRecord(const std::string &text)
{
    const absl::StatusOr<Json::Value> json = parseJson(text);
    if (!json.ok())
        return json.status();
    const absl::StatusOr<std::string> peers = stringMember(*json, "peers");
    if (!peers.ok())
        return peers.status();
    const absl::StatusOr<std::string> zone = stringMember(*json, "zone");
    if (!zone.ok())
        return zone.status();
    const absl::StatusOr<std::uint64_t> incarnation = unsignedMember(*json, "incarnation");
    if (!incarnation.ok())
        return incarnation.status();
    const absl::StatusOr<Endpoint> endpoint = Endpoint::parse(*peers);
    if (!endpoint.ok())
        return endpoint.status();
    return NodeRecord{*endpoint, ZoneName(*zone), *incarnation};
}

void NodeDirectory::update(const VmId &vm, const NodeRecord &entry)
{
    Node &node = m_nodes[vm];
    if (node.entry == entry)
        return;
    node = {entry, TimePoint{}};
}

void NodeDirectory::onFailure(const VmId &vm, TimePoint now)
{
    const auto it = m_nodes.find(vm);
    if (it != m_nodes.end())
        it->second.backoffUntil = now + m_options.failureBackoff;
}

std::vector<std::pair<VmId, NodeRecord>> NodeDirectory::availablePeersIn(const ZoneName &zone,
                                                                         TimePoint now) const
{
    std::vector<std::pair<VmId, NodeRecord>> peers;
    for (const auto &[vm, node] : m_nodes) {
        if (vm != m_self && node.entry.zone == zone && now >= node.backoffUntil)
            peers.emplace_back(vm, node.entry);
    }
    return peers;
}

std::vector<std::pair<VmId, NodeRecord>> NodeDirectory::peersIn(const ZoneName &zone) const
{
    std::vector<std::pair<VmId, NodeRecord>> peers;
    for (const auto &[vm, node] : m_nodes) {
        if (vm != m_self && node.entry.zone == zone)
            peers.emplace_back(vm, node.entry);
    }
    return peers;
}

std::set<ZoneName> NodeDirectory::zones() const
{
    std::set<ZoneName> zones;
    for (const auto &[vm, node] : m_nodes)
        zones.insert(node.entry.zone);
    return zones;
}

std::size_t NodeDirectory::size() const
{
    return std::max<std::size_t>(m_nodes.size() + (m_nodes.count(m_self) == 0 ? 1 : 0), 1);
}

} // namespace currantwalk
