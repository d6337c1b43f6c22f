#ifndef CURRANTWALK_MEMBERSHIP_GOSSIPQUEUE_H
#define CURRANTWALK_MEMBERSHIP_GOSSIPQUEUE_H

#include <cstdint>
#include <map>
#include <string>

#include <json/value.h>

#include "base/timerservice.h"

namespace currantwalk {

enum class GossipKind { Member, Heartbeat, Fact };

/// What a message picks up from the queue, by kind.
struct GossipLoad
{
    Json::Value members{Json::arrayValue};
    Json::Value heartbeats{Json::arrayValue};
    Json::Value facts{Json::arrayValue};
};

/// News that waits to travel on other messages, each a bounded number of times.
class GossipQueue
{
public:
    /// Puts in news; it replaces older news with the same key. Zone sends go to nodes of this zone,
    /// link sends to nodes of others.
    void put(GossipKind kind, const std::string &key, Json::Value cell, std::uint32_t zoneSends,
             std::uint32_t linkSends, TimePoint now);
    /// Takes what fits into \a maxBytes: facts first, then what has been sent least often.
    GossipLoad take(bool isLink, std::size_t maxBytes, TimePoint now);
    std::size_t size() const { return m_items.size(); }

private:
    struct Item
    {
        GossipKind kind = GossipKind::Member;
        Json::Value cell;
        std::size_t bytes = 0;
        std::uint32_t zoneSends = 0;
        std::uint32_t linkSends = 0;
        TimePoint putAt{};
    };

    void dropOld(TimePoint now);

    std::map<std::string, Item> m_items;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_GOSSIPQUEUE_H
