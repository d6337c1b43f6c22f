#include "membership/gossipqueue.h"

#include <algorithm>
#include <vector>

#include "base/json.h"

namespace currantwalk {

constexpr Duration MaxAge = std::chrono::seconds(20);
constexpr Duration CleanupInterval = std::chrono::seconds(1);
constexpr std::size_t MaxQueued = 1024; ///< Updates beyond it are left to table repair.

void GossipQueue::put(GossipKind kind, const std::string &key, Json::Value value,
                      std::uint32_t zoneSends, std::uint32_t linkSends, TimePoint now)
{
    if (zoneSends == 0 && linkSends == 0)
        return;
    if (m_items.size() >= MaxQueued && m_items.count(key) == 0)
        return;
    const std::size_t bytes = writeJson(value).size() + 1;
    m_items[key] = {kind, std::move(value), bytes, zoneSends, linkSends, now};
}

static Json::Value &itemsOf(PiggybackPayload &payload, GossipKind kind)
{
    switch (kind) {
    case GossipKind::Member:
        return payload.members;
    case GossipKind::Heartbeat:
        return payload.heartbeats;
    case GossipKind::Fact:
        break;
    }
    return payload.facts;
}

// Nodes that rarely exchange messages with other zones would otherwise keep items meant for those
// zones indefinitely.
void GossipQueue::removeExpired(TimePoint now)
{
    if (now < m_nextCleanupAt)
        return;
    m_nextCleanupAt = now + CleanupInterval;
    std::erase_if(m_items, [now](const auto &entry) { return now - entry.second.putAt > MaxAge; });
}

PiggybackPayload GossipQueue::take(bool isLink, std::size_t maxBytes, TimePoint now)
{
    using Iterator = std::map<std::string, Item>::iterator;
    const auto sendsOf = [isLink](Item &item) -> std::uint32_t & {
        return isLink ? item.linkSends : item.zoneSends;
    };
    removeExpired(now);
    std::vector<Iterator> eligible;
    for (Iterator it = m_items.begin(); it != m_items.end(); ++it) {
        if (sendsOf(it->second) > 0)
            eligible.push_back(it);
    }
    std::stable_sort(eligible.begin(), eligible.end(), [&](Iterator a, Iterator b) {
        const bool isFactA = a->second.kind == GossipKind::Fact;
        const bool isFactB = b->second.kind == GossipKind::Fact;
        if (isFactA != isFactB)
            return isFactA;
        return sendsOf(a->second) > sendsOf(b->second);
    });
    PiggybackPayload payload;
    std::size_t bytes = 0;
    for (const Iterator it : eligible) {
        Item &item = it->second;
        if (bytes + item.bytes > maxBytes)
            continue;
        bytes += item.bytes;
        itemsOf(payload, item.kind).append(item.value);
        --sendsOf(item);
        if (item.zoneSends == 0 && item.linkSends == 0)
            m_items.erase(it);
    }
    return payload;
}

} // namespace currantwalk
