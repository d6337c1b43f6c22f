#include "targets/zoneevacuations.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<EvacuationSource>, 2> EvacuationSourceNames{{
        {EvacuationSource::Store, "store"},
        {EvacuationSource::Peer, "peer"},
}};

std::string_view evacuationSourceName(EvacuationSource source)
{
    return enumName(EvacuationSourceNames, source);
}

void ZoneEvacuations::onOrder(const ZoneName &zone, LogOffset offset)
{
    m_carried.erase(zone);
    m_orders[zone] = offset;
    refresh(EvacuationSource::Store);
}

// A peer may have told of an order that was taken back before this node has read its record.
void ZoneEvacuations::onTakenBack(const ZoneName &zone)
{
    m_carried.erase(zone);
    m_orders.erase(zone);
    refresh(EvacuationSource::Store);
}

void ZoneEvacuations::onPosition(const OrderPosition &position)
{
    m_position = std::max(m_position, position);
    refresh(EvacuationSource::Store);
}

// Offsets are given out again after a restore.
void ZoneEvacuations::onRestored(std::uint64_t era)
{
    m_carried = m_inForce;
    m_orders.clear();
    m_position = {era, 0};
}

void ZoneEvacuations::merge(const EvacuationState &heard)
{
    if (heard.position < m_heard.position)
        return;
    m_heard = heard;
    refresh(EvacuationSource::Peer);
}

EvacuationState ZoneEvacuations::state() const
{
    return {std::max(m_position, m_heard.position), m_inForce};
}

// What was read beyond the position, within a scan of all keys, is newer than what a peer knows
// that has read less.
void ZoneEvacuations::refresh(EvacuationSource source)
{
    std::set<ZoneName> zones = m_carried;
    const bool isOwnNewer = m_position >= m_heard.position;
    if (!isOwnNewer)
        zones.insert(m_heard.zones.begin(), m_heard.zones.end());
    for (const auto &[zone, offset] : m_orders) {
        if (isOwnNewer || OrderPosition{m_position.era, offset} >= m_heard.position)
            zones.insert(zone);
    }
    const std::set<ZoneName> before = std::exchange(m_inForce, zones);
    for (const ZoneName &zone : before) {
        if (!zones.contains(zone))
            m_hooks.onChanged(zone, false, source);
    }
    for (const ZoneName &zone : zones) {
        if (!before.contains(zone))
            m_hooks.onChanged(zone, true, source);
    }
}

} // namespace currantwalk
