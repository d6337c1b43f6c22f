#include "limits/receivebudget.h"

#include <algorithm>
#include <array>
#include <map>

#include "base/enumtable.h"

namespace currantwalk {

// Part of the memory that large bodies in progress leave to others, that small ones may use beyond
// it, and that requests being received may use in any case.
static constexpr std::size_t ReserveDivisor = 8;
// Descriptors that are left to files, and the part of the others that is left to connections that
// the process opens.
static constexpr std::size_t FileDescriptors = 200;
static constexpr std::size_t OutgoingDivisor = 4;
static constexpr std::size_t LeastConnections = 16;
// Added to the age of a request, so that among new ones the size decides.
static constexpr Duration AgeOffset = std::chrono::seconds(1);

static constexpr std::array<EnumName<ReceiveLimit>, 5> LimitNames{{
        {ReceiveLimit::Memory, "memory"},
        {ReceiveLimit::Connections, "connections"},
        {ReceiveLimit::HeadTime, "head-time"},
        {ReceiveLimit::BodyTime, "body-time"},
        {ReceiveLimit::IdleTime, "idle-time"},
}};

std::string_view receiveLimitName(ReceiveLimit limit)
{
    return enumName(LimitNames, limit);
}

ReceiveBudget::Holder::Holder(ReceiveBudget &budget, const ReceiveTimes &listener, TimePoint now)
    : m_budget(budget),
      m_listener(listener),
      m_index(budget.m_holders.size()),
      m_since(now),
      m_progressAt(now)
{
    budget.m_holders.push_back(this);
    budget.count(*this, ReceivePhase::Idle, ConnectionBytes);
}

ReceiveBudget::Holder::~Holder()
{
    m_budget.count(*this, ReceivePhase::Idle, 0);
    std::vector<Holder *> &all = m_budget.m_holders;
    all[m_index] = all.back();
    all[m_index]->m_index = m_index;
    all.pop_back();
}

void ReceiveBudget::Holder::update(ReceivePhase phase, std::size_t bytes, TimePoint now)
{
    const bool isSameRequest = phase == m_phase || m_phase == ReceivePhase::Head
                               || (m_phase == ReceivePhase::Body && phase != ReceivePhase::Head);
    if (!isSameRequest || phase == ReceivePhase::Idle)
        m_since = now;
    m_progressAt = now;
    m_budget.count(*this, phase, ConnectionBytes + bytes);
}

ReceiveBudget::Charge::Charge(std::shared_ptr<ReceiveBudget> budget, std::size_t bytes)
    : m_budget(std::move(budget)), m_bytes(bytes)
{
    m_budget->m_used += m_bytes;
    m_budget->m_inProgress += m_bytes;
}

ReceiveBudget::Charge::~Charge()
{
    m_budget->m_used -= m_bytes;
    m_budget->m_inProgress -= m_bytes;
}

std::size_t ReceiveBudget::connectionsFor(std::size_t descriptors)
{
    const std::size_t sockets = descriptors - std::min(descriptors, FileDescriptors);
    return std::max(sockets - sockets / OutgoingDivisor, LeastConnections);
}

void ReceiveBudget::count(Holder &holder, ReceivePhase phase, std::size_t bytes)
{
    if (holder.m_phase == ReceivePhase::InProgress)
        m_inProgress -= holder.m_bytes;
    m_used = m_used - holder.m_bytes + bytes;
    holder.m_bytes = bytes;
    holder.m_phase = phase;
    if (phase == ReceivePhase::InProgress)
        m_inProgress += bytes;
}

// Requests in progress leave a part to those that are being received.
bool ReceiveBudget::isExceeded() const
{
    const std::size_t memory = m_options.memory;
    return m_used > memory && m_used - m_inProgress > memory / ReserveDivisor;
}

// Small bodies are what ordinary callers send: large ones in progress can't keep them out.
bool ReceiveBudget::hasRoomFor(std::size_t bytes, std::size_t copies) const
{
    if (m_options.memory == std::numeric_limits<std::size_t>::max())
        return true;
    const std::size_t reserve = m_options.memory / ReserveDivisor;
    const bool isSmall = bytes <= SmallBodyBytes;
    const std::size_t room = isSmall ? m_options.memory + reserve : m_options.memory - reserve;
    return m_inProgress <= room && bytes <= (room - m_inProgress) / copies;
}

// The bytes times the time that they have been held: at the same size the slower sender goes first,
// and a sender that adds a byte now and then gains nothing by it.
ReceiveBudget::Holder *ReceiveBudget::largestHolder(TimePoint now) const
{
    Holder *largest = nullptr;
    double most = 0;
    for (Holder *holder : m_holders) {
        if (holder->m_phase == ReceivePhase::InProgress)
            continue;
        const std::chrono::duration<double> age = now - holder->m_since + AgeOffset;
        const double cost = static_cast<double>(holder->m_bytes) * age.count();
        if (cost > most) {
            most = cost;
            largest = holder;
        }
    }
    return largest;
}

// A crowd at one listener takes no connections of the others.
ReceiveBudget::Holder *ReceiveBudget::oldestHolder() const
{
    std::map<const ReceiveTimes *, std::size_t> counts;
    const ReceiveTimes *busiest = nullptr;
    for (const Holder *holder : m_holders) {
        if (++counts[&holder->m_listener] > counts[busiest])
            busiest = &holder->m_listener;
    }
    Holder *oldest = nullptr;
    for (Holder *holder : m_holders) {
        if (&holder->m_listener != busiest || holder->m_phase == ReceivePhase::InProgress)
            continue;
        if (!oldest || holder->m_since < oldest->m_since)
            oldest = holder;
    }
    return oldest;
}

std::optional<ReceiveLimit> ReceiveBudget::passedLimit(const Holder &holder, TimePoint now)
{
    const auto hasPassed = [now](Duration limit, TimePoint since) {
        return limit > Duration::zero() && now - since >= limit;
    };
    const ReceiveTimes &times = holder.m_listener;
    switch (holder.m_phase) {
    case ReceivePhase::Idle:
        if (hasPassed(times.idle, holder.m_since))
            return ReceiveLimit::IdleTime;
        break;
    case ReceivePhase::Head:
        if (hasPassed(times.head, holder.m_since))
            return ReceiveLimit::HeadTime;
        break;
    case ReceivePhase::Body:
        if (hasPassed(times.idle, holder.m_progressAt))
            return ReceiveLimit::BodyTime;
        break;
    case ReceivePhase::InProgress:
        break;
    }
    return std::nullopt;
}

} // namespace currantwalk
