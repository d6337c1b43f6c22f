#include "daemon/tests/promptpartload.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace currantwalk {

using namespace std::chrono_literals;

// From the users' rules.
static constexpr Duration Window = 3s;
static constexpr std::size_t ToleratedCrashes = 5;
static constexpr std::size_t ToleratedArrivals = 3;
static constexpr std::uint32_t LeastJudged = 20;
static constexpr double LeastShareOfBefore = 0.5;
// Of the first parts and of the second parts under each of them.
static constexpr std::size_t FirstParts = 44;
static constexpr double MostPopularShare = 0.26;
static constexpr double NextPopularShare = 0.19;
static constexpr std::size_t SecondParts = 3;
static constexpr double OwnSecondPartShare = 0.4;
static constexpr Duration RepeatDelay = 300ms;

PromptPartLoad::PromptPartLoad(EntryFleet &fleet, Options options, Excuses excuses)
    : m_fleet(fleet),
      m_options(std::move(options)),
      m_excuses(std::move(excuses)),
      m_random(fleet.random.next64())
{
    m_fleet.poisonParts[m_options.poison] = m_options.crashShare;
}

void PromptPartLoad::start()
{
    m_startedAt = m_fleet.timers.now();
    sendSound();
    m_fleet.timers.scheduleAfter(m_options.calmTime, [this] { sendPoison(); });
}

std::string PromptPartLoad::popularFirstPart()
{
    const double draw = m_random.uniform();
    if (draw < MostPopularShare)
        return "f0";
    if (draw < MostPopularShare + NextPopularShare)
        return "f1";
    return "f" + std::to_string(2 + m_random.uniformBelow(FirstParts - 2));
}

std::string PromptPartLoad::secondPart(const std::string &first)
{
    const std::uint64_t number =
            m_random.chance(OwnSecondPartShare) ? m_requests : m_random.uniformBelow(SecondParts);
    return first + "s" + std::to_string(number);
}

void PromptPartLoad::send(const std::string &parts, bool isSound, bool isAlike)
{
    const std::string number = std::to_string(++m_requests);
    const std::size_t node = m_fleet.randomReadyNode();
    const HttpRequest request{"POST",
                              m_options.path,
                              {{PartsHeader, parts + "," + m_options.poison + number}},
                              m_options.poison + " body " + number};
    if (!isSound) {
        m_fleet.request(node, request, m_poison, nullptr);
        if (m_random.chance(m_options.repeatShare))
            m_fleet.timers.scheduleAfter(RepeatDelay, [this, request] {
                m_fleet.request(m_fleet.randomReadyNode(), request, m_poison, nullptr);
            });
        return;
    }
    m_sound.push_back({m_fleet.timers.now(), m_fleet.addressOf(node), isAlike, false});
    m_fleet.request(node, request, m_fleet.innocents,
                    [this, index = m_sound.size() - 1](bool hasBegun) {
                        m_sound[index].hasBegun = hasBegun;
                    });
}

void PromptPartLoad::sendSound()
{
    if (m_fleet.timers.now() >= m_startedAt + duration())
        return;
    const std::string first = popularFirstPart();
    const bool isAlike = m_options.place == Place::First || first == "f0";
    send(first + "," + secondPart(first), true, isAlike);
    m_fleet.timers.scheduleAfter(m_options.soundGap / 2 + m_random.jitter(m_options.soundGap),
                                 [this] { sendSound(); });
}

void PromptPartLoad::sendPoison()
{
    if (m_fleet.timers.now() >= m_startedAt + duration())
        return;
    const bool isFirst = m_options.place == Place::First;
    send(isFirst ? m_options.poison + "," + secondPart(popularFirstPart())
                 : "f0," + m_options.poison,
         false, false);
    m_fleet.timers.scheduleAfter(m_options.poisonGap / 2 + m_random.jitter(m_options.poisonGap),
                                 [this] { sendPoison(); });
}

PromptPartLoad::Begun PromptPartLoad::count(TimePoint from, TimePoint until, bool isAlikeOnly) const
{
    Begun begun;
    for (const SoundRequest &request : m_sound) {
        const bool isInTime = request.sentAt >= from && request.sentAt < until;
        const bool isMeant = !isAlikeOnly || request.isAlike;
        const bool isExcused =
                m_excuses.isJudged && !m_excuses.isJudged(request.host, request.sentAt);
        if (!isInTime || !isMeant || isExcused)
            continue;
        ++begun.sent;
        begun.begun += request.hasBegun ? 1 : 0;
    }
    return begun;
}

static std::string compare(const char *name, const PromptPartLoad::Begun &before,
                           const PromptPartLoad::Begun &after)
{
    const bool isJudged = before.sent >= LeastJudged && after.sent >= LeastJudged;
    if (!isJudged || after.share() >= LeastShareOfBefore * before.share())
        return "";
    return std::to_string(after.begun) + " of " + std::to_string(after.sent) + " sound requests "
           + name + " began, " + std::to_string(before.begun) + " of " + std::to_string(before.sent)
           + " before; ";
}

PromptPartLoad::Verdict PromptPartLoad::judge() const
{
    Verdict verdict;
    const auto log = m_fleet.poisonLogs.find(m_options.poison);
    if (log == m_fleet.poisonLogs.end())
        return verdict;
    const std::vector<TimePoint> &crashes = log->second.crashes;
    verdict.crashes = crashes.size();
    if (crashes.empty())
        return verdict;
    const TimePoint boundedFrom = crashes[std::min(crashes.size(), ToleratedCrashes) - 1];
    if (crashes.size() >= ToleratedCrashes)
        verdict.lateArrivals = static_cast<std::size_t>(
                std::count_if(log->second.arrivals.begin(), log->second.arrivals.end(),
                              [&](const SimArrival &arrival) {
                                  return arrival.when > boundedFrom + Window
                                         && (!m_excuses.isInTouch
                                             || m_excuses.isInTouch(arrival.host, arrival.when));
                              }));
    const TimePoint poisonedAt = m_startedAt + m_options.calmTime;
    const TimePoint end = m_startedAt + duration();
    verdict.before = count(m_startedAt, poisonedAt, false);
    verdict.alikeBefore = count(m_startedAt, poisonedAt, true);
    verdict.after = count(boundedFrom + 2 * Window, end, false);
    verdict.alikeAfter = count(boundedFrom + 2 * Window, end, true);
    if (verdict.lateArrivals > ToleratedArrivals)
        verdict.violation += "requests with part " + m_options.poison + " reached servers "
                             + std::to_string(verdict.lateArrivals)
                             + " times after they should have been refused, "
                             + std::to_string(verdict.crashes) + " crashes; ";
    verdict.violation += compare("of the route", verdict.before, verdict.after);
    verdict.violation += compare("with the first part", verdict.alikeBefore, verdict.alikeAfter);
    return verdict;
}

} // namespace currantwalk
