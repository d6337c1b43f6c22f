#include "config/configstatemachine.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "config/objectcodec.h"

namespace currantwalk {

static bool isMadeFromVersionInForce(LogOffset base, LogOffset inForce)
{
    return base == inForce;
}

ConfigStateMachine::ConfigStateMachine(Hooks hooks, Rule rule)
    : m_hooks(std::move(hooks)), m_rule(rule ? std::move(rule) : Rule(isMadeFromVersionInForce))
{
}

void ConfigStateMachine::onRecord(const LogRecord &record)
{
    assert(record.offset == m_next && "records come in order without gaps");
    ++m_next;
    absl::StatusOr<ConfigRecord> decoded = decodeConfigRecord(record.data);
    // All nodes skip records that they can't decode, so skipping does not make them diverge.
    if (!decoded.ok())
        return;
    if (const auto *snapshot = std::get_if<ConfigSnapshot>(&*decoded)) {
        // A snapshot can't cover records after itself; such a snapshot is invalid.
        if (snapshot->asOf <= record.offset)
            onSnapshot(*snapshot);
        return;
    }
    auto &publication = std::get<PublicationRecord>(*decoded);
    if (m_isKnown && record.offset >= m_decidedFrom)
        decide(record.offset, publication);
    else if (!m_isKnown && !tryInitialiseFromRecovery(record.offset, publication))
        m_pending.push_back(PendingPublication{record.offset, std::move(publication)});
}

// A recovery is accepted on any base, so it can be decided without the preceding state.
bool ConfigStateMachine::tryInitialiseFromRecovery(LogOffset offset,
                                                   const PublicationRecord &record)
{
    if (!record.isRecovery)
        return false;
    absl::StatusOr<ObjectSet> objects = decodeValidObjects(record.objects);
    if (!objects.ok())
        return false;
    ConfigSnapshot snapshot;
    snapshot.version =
            ConfigVersion{offset, record.base, record.author, record.id, *std::move(objects)};
    snapshot.asOf = offset + 1;
    if (!tryInitialiseFrom(snapshot))
        return false;
    m_hooks.onVerdict(PublicationVerdict{offset, record.base, record.author, record.id, true, {}});
    return true;
}

// Decisions from before the gap stay valid, but publications within the gap are unknown.
void ConfigStateMachine::onGap(const StreamGap &gap)
{
    assert(gap.oldest > m_next && "a gap skips records");
    m_readFrom = gap.oldest;
    m_next = gap.oldest;
    // A peer's snapshot that was ahead of this node already covers the records in the gap.
    if (m_isKnown && m_decidedFrom >= gap.oldest)
        return;
    m_isKnown = false;
    m_pending.clear();
    if (m_peerSnapshot)
        tryInitialiseFrom(*m_peerSnapshot);
}

void ConfigStateMachine::onPeerSnapshot(const ConfigSnapshot &snapshot)
{
    if (!m_peerSnapshot || snapshot.asOf > m_peerSnapshot->asOf)
        m_peerSnapshot = snapshot;
    if (!m_isKnown)
        tryInitialiseFrom(*m_peerSnapshot);
    else
        checkForDivergence(snapshot);
}

void ConfigStateMachine::onSnapshot(const ConfigSnapshot &snapshot)
{
    if (m_isKnown)
        checkForDivergence(snapshot);
    else
        tryInitialiseFrom(snapshot);
}

// Requires all records from the snapshot's offset on; otherwise a publication would be missed.
bool ConfigStateMachine::tryInitialiseFrom(const ConfigSnapshot &snapshot)
{
    assert(!m_isKnown && "a known state is never replaced");
    if (snapshot.asOf < m_readFrom)
        return false;
    if (snapshot.version.version < m_version.version) {
        ++m_divergences;
        return false;
    }
    m_isKnown = true;
    m_decidedFrom = snapshot.asOf;
    m_initialVersion = snapshot.version.version;
    m_version = snapshot.version;
    m_accepted.clear();
    m_hooks.onState(ConfigSnapshot{m_version, m_decidedFrom});
    const std::vector<PendingPublication> pending = std::exchange(m_pending, {});
    for (const PendingPublication &entry : pending) {
        if (entry.offset >= m_decidedFrom)
            decide(entry.offset, entry.record);
    }
    return true;
}

void ConfigStateMachine::decide(LogOffset offset, const PublicationRecord &record)
{
    if (!record.isRecovery && !m_rule(record.base, m_version.version)) {
        reject(offset, record,
               "made from version " + std::to_string(record.base) + ", but version "
                       + std::to_string(m_version.version) + " by \"" + m_version.author
                       + "\" was in force");
        return;
    }
    absl::StatusOr<ObjectSet> objects = decodeValidObjects(record.objects);
    if (objects.ok())
        accept(offset, record, *std::move(objects));
    else
        reject(offset, record, std::string(objects.status().message()));
}

void ConfigStateMachine::reject(LogOffset offset, const PublicationRecord &record,
                                std::string reason)
{
    m_hooks.onVerdict(PublicationVerdict{offset, record.base, record.author, record.id, false,
                                         std::move(reason)});
}

void ConfigStateMachine::accept(LogOffset offset, const PublicationRecord &record,
                                ObjectSet objects)
{
    constexpr std::size_t MaxKeptVersions = 1000;
    assert(offset > m_version.version && "the version never decreases");
    m_version = ConfigVersion{offset, record.base, record.author, record.id, std::move(objects)};
    m_accepted.push_back(offset);
    if (m_accepted.size() > MaxKeptVersions) {
        m_initialVersion = m_accepted.front();
        m_decidedFrom = std::max(m_decidedFrom, m_initialVersion + 1);
        m_accepted.pop_front();
    }
    m_hooks.onState(ConfigSnapshot{m_version, offset + 1});
    m_hooks.onVerdict(PublicationVerdict{offset, record.base, record.author, record.id, true, {}});
}

// Decisions are deterministic, so a snapshot must name the version this node had at that offset.
void ConfigStateMachine::checkForDivergence(const ConfigSnapshot &snapshot)
{
    if (snapshot.asOf < m_decidedFrom || snapshot.asOf > m_next)
        return;
    const auto after = std::lower_bound(m_accepted.begin(), m_accepted.end(), snapshot.asOf);
    const LogOffset expected = after == m_accepted.begin() ? m_initialVersion : *(after - 1);
    if (expected != snapshot.version.version)
        ++m_divergences;
}

std::optional<ConfigSnapshot> ConfigStateMachine::state() const
{
    if (!m_isKnown)
        return std::nullopt;
    return ConfigSnapshot{m_version, std::max(m_next, m_decidedFrom)};
}

} // namespace currantwalk
