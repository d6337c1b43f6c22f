#include "limits/sharinglimiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace currantwalk {

constexpr int TicksPerInterval = 5;
constexpr Duration HomeRoundTrip = std::chrono::milliseconds(200);
constexpr double LeastRepayment = 0.05; ///< Of the zone's tokens a second, whatever is granted.

// std::erase_if hands its predicate constant items; the accounts here are brought up to date in it.
template<typename Map, typename Predicate>
static void eraseWhere(Map &map, Predicate predicate)
{
    for (auto it = map.begin(); it != map.end();)
        it = predicate(*it) ? map.erase(it) : std::next(it);
}

std::unique_ptr<Limiter> createLimiter(const LimiterOptions &options, LimiterHooks hooks,
                                       TimerService &timers)
{
    return std::make_unique<SharingLimiter>(options, std::move(hooks), timers);
}

SharingLimiter::SharingLimiter(const LimiterOptions &options, LimiterHooks hooks,
                               TimerService &timers)
    : m_options(options),
      m_hooks(std::move(hooks)),
      m_timers(timers),
      m_ownership(options.self, options.zone, options.zoneGrantLife * 2, timers.now()),
      m_rows(timers.now())
{
    m_rows.setRate(static_cast<double>(options.rowsPerSecond), timers.now());
    tick();
}

SharingLimiter::~SharingLimiter()
{
    m_timers.cancel(m_timer);
}

void SharingLimiter::tick()
{
    const TimePoint now = m_timers.now();
    m_ownership.update(m_hooks.members(), now);
    for (auto &[limit, account] : m_accounts) {
        account.setStanding(nodeStanding(limit), nodeEven(limit), now);
        if (account.isReportDue(m_options.reportInterval, now) || account.isReportUrgent(now))
            report(limit, account);
    }
    for (auto &[limit, zone] : m_zoneShares) {
        if (now - zone.reportedAt >= m_options.reportInterval)
            reportHome(limit, zone);
    }
    evict(now);
    m_timer = m_timers.subscribeAfter(m_options.reportInterval / TicksPerInterval,
                                      [this] { tick(); });
}

void SharingLimiter::evict(TimePoint now)
{
    eraseWhere(m_accounts,
               [&](auto &item) { return item.second.isIdle(m_options.idleEviction, now); });
    eraseWhere(m_zoneShares, [&](auto &item) {
        payDebt(item.first, item.second, zoneCapacity(item.first, item.second));
        return item.second.tokenDebt <= 0 && item.second.nodes.isEmpty(now)
               && now - item.second.touchedAt >= m_options.idleEviction;
    });
    std::erase_if(m_homes, [&](const auto &item) { return item.second.isEmpty(now); });
}

static std::string serviceKey(const std::string &service)
{
    return "s:" + service;
}

static std::string organisationKey(const std::string &organisation)
{
    return "o:" + organisation;
}

void SharingLimiter::onObjects(const ObjectSet &objects)
{
    m_wholes.clear();
    m_zonesPublished = objects.zones.size();
    const auto add = [&](const std::string &key, const std::string &limit) {
        const auto it = objects.limits.find(limit);
        if (it != objects.limits.end())
            m_wholes[key] = limitShare(it->second);
    };
    for (const auto &[name, organisation] : objects.organisations)
        add(organisationKey(name), organisation.limit);
    for (const auto &[name, service] : objects.services)
        add(serviceKey(name), service.limit);
    eraseWhere(m_accounts, [&](auto &item) {
        return m_wholes.count(item.first) == 0 && item.second.isIdle(Duration(0), m_timers.now());
    });
    for (auto &[limit, account] : m_accounts)
        account.setWhole(wholeOf(limit));
}

std::vector<std::string> SharingLimiter::limitsOf(const std::string &organisation,
                                                  const std::string &service) const
{
    std::vector<std::string> limits;
    for (std::string &key : std::vector{organisationKey(organisation), serviceKey(service)}) {
        if (m_wholes.count(key) > 0)
            limits.push_back(std::move(key));
    }
    return limits;
}

