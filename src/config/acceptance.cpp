#include "config/acceptance.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "config/objectcodec.h"

namespace currantwalk {

static bool isMadeFromVersionInForce(LogOffset base, LogOffset inForce)
{
    return base == inForce;
}

Acceptance::Acceptance(Hooks hooks, Rule rule)
    : m_hooks(std::move(hooks)), m_rule(rule ? std::move(rule) : Rule(isMadeFromVersionInForce))
{
}

void Acceptance::onRecord(const LogRecord &record)
{
    assert(record.offset == m_next && "records come in order without gaps");
    ++m_next;
    absl::StatusOr<ConfigRecord> decoded = decodeConfigRecord(record.data);
    // What is no record of ours is passed over by all nodes alike.
    if (!decoded.ok())
        return;
    if (const auto *snapshot = std::get_if<ConfigSnapshot>(&*decoded)) {
        // A snapshot can't tell of records that come after it.
        if (snapshot->asOf <= record.offset)
            onSnapshot(*snapshot);
        return;
    }
    auto &publication = std::get<PublicationRecord>(*decoded);
    if (m_isKnown && record.offset >= m_decidedFrom)
        decide(record.offset, publication);
    else if (!m_isKnown && !tryStartFromRecovery(record.offset, publication))
        m_undecided.push_back(Undecided{record.offset, std::move(publication)});
}

// A recovery is accepted whatever came before it, so the state before need not be known.
bool Acceptance::tryStartFromRecovery(LogOffset offset, const PublicationRecord &record)
{
    if (!record.isRecovery)
        return false;
    absl::StatusOr<ObjectSet> objects = decodeSoundObjects(record.objects);
    if (!objects.ok())
        return false;
    ConfigSnapshot snapshot;
    snapshot.version =
            ConfigVersion{offset, record.base, record.author, record.id, *std::move(objects)};
    snapshot.asOf = offset + 1;
    if (!tryStartFrom(snapshot))
        return false;
    m_hooks.onVerdict(PublicationVerdict{offset, record.base, record.author, record.id, true, {}});
    return true;
}

// What was decided before the gap holds, but what was published within it is not known.
void Acceptance::onGap(const StreamGap &gap)
{
    assert(gap.oldest > m_next && "a gap skips records");
    m_start = gap.oldest;
    m_next = gap.oldest;
    // A snapshot of a peer that is ahead of this node tells of the records in the gap as well.
    if (m_isKnown && m_decidedFrom >= gap.oldest)
        return;
    m_isKnown = false;
    m_undecided.clear();
    if (m_offered)
        tryStartFrom(*m_offered);
}

void Acceptance::onPeerSnapshot(const ConfigSnapshot &snapshot)
{
    if (!m_offered || snapshot.asOf > m_offered->asOf)
        m_offered = snapshot;
    if (!m_isKnown)
        tryStartFrom(*m_offered);
    else
        compare(snapshot);
}

void Acceptance::onSnapshot(const ConfigSnapshot &snapshot)
{
    if (m_isKnown)
        compare(snapshot);
    else
        tryStartFrom(snapshot);
}

// All records from the snapshot's point on must be at hand, or a publication would be missed.
bool Acceptance::tryStartFrom(const ConfigSnapshot &snapshot)
{
    assert(!m_isKnown && "a known state is never replaced");
    if (snapshot.asOf < m_start)
        return false;
    if (snapshot.version.version < m_version.version) {
        ++m_divergences;
        return false;
    }
    m_isKnown = true;
    m_decidedFrom = snapshot.asOf;
    m_versionAtStart = snapshot.version.version;
    m_version = snapshot.version;
    m_accepted.clear();
    m_hooks.onState(ConfigSnapshot{m_version, m_decidedFrom});
    const std::vector<Undecided> undecided = std::exchange(m_undecided, {});
    for (const Undecided &entry : undecided) {
        if (entry.offset >= m_decidedFrom)
            decide(entry.offset, entry.record);
    }
    return true;
}

void Acceptance::decide(LogOffset offset, const PublicationRecord &record)
{
    if (!record.isRecovery && !m_rule(record.base, m_version.version)) {
        refuse(offset, record,
               "made from version " + std::to_string(record.base) + ", but version "
                       + std::to_string(m_version.version) + " by \"" + m_version.author
                       + "\" was in force");
        return;
    }
    absl::StatusOr<ObjectSet> objects = decodeSoundObjects(record.objects);
    if (objects.ok())
        accept(offset, record, *std::move(objects));
    else
        refuse(offset, record, std::string(objects.status().message()));
}

void Acceptance::refuse(LogOffset offset, const PublicationRecord &record, std::string reason)
{
    m_hooks.onVerdict(PublicationVerdict{offset, record.base, record.author, record.id, false,
                                         std::move(reason)});
}

void Acceptance::accept(LogOffset offset, const PublicationRecord &record, ObjectSet objects)
{
    constexpr std::size_t MaxKept = 1000;
    assert(offset > m_version.version && "no version goes back");
    m_version = ConfigVersion{offset, record.base, record.author, record.id, std::move(objects)};
    m_accepted.push_back(offset);
    if (m_accepted.size() > MaxKept) {
        m_versionAtStart = m_accepted.front();
        m_decidedFrom = std::max(m_decidedFrom, m_versionAtStart + 1);
        m_accepted.pop_front();
    }
    m_hooks.onState(ConfigSnapshot{m_version, offset + 1});
    m_hooks.onVerdict(PublicationVerdict{offset, record.base, record.author, record.id, true, {}});
}

// All nodes decide alike, so a snapshot must name the version that this node had at that point.
void Acceptance::compare(const ConfigSnapshot &snapshot)
{
    if (snapshot.asOf < m_decidedFrom || snapshot.asOf > m_next)
        return;
    const auto after = std::lower_bound(m_accepted.begin(), m_accepted.end(), snapshot.asOf);
    const LogOffset expected = after == m_accepted.begin() ? m_versionAtStart : *(after - 1);
    if (expected != snapshot.version.version)
        ++m_divergences;
}

std::optional<ConfigSnapshot> Acceptance::state() const
{
    if (!m_isKnown)
        return std::nullopt;
    return ConfigSnapshot{m_version, std::max(m_next, m_decidedFrom)};
}

} // namespace currantwalk
