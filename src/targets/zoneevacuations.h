#ifndef CURRANTWALK_TARGETS_ZONEEVACUATIONS_H
#define CURRANTWALK_TARGETS_ZONEEVACUATIONS_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// Up to where the topic of the operator's orders is known completely.
struct OrderPosition
{
    std::uint64_t era = 0; ///< Of the store; 0 if it is not told.
    LogOffset next = 0;    ///< Offset of the first record that is not known.

    friend auto operator<=>(const OrderPosition &, const OrderPosition &) = default;
};

/// The zones that are emptied by all orders before a position.
struct EvacuationState
{
    OrderPosition position;
    std::set<ZoneName> zones;

    friend bool operator==(const EvacuationState &, const EvacuationState &) = default;
};

enum class EvacuationSource {
    Store, ///< Read from the store, also through another node of the zone.
    Peer,  ///< Told by another node.
};

/// Returns "store" or "peer".
std::string_view evacuationSourceName(EvacuationSource source);

/// Tracks the availability zones whose targets get nothing because the operator has ordered it.
/// Answers an order that a node hears from several sides and late: the word that knows more of the
/// topic holds, whether it adds an order or takes one back.
class ZoneEvacuations
{
public:
    struct Hooks
    {
        /// A zone has been emptied, or taken back.
        std::function<void(const ZoneName &zone, bool isEmptied, EvacuationSource source)>
                onChanged;
    };

    /// Most zones that are told or taken from another node; a deployment has some tens.
    static constexpr std::size_t MaxZones = 1000;

    explicit ZoneEvacuations(Hooks hooks) : m_hooks(std::move(hooks)) {}

    /// Applies an order at \a offset of the topic.
    void onOrder(const ZoneName &zone, LogOffset offset);
    /// Called when the order's record is gone: it is taken back.
    void onTakenBack(const ZoneName &zone);
    /// Called when all records before \a position have been applied.
    void onPosition(const OrderPosition &position);
    /// Called when the store was restored from a copy, which may lack orders: those that are known
    /// hold until the topic has them again or onTakenBack() is called for them.
    void onRestored(std::uint64_t era);
    /// Applies what another node knows, unless more is known here.
    void merge(const EvacuationState &heard);

    bool isEmptied(const ZoneName &zone) const { return m_inForce.contains(zone); }
    bool isEmpty() const { return m_inForce.empty(); }
    std::size_t size() const { return m_inForce.size(); }
    /// Returns what to tell other nodes.
    EvacuationState state() const;

private:
    void refresh(EvacuationSource source);

    const Hooks m_hooks;
    OrderPosition m_position;               ///< Of what this node has read.
    std::map<ZoneName, LogOffset> m_orders; ///< As read, with the offsets of their records.
    std::set<ZoneName> m_carried; ///< Orders from before a restore that have not been read since.
    EvacuationState m_heard;      ///< From the peer that knew most.
    std::set<ZoneName> m_inForce;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_ZONEEVACUATIONS_H
