#ifndef CURRANTWALK_MEMBERSHIP_ENTRYROSTER_H
#define CURRANTWALK_MEMBERSHIP_ENTRYROSTER_H

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
struct RosterEntry
{
    Endpoint peers; ///< Address of its listener for peers.
    ZoneName zone;
    Incarnation incarnation = 0;

    friend bool operator==(const RosterEntry &, const RosterEntry &) = default;
};

std::string encodeRosterEntry(const RosterEntry &entry);
/// Fails with JsonInvalid or AddressInvalid.
absl::StatusOr<RosterEntry> decodeRosterEntry(const std::string &text);

/// The nodes of a deployment, as recorded in the store. Records of killed nodes remain in the
/// store, so a peer that does not answer is not returned until a backoff has passed.
class EntryRoster
{
public:
    struct Options
    {
        /// Backoff of a peer after a message to it failed.
        Duration failureBackoff = std::chrono::seconds(2);
    };

    EntryRoster(const Options &options, VmId self) : m_options(options), m_self(std::move(self)) {}

    void update(const VmId &vm, const RosterEntry &entry);
    void remove(const VmId &vm) { m_nodes.erase(vm); }
    void onFailure(const VmId &vm, TimePoint now);

    /// Returns the peers in \a zone that are not in backoff.
    std::vector<std::pair<VmId, RosterEntry>> peersIn(const ZoneName &zone, TimePoint now) const;
    /// Returns the number of known nodes, including this one.
    std::size_t size() const;
    std::set<ZoneName> zones() const;

private:
    struct Node
    {
        RosterEntry entry;
        TimePoint backoffUntil{};
    };

    Options m_options;
    VmId m_self;
    std::map<VmId, Node> m_nodes;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_ENTRYROSTER_H
