#ifndef CURRANTWALK_MEMBERSHIP_GOSSIPQUEUE_H
#define CURRANTWALK_MEMBERSHIP_GOSSIPQUEUE_H

#include <cstdint>
#include <map>
#include <string>

#include <json/value.h>

#include "base/timerservice.h"

namespace currantwalk {

enum class GossipKind { Member, Heartbeat, Fact };

/// Queued gossip that is piggybacked on a message, by kind.
struct PiggybackPayload
{
    Json::Value members{Json::arrayValue};
    Json::Value heartbeats{Json::arrayValue};
    Json::Value facts{Json::arrayValue};
};

/// Gossip waiting to be piggybacked on other messages. Each item is sent a bounded number of times.
class GossipQueue
{
public:
    /// Adds an item, replacing any item with the same key. It is sent \a zoneSends times to nodes
    /// of the own zone and \a linkSends times to nodes of other zones.
    void put(GossipKind kind, const std::string &key, Json::Value value, std::uint32_t zoneSends,
             std::uint32_t linkSends, TimePoint now);
    /// Takes the items that fit into \a maxBytes: facts first, then those with the most remaining
    /// sends.
    PiggybackPayload take(bool isLink, std::size_t maxBytes, TimePoint now);
    std::size_t size() const { return m_items.size(); }

private:
    struct Item
    {
        GossipKind kind = GossipKind::Member;
        Json::Value value;
        std::size_t bytes = 0;
        std::uint32_t zoneSends = 0;
        std::uint32_t linkSends = 0;
        TimePoint putAt{};
    };

    void removeExpired(TimePoint now);

    std::map<std::string, Item> m_items;
    TimePoint m_nextCleanupAt{};
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_GOSSIPQUEUE_H