LimitAccount &SharingLimiter::account(const std::string &limit)
{
    const auto it = m_accounts.find(limit);
    if (it != m_accounts.end())
        return it->second;
    LimitAccount &account =
            m_accounts.try_emplace(limit, wholeOf(limit), m_timers.now()).first->second;
    account.setStanding(nodeStanding(limit), nodeEven(limit), m_timers.now());
    return account;
}

LimitVerdict SharingLimiter::admit(const std::string &organisation, const std::string &service,
                                   bool isStream)
{
    const TimePoint now = m_timers.now();
    std::vector<std::string> limits = limitsOf(organisation, service);
    LimitVerdict verdict;
    verdict.isAdmitted = true;
    for (const std::string &limit : limits) {
        LimitAccount &known = account(limit);
        if (known.allows(isStream, now))
            continue;
        verdict.isAdmitted = false;
        verdict.retryAfter = std::max(verdict.retryAfter, known.refuse(isStream, now));
        if (known.isReportUrgent(now))
            report(limit, known);
    }
    if (!verdict.isAdmitted)
        return verdict;
    for (const std::string &limit : limits)
        account(limit).take(isStream, now);
    verdict.grant.id = ++m_lastGrant;
    m_admissions[verdict.grant.id] = {std::move(limits), isStream, now};
    return verdict;
}

void SharingLimiter::charge(LimitGrant grant, std::uint32_t tokens)
{
    const auto it = m_admissions.find(grant.id);
    if (it == m_admissions.end())
        return;
    for (const std::string &limit : it->second.limits) {
        if (m_wholes.count(limit) > 0)
            account(limit).charge(tokens, m_timers.now());
    }
}

void SharingLimiter::release(LimitGrant grant)
{
    const auto node = m_admissions.extract(grant.id);
    if (node.empty() || !node.mapped().isStream)
        return;
    for (const std::string &limit : node.mapped().limits) {
        const auto it = m_accounts.find(limit);
        if (it != m_accounts.end())
            it->second.endStream(m_timers.now() - node.mapped().since, m_timers.now());
    }
}

ShareMessage SharingLimiter::makeMessage(ShareMessageKind kind) const
{
    ShareMessage message;
    message.kind = kind;
    message.from = m_options.self;
    message.zone = m_options.zone;
    return message;
}

// The owner of a limit may be this node itself; then nothing goes over the network.
void SharingLimiter::deliver(const VmId &to, const ShareMessage &message)
{
    if (to == m_options.self)
        handle(message);
    else
        m_hooks.send(to, writeShareMessage(message));
}

void SharingLimiter::report(const std::string &limit, LimitAccount &account)
{
    const TimePoint now = m_timers.now();
    const std::optional<VmId> owner = m_ownership.zoneOwner(limit);
    if (!owner)
        return;
    const bool isRemote = *owner != m_options.self;
    if (isRemote && m_rows.balance(now) < 1)
        return;
    if (isRemote)
        m_rows.add(-1, now);
    ShareMessage message = makeMessage(ShareMessageKind::NodeReport);
    message.reports.push_back(account.report(limit, now));
    deliver(*owner, message);
}

void SharingLimiter::reportHome(const std::string &limit, ZoneShare &zone)
{
    const TimePoint now = m_timers.now();
    const Share demand = zone.nodes.demand(now);
    const Share standing = zoneStanding(limit);
    const bool isContent = demand.requests <= standing.requests && demand.tokens <= standing.tokens
                           && demand.streams <= standing.streams && zone.tokenDebt <= 0;
    const std::optional<VmId> home = m_ownership.homeOwner(limit);
    if (isContent || !home)
        return;
    const bool isHeld = now < zone.fromHomeUntil;
    const Share granted = zone.nodes.granted(now);
    ShareReport row;
    row.limit = limit;
    row.number = ++zone.number;
    row.demand = demand;
    row.demand.tokens += zone.tokenDebt;
    row.held = isHeld ? zone.fromHome : Share{};
    row.held.requests = std::max(row.held.requests, granted.requests);
    row.held.tokens = std::max(row.held.tokens, granted.tokens);
    row.held.streams = std::max(row.held.streams, granted.streams);
    row.streamsInUse = zone.nodes.streamsInUse(now);
    zone.reportedAt = now;
    ShareMessage message = makeMessage(ShareMessageKind::ZoneReport);
    message.reports.push_back(std::move(row));
    deliver(*home, message);
}

