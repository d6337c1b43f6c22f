#include "membership/gossipqueue.h"

#include <algorithm>
#include <vector>

#include "base/json.h"

namespace currantwalk {

constexpr Duration MaxAge = std::chrono::seconds(20);
constexpr std::size_t MaxQueued = 1024; ///< Beyond it the table repair carries what is new.

void GossipQueue::put(GossipKind kind, const std::string &key, Json::Value cell,
                      std::uint32_t zoneSends, std::uint32_t linkSends, TimePoint now)
{
    if (zoneSends == 0 && linkSends == 0)
        return;
    if (m_items.size() >= MaxQueued && m_items.count(key) == 0)
        return;
    const std::size_t bytes = writeJson(cell).size() + 1;
    m_items[key] = {kind, std::move(cell), bytes, zoneSends, linkSends, now};
}

static Json::Value &cellsOf(GossipLoad &load, GossipKind kind)
{
    switch (kind) {
    case GossipKind::Member:
        return load.members;
    case GossipKind::Heartbeat:
        return load.heartbeats;
    case GossipKind::Fact:
        break;
    }
    return load.facts;
}

// Nodes that are seldom spoken to from other zones would keep what is meant for those.
void GossipQueue::dropOld(TimePoint now)
{
    std::erase_if(m_items, [now](const auto &entry) { return now - entry.second.putAt > MaxAge; });
}

GossipLoad GossipQueue::take(bool isLink, std::size_t maxBytes, TimePoint now)
{
    using Iterator = std::map<std::string, Item>::iterator;
    const auto sendsOf = [isLink](Item &item) -> std::uint32_t & {
        return isLink ? item.linkSends : item.zoneSends;
    };
    dropOld(now);
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
    GossipLoad load;
    std::size_t bytes = 0;
    for (const Iterator it : eligible) {
        Item &item = it->second;
        if (bytes + item.bytes > maxBytes)
            continue;
        bytes += item.bytes;
        cellsOf(load, item.kind).append(item.cell);
        --sendsOf(item);
        if (item.zoneSends == 0 && item.linkSends == 0)
            m_items.erase(it);
    }
    return load;
}

} // namespace currantwalk
