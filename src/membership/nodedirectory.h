#ifndef CURRANTWALK_MEMBERSHIP_NODEDIRECTORY_H
#define CURRANTWALK_MEMBERSHIP_NODEDIRECTORY_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// What a node publishes about itself in the store for its peers.
struct NodeRecord
{
    Endpoint peers; ///< Address of its listener for peers.
    ZoneName zone;
    Incarnation incarnation = 0;

    friend bool operator==(const NodeRecord &, const NodeRecord &) = default;
};

std::string encodeNodeRecord(const NodeRecord &entry);
/// Fails with JsonInvalid or AddressInvalid.
absl::StatusOr<NodeRecord> decodeNodeRecord(const std::string &text);

/// The nodes of a deployment, as recorded in the store. Records of killed nodes remain in the
/// store, so a peer that does not answer is not returned until a backoff has passed.
class NodeDirectory
{
public:
    static constexpr std::size_t MaxSmallSize = 24;

    struct Options
    {
        /// Backoff of a peer after a message to it failed.
        Duration failureBackoff = std::chrono::seconds(2);
    };

    NodeDirectory(const Options &options, VmId self) : m_options(options), m_self(std::move(self))
    {
    }

    void update(const VmId &vm, const NodeRecord &entry);
    void remove(const VmId &vm) { m_nodes.erase(vm); }
    void onFailure(const VmId &vm, TimePoint now);

    /// Returns the peers in \a zone that are not in backoff.
    std::vector<std::pair<VmId, NodeRecord>> availablePeersIn(const ZoneName &zone,
                                                              TimePoint now) const;
    /// Returns the peers in \a zone, including those in backoff.
    std::vector<std::pair<VmId, NodeRecord>> peersIn(const ZoneName &zone) const;
    /// Returns the number of known nodes, including this one.
    std::size_t size() const;
    /// Returns whether there are so few nodes that each of them can notify all others.
    bool isSmall() const { return size() <= MaxSmallSize; }
    std::set<ZoneName> zones() const;

private:
    struct Node
    {
        NodeRecord entry;
        TimePoint backoffUntil{};
    };

    Options m_options;
    VmId m_self;
    std::map<VmId, Node> m_nodes;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_NODEDIRECTORY_H