absl::Status SharingLimiter::onMessage(const Json::Value &json)
{
    const absl::StatusOr<ShareMessage> message = readShareMessage(json);
    if (!message.ok())
        return message.status();
    handle(*message);
    return absl::OkStatus();
}

void SharingLimiter::handle(const ShareMessage &message)
{
    for (const ShareReport &report : message.reports) {
        // A node that has not yet taken the version with this limit cannot share it out.
        if (m_wholes.count(report.limit) == 0)
            continue;
        if (message.kind == ShareMessageKind::NodeReport)
            onNodeReport(message, report);
        else
            onZoneReport(message, report);
    }
    for (const ShareGrant &grant : message.grants) {
        const auto it = m_accounts.find(grant.limit);
        if (message.kind == ShareMessageKind::ZoneGrant)
            onZoneGrant(grant);
        else if (it != m_accounts.end())
            it->second.onGrant(grant, m_timers.now());
    }
}

void SharingLimiter::payDebt(const std::string &limit, ZoneShare &zone, const Share &capacity)
{
    const TimePoint now = m_timers.now();
    const double seconds = std::chrono::duration<double>(now - zone.debtAt).count();
    zone.debtAt = now;
    if (zone.tokenDebt <= 0 || wholeOf(limit).tokens <= 0) {
        zone.tokenDebt = 0;
        return;
    }
    const double spare = capacity.tokens - zone.nodes.granted(now).tokens;
    const double rate = std::max(LeastRepayment * capacity.tokens, spare);
    zone.tokenDebt = std::max(0.0, zone.tokenDebt - rate * seconds);
}

void SharingLimiter::onNodeReport(const ShareMessage &message, const ShareReport &report)
{
    const TimePoint now = m_timers.now();
    const bool isNew = m_zoneShares.count(report.limit) == 0;
    ZoneShare &zone = m_zoneShares.try_emplace(report.limit, now).first->second;
    const Share capacity = zoneCapacity(report.limit, zone);
    const bool isFromHome = now < zone.fromHomeUntil;
    ShareLedger::Terms terms;
    terms.capacity = capacity;
    terms.standing = nodeStanding(report.limit);
    terms.holders = m_ownership.nodesInZone();
    terms.isSettled = m_ownership.isZoneSettled(report.limit, m_options.grantLife, now);
    terms.life = isFromHome ? std::min(m_options.grantLife, zone.fromHomeUntil - now)
                            : m_options.grantLife;
    if (isNew && terms.isSettled)
        zone.credit.add(1, now);
    zone.touchedAt = now;
    payDebt(report.limit, zone, capacity);
    if (zone.tokenDebt + report.tokenDebt > 0)
        terms.capacity.tokens = 0;
    ShareLedger::Claim claim{report.number, report.demand, report.held, report.streamsInUse};
    const std::optional<Share> share = zone.nodes.grant(message.from.text(), claim, terms, now);
    if (!share)
        return;
    zone.tokenDebt += report.tokenDebt;
    const Share granted = zone.nodes.granted(now);
    const double reserve = terms.standing.requests * static_cast<double>(terms.holders);
    zone.credit.setRate(std::max(0.0, capacity.requests - reserve - granted.requests), now);
    ShareGrant grant;
    grant.limit = report.limit;
    grant.number = report.number;
    grant.share = *share;
    grant.life = terms.life;
    grant.debtTaken = report.tokenDebt;
    grant.credit = std::floor(std::clamp(zone.credit.balance(now), 0.0, report.waiting));
    zone.credit.add(-grant.credit, now);
    if (zone.tokenDebt > 0 && capacity.tokens > 0)
        grant.tokenDelay = std::chrono::ceil<Duration>(
                std::chrono::duration<double>(std::min(60.0, zone.tokenDebt / capacity.tokens)));
    ShareMessage answer = makeMessage(ShareMessageKind::NodeGrant);
    answer.grants.push_back(std::move(grant));
    deliver(message.from, answer);
    if (report.waiting > 0 && now - zone.reportedAt >= HomeRoundTrip)
        reportHome(report.limit, zone);
}

