#ifndef CURRANTWALK_CONFIG_ACCEPTANCE_H
#define CURRANTWALK_CONFIG_ACCEPTANCE_H

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

/// Decides on publications from the order of the stream alone, so that every node decides alike. A
/// node that misses older records decides from a snapshot that names the state after them.
class Acceptance
{
public:
    /// Whether a publication made from \a base is accepted where \a inForce is in force.
    using Rule = std::function<bool(LogOffset base, LogOffset inForce)>;

    struct Hooks
    {
        std::function<void(const PublicationVerdict &)> onVerdict;
        /// The version in force by the stream changed.
        std::function<void(const ConfigSnapshot &)> onState;
    };

    /// \a rule may be empty for the standard one: the base must be the version in force.
    Acceptance(Hooks hooks, Rule rule);

    /// Takes the next record.
    void onRecord(const LogRecord &record);
    void onGap(const StreamGap &gap);
    /// Takes a snapshot that did not come by the stream.
    void onPeerSnapshot(const ConfigSnapshot &snapshot);

    /// Returns the version in force by the stream as far as it was read; nothing where the records
    /// that tell it are missing.
    std::optional<ConfigSnapshot> state() const;
    /// Returns the offset below which all records were taken.
    LogOffset next() const { return m_next; }
    /// Returns the number of snapshots that contradict what this node decided.
    std::uint64_t divergences() const { return m_divergences; }

private:
    /// A publication that waits for the state before it to be known.
    struct Undecided
    {
        LogOffset offset = 0;
        PublicationRecord record;
    };

    void onSnapshot(const ConfigSnapshot &snapshot);
    bool tryStartFrom(const ConfigSnapshot &snapshot);
    bool tryStartFromRecovery(LogOffset offset, const PublicationRecord &record);
    void decide(LogOffset offset, const PublicationRecord &record);
    void refuse(LogOffset offset, const PublicationRecord &record, std::string reason);
    void accept(LogOffset offset, const PublicationRecord &record, ObjectSet objects);
    void compare(const ConfigSnapshot &snapshot);

    const Hooks m_hooks;
    const Rule m_rule;

    bool m_isKnown = true;            // Before any record, version 0 is in force.
    ConfigVersion m_version;          // By the stream; from before the gap while not known.
    LogOffset m_start = 1;            // All records from here on were taken.
    LogOffset m_next = 1;             // All records below this were taken.
    LogOffset m_decidedFrom = 1;      // Records below this were decided by others.
    LogOffset m_versionAtStart = 0;   // In force at m_decidedFrom.
    std::deque<LogOffset> m_accepted; // Of those decided here, in order.
    std::vector<Undecided> m_undecided;
    std::optional<ConfigSnapshot> m_offered; // The latest of a peer.
    std::uint64_t m_divergences = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_ACCEPTANCE_H
