#include "membership/probes.h"

namespace currantwalk {

// Keeps messages short. No probe is in flight long enough for its number to be reused.
constexpr std::uint32_t MaxNumber = 9999;

std::uint32_t Probes::nextNumber()
{
    m_lastNumber = m_lastNumber % MaxNumber + 1;
    return m_lastNumber;
}

std::uint32_t Probes::begin(const Probe &probe)
{
    const std::uint32_t number = nextNumber();
    m_probes[number] = probe;
    return number;
}

std::uint32_t Probes::relay(const RelayedProbe &relayed)
{
    const std::uint32_t number = nextNumber();
    m_relayed[number] = relayed;
    return number;
}

const Probe *Probes::find(std::uint32_t number) const
{
    const auto it = m_probes.find(number);
    return it == m_probes.end() ? nullptr : &it->second;
}

std::optional<Probe> Probes::finish(std::uint32_t number)
{
    const auto node = m_probes.extract(number);
    if (node.empty())
        return std::nullopt;
    return node.mapped();
}

std::optional<RelayedProbe> Probes::finishRelayed(std::uint32_t number)
{
    const auto node = m_relayed.extract(number);
    if (node.empty())
        return std::nullopt;
    return node.mapped();
}

void Probes::removeRelayedBefore(TimePoint time)
{
    std::erase_if(m_relayed, [time](const auto &entry) { return entry.second.startedAt < time; });
}

} // namespace currantwalk