// A zone's owner that is replaced leaves its claim behind until that lapses, so a claimant is a
// zone under one owner.
void SharingLimiter::onZoneReport(const ShareMessage &message, const ShareReport &report)
{
    const TimePoint now = m_timers.now();
    const Share whole = wholeOf(report.limit);
    ShareLedger::Terms terms;
    const std::size_t inReach =
            std::min(zoneCount(), m_ownership.leastZones(m_options.zoneGrantLife, now));
    terms.capacity = scaled(whole, static_cast<double>(inReach) / static_cast<double>(zoneCount()));
    terms.standing = zoneStanding(report.limit);
    terms.holders = inReach;
    terms.isSettled = m_ownership.isHomeSettled(report.limit, m_options.zoneGrantLife, now);
    terms.life = m_options.zoneGrantLife;
    ShareLedger::Claim claim{report.number, report.demand, report.held, report.streamsInUse};
    const std::string claimant = message.zone + "/" + message.from.text();
    const std::optional<Share> share = m_homes[report.limit].grant(claimant, claim, terms, now);
    if (!share)
        return;
    ShareGrant grant;
    grant.limit = report.limit;
    grant.number = report.number;
    grant.share = *share;
    grant.life = terms.life;
    ShareMessage answer = makeMessage(ShareMessageKind::ZoneGrant);
    answer.grants.push_back(std::move(grant));
    deliver(message.from, answer);
}

void SharingLimiter::onZoneGrant(const ShareGrant &grant)
{
    const auto it = m_zoneShares.find(grant.limit);
    if (it == m_zoneShares.end() || it->second.number != grant.number)
        return;
    const TimePoint until = it->second.reportedAt + grant.life;
    if (until <= m_timers.now())
        return;
    it->second.fromHome = grant.share;
    it->second.fromHomeUntil = until;
}

Share SharingLimiter::wholeOf(const std::string &limit) const
{
    const auto it = m_wholes.find(limit);
    return it == m_wholes.end() ? Share{} : it->second;
}

std::size_t SharingLimiter::zoneCount() const
{
    return std::max<std::size_t>(1, m_zonesPublished);
}

// A zone that is cut off serves at least one stream of an organisation, however many zones divide
// the limit.
Share SharingLimiter::zoneStanding(const std::string &limit) const
{
    const Share whole = wholeOf(limit);
    Share share = standingShare(whole, zoneCount());
    if (whole.streams > 0)
        share.streams = std::max(1.0, share.streams);
    return share;
}

Share SharingLimiter::nodeStanding(const std::string &limit) const
{
    return standingShare(zoneStanding(limit), m_ownership.nodesInZone());
}

Share SharingLimiter::nodeEven(const std::string &limit) const
{
    constexpr double Slack = 0.9; // For the time that grants take to follow the demand.
    const auto holders = static_cast<double>(zoneCount() * m_ownership.nodesInZone());
    return scaled(wholeOf(limit), Slack / holders);
}

Share SharingLimiter::zoneCapacity(const std::string &limit, const ZoneShare &zone) const
{
    return m_timers.now() < zone.fromHomeUntil ? zone.fromHome : zoneStanding(limit);
}

std::size_t SharingLimiter::activeLimits() const
{
    std::size_t count = m_accounts.size();
    for (const auto &[limit, zone] : m_zoneShares)
        count += m_accounts.count(limit) == 0 ? 1 : 0;
    return count;
}

} // namespace currantwalk
