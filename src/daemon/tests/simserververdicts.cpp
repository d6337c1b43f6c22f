#include <algorithm>
#include <limits>

#include "daemon/tests/simserver.h"

namespace currantwalk {

std::size_t SimServer::mostInAColdSecond(Duration notice) const
{
    std::size_t most = 0;
    for (const auto &[from, until] : m_coldTimes) {
        std::vector<TimePoint> times;
        for (const SimArrival &each : m_arrivals) {
            if (each.when >= from + notice && each.when <= until && !each.isCopyCall)
                times.push_back(each.when);
        }
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > std::chrono::seconds(1))
                ++first;
            most = std::max(most, last - first + 1);
        }
    }
    return most;
}

// A limit that was lowered counts once the nodes have had time to notice.
double SimServer::allowedArrivals(TimePoint from, TimePoint until) const
{
    constexpr double Tolerance = 1.5;
    constexpr double ToleratedArrivals = 5;
    double highest = 0;
    for (std::size_t i = 0; i < m_limits.size(); ++i) {
        const bool hasEnded = i + 1 < m_limits.size() && m_limits[i + 1].when + LimitNotice <= from;
        if (hasEnded || m_limits[i].when > until)
            continue;
        highest = std::max(highest,
                           m_limits[i].limit.value_or(std::numeric_limits<double>::infinity()));
    }
    const double seconds = std::chrono::duration<double>(until - from).count();
    return Tolerance * highest * seconds + ToleratedArrivals;
}

double SimServer::arrivalsBeyondLimit(const SimExcuse &isExcused) const
{
    constexpr Duration Window = std::chrono::seconds(4);
    constexpr Duration TellingTime = std::chrono::milliseconds(500);
    // Of each start, from when on each node is bound.
    std::map<std::uint64_t, TimePoint> firstNamedAt;
    std::map<std::pair<std::uint64_t, std::string>, TimePoint> toldAt;
    for (const SimArrival &each : m_arrivals) {
        if (!each.toldLimitAt)
            continue;
        firstNamedAt.try_emplace(each.start, *each.toldLimitAt);
        TimePoint &told =
                toldAt.try_emplace({each.start, each.host}, *each.toldLimitAt).first->second;
        told = std::min(told, *each.toldLimitAt);
    }
    std::vector<const SimArrival *> counted;
    for (const SimArrival &each : m_arrivals) {
        const auto told = toldAt.find({each.start, each.host});
        const bool isBound = told != toldAt.end() && told->second + TellingTime <= each.when
                             && firstNamedAt.at(each.start) + LimitNotice <= each.when;
        if (isBound && !(isExcused && isExcused(each.host, each.when, each.when)))
            counted.push_back(&each);
    }
    double worst = 0;
    for (std::size_t first = 0, last = 0; last < counted.size(); ++last) {
        while (counted[first]->when + Window < counted[last]->when
               || counted[first]->start != counted[last]->start)
            ++first;
        const TimePoint from = counted[last]->when - Window;
        const double arrived = static_cast<double>(last - first + 1);
        worst = std::max(worst, arrived - allowedArrivals(from, counted[last]->when));
    }
    return worst;
}

std::size_t SimServer::arrivalsWhileHeldOff(Duration slack, const SimExcuse &isExcused) const
{
    std::size_t most = 0;
    for (const SimArrival &turned : m_arrivals) {
        if (!turned.heldOffUntil || turned.when + slack >= *turned.heldOffUntil)
            continue;
        const auto count =
                std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const SimArrival &arrival) {
                    return !arrival.isStopCall && arrival.host == turned.host
                           && arrival.start == turned.start && arrival.when > turned.when + slack
                           && arrival.when < *turned.heldOffUntil
                           && !(isExcused && isExcused(arrival.host, turned.when, arrival.when));
                });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

std::size_t SimServer::arrivalsAfterLeaving(Duration slack, const SimExcuse &isExcused) const
{
    return static_cast<std::size_t>(
            std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const SimArrival &arrival) {
                return !arrival.isCopyCall
                       && std::any_of(
                               m_arrivals.begin(), m_arrivals.end(), [&](const SimArrival &told) {
                                   return told.toldLeavingAt && told.host == arrival.host
                                          && told.start == arrival.start
                                          && arrival.when > *told.toldLeavingAt + slack
                                          && !(isExcused
                                               && isExcused(arrival.host, told.when, arrival.when));
                               });
            }));
}

std::size_t SimServer::arrivalsAfterRemoval(Duration slack, const SimExcuse &isExcused) const
{
    return static_cast<std::size_t>(
            std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const SimArrival &arrival) {
                const auto removal = m_removals.find(arrival.start);
                return !arrival.isCopyCall && !arrival.isDropCall && removal != m_removals.end()
                       && arrival.when > removal->second + slack
                       && !(isExcused && isExcused(arrival.host, removal->second, arrival.when));
            }));
}

} // namespace currantwalk
