#include "limits/ownership.h"

#include <algorithm>
#include <set>

namespace currantwalk {

static const std::string *rendezvousWinner(const std::vector<std::string> &names,
                                           const std::string &key)
{
    const std::uint64_t seed = stableHash(key);
    const std::string *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const std::string &name : names) {
        const std::uint64_t weight = stableHash(name, seed);
        if (best && weight <= bestWeight)
            continue;
        best = &name;
        bestWeight = weight;
    }
    return best;
}

Ownership::Ownership(VmId self, std::string zone, Duration viewRetention, TimePoint now)
    : m_self(std::move(self)),
      m_zone(std::move(zone)),
      m_viewRetention(viewRetention),
      m_startedAt(now)
{
    m_views.push_back({now, {m_self.text()}, {m_zone}});
}

void Ownership::update(const std::vector<Member> &members, TimePoint now)
{
    MembershipView view{now, {m_self.text()}, {}};
    std::set<std::string> zones{m_zone};
    m_members.clear();
    for (const Member &member : members) {
        if (member.state != MemberState::Alive)
            continue;
        m_members.push_back(member);
        zones.insert(member.zone);
        if (member.zone == m_zone && member.vm != m_self)
            view.nodes.push_back(member.vm.text());
    }
    std::sort(view.nodes.begin(), view.nodes.end());
    view.zones.assign(zones.begin(), zones.end());
    if (view.nodes == m_views.back().nodes && view.zones == m_views.back().zones)
        return;
    m_views.push_back(std::move(view));
    while (m_views.size() > 1 && now - m_views[1].startedAt > m_viewRetention)
        m_views.pop_front();
}

std::optional<VmId> Ownership::zoneOwner(const std::string &limit) const
{
    return VmId(*rendezvousWinner(m_views.back().nodes, limit));
}

std::string Ownership::coordinatorZone(const std::string &limit) const
{
    return *rendezvousWinner(m_views.back().zones, limit);
}

std::optional<VmId> Ownership::coordinator(const std::string &limit) const
{
    const std::string zone = coordinatorZone(limit);
    if (zone == m_zone)
        return zoneOwner(limit);
    std::vector<std::string> nodes;
    for (const Member &member : m_members) {
        if (member.zone == zone)
            nodes.push_back(member.vm.text());
    }
    const std::string *best = rendezvousWinner(nodes, limit);
    return best ? std::optional(VmId(*best)) : std::nullopt;
}

std::vector<const Ownership::MembershipView *> Ownership::viewsWithin(Duration span,
                                                                      TimePoint now) const
{
    std::vector<const MembershipView *> views;
    for (std::size_t i = 0; i < m_views.size(); ++i) {
        const bool isCurrent = i + 1 == m_views.size();
        if (isCurrent || now - m_views[i + 1].startedAt < span)
            views.push_back(&m_views[i]);
    }
    return views;
}

bool Ownership::isStableZoneOwner(const std::string &limit, Duration span, TimePoint now) const
{
    if (now - m_startedAt < span)
        return false;
    const std::vector<const MembershipView *> views = viewsWithin(span, now);
    return std::all_of(views.begin(), views.end(), [&](const MembershipView *view) {
        return *rendezvousWinner(view->nodes, limit) == m_self.text();
    });
}

bool Ownership::isStableCoordinator(const std::string &limit, Duration span, TimePoint now) const
{
    if (!isStableZoneOwner(limit, span, now))
        return false;
    const std::vector<const MembershipView *> views = viewsWithin(span, now);
    return std::all_of(views.begin(), views.end(), [&](const MembershipView *view) {
        return *rendezvousWinner(view->zones, limit) == m_zone;
    });
}

std::size_t Ownership::minReachableZones(Duration span, TimePoint now) const
{
    std::size_t least = m_views.back().zones.size();
    for (const MembershipView *view : viewsWithin(span, now))
        least = std::min(least, view->zones.size());
    return least;
}

} // namespace currantwalk
