#ifndef CURRANTWALK_CONFIG_CONFIGSTATEMACHINE_H
#define CURRANTWALK_CONFIG_CONFIGSTATEMACHINE_H

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "config/configrecord.h"
#include "config/configstore.h"
#include "log/logservice.h"
#include "log/streamreader.h"

namespace currantwalk {

/// Replays the configuration stream and accepts or rejects each publication. The result depends
/// only on the order of the stream, so all nodes reach the same decisions. A node that missed older
/// records continues from a snapshot of the state after them.
class ConfigStateMachine
{
public:
    /// Returns whether a publication based on \a base is accepted while \a inForce is in force.
    using Rule = std::function<bool(LogOffset base, LogOffset inForce)>;

    struct Hooks
    {
        std::function<void(const PublicationVerdict &)> onVerdict;
        /// Called when the version in force according to the stream changed.
        std::function<void(const ConfigSnapshot &)> onState;
    };

    /// If \a rule is empty, the default rule applies: the base must be the version in force.
    ConfigStateMachine(Hooks hooks, Rule rule);

    /// Processes the next record of the stream.
    void onRecord(const LogRecord &record);
    void onGap(const StreamGap &gap);
    /// Processes a snapshot received from a peer rather than from the stream.
    void onPeerSnapshot(const ConfigSnapshot &snapshot);

    /// Returns the version in force according to the records read so far; nothing if records needed
    /// to determine it are missing.
    std::optional<ConfigSnapshot> state() const;
    /// Returns the offset of the next record to process.
    LogOffset next() const { return m_next; }
    /// Returns the number of snapshots that contradict this node's own decisions.
    std::uint64_t divergences() const { return m_divergences; }

private:
    /// A publication that can't be decided until the state before it is known.
    struct PendingPublication
    {
        LogOffset offset = 0;
        PublicationRecord record;
    };

    void onSnapshot(const ConfigSnapshot &snapshot);
    bool tryInitialiseFrom(const ConfigSnapshot &snapshot);
    bool tryInitialiseFromRecovery(LogOffset offset, const PublicationRecord &record);
    void decide(LogOffset offset, const PublicationRecord &record);
    void reject(LogOffset offset, const PublicationRecord &record, std::string reason);
    void accept(LogOffset offset, const PublicationRecord &record, ObjectSet objects);
    void checkForDivergence(const ConfigSnapshot &snapshot);

    const Hooks m_hooks;
    const Rule m_rule;

    bool m_isKnown = true;            // Before any record, version 0 is in force.
    ConfigVersion m_version;          // As of the stream; as of the gap while unknown.
    LogOffset m_readFrom = 1;         // All records from this offset on were read.
    LogOffset m_next = 1;             // Offset of the next record.
    LogOffset m_decidedFrom = 1;      // Records below this were decided by other nodes.
    LogOffset m_initialVersion = 0;   // In force at m_decidedFrom.
    std::deque<LogOffset> m_accepted; // Versions accepted by this node, in order.
    std::vector<PendingPublication> m_pending;
    std::optional<ConfigSnapshot> m_peerSnapshot; // The latest one received from a peer.
    std::uint64_t m_divergences = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_CONFIGSTATEMACHINE_H
