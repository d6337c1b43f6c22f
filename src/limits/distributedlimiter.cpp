#include "limits/distributedlimiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace currantwalk {

constexpr int TicksPerInterval = 5;
constexpr Duration UrgentZoneReportInterval = std::chrono::milliseconds(200);
/// Fraction of the zone's token rate that repays debt even if all of the rate is granted.
constexpr double MinRepaymentFraction = 0.05;

// Like std::erase_if, but passes mutable items: the predicates update the state of the items.
template<typename Map, typename Predicate>
static void eraseWhere(Map &map, Predicate predicate)
{
    for (auto it = map.begin(); it != map.end();)
        it = predicate(*it) ? map.erase(it) : std::next(it);
}

std::unique_ptr<Limiter> createLimiter(const LimiterOptions &options, LimiterHooks hooks,
                                       TimerService &timers)
{
    return std::make_unique<DistributedLimiter>(options, std::move(hooks), timers);
}

DistributedLimiter::DistributedLimiter(const LimiterOptions &options, LimiterHooks hooks,
                                       TimerService &timers)
    : m_options(options),
      m_hooks(std::move(hooks)),
      m_timers(timers),
      m_ownership(options.self, options.zone, options.zoneGrantLifetime * 2, timers.now()),
      m_reportBudget(timers.now())
{
    m_reportBudget.setRate(static_cast<double>(options.reportsPerSecond), timers.now());
    tick();
}

DistributedLimiter::~DistributedLimiter()
{
    m_timers.cancel(m_timer);
}

void DistributedLimiter::tick()
{
    const TimePoint now = m_timers.now();
    m_ownership.update(m_hooks.members(), now);
    for (auto &[limit, account] : m_accounts) {
        account.setGuaranteedShare(guaranteedNodeShare(limit), nodeEvenShare(limit), now);
        if (account.isReportDue(m_options.reportInterval, now) || account.isReportUrgent(now))
            report(limit, account);
    }
    for (auto &[limit, zone] : m_zoneShares) {
        if (now - zone.reportedAt >= m_options.reportInterval)
            reportToCoordinator(limit, zone);
    }
    evict(now);
    m_timer =
            m_timers.scheduleAfter(m_options.reportInterval / TicksPerInterval, [this] { tick(); });
}

void DistributedLimiter::evict(TimePoint now)
{
    eraseWhere(m_accounts,
               [&](auto &item) { return item.second.isIdle(m_options.idleEviction, now); });
    eraseWhere(m_zoneShares, [&](auto &item) {
        repayDebt(item.first, item.second, zoneCapacity(item.first, item.second));
        return item.second.tokenDebt <= 0 && item.second.nodes.isEmpty(now)
               && now - item.second.lastNodeReportAt >= m_options.idleEviction;
    });
    std::erase_if(m_zoneAllocators, [&](const auto &item) { return item.second.isEmpty(now); });
}

static std::string serviceKey(const std::string &service)
{
    return "s:" + service;
}

static std::string organisationKey(const std::string &organisation)
{
    return "o:" + organisation;
}

void DistributedLimiter::applyObjects(const ObjectSet &objects)
{
    m_totals.clear();
    m_configuredZones = objects.zones.size();
    const auto add = [&](const std::string &key, const std::string &limit) {
        const auto it = objects.limits.find(limit);
        if (it != objects.limits.end())
            m_totals[key] = limitShare(it->second);
    };
    for (const auto &[name, organisation] : objects.organisations)
        add(organisationKey(name), organisation.limit);
    for (const auto &[name, service] : objects.services)
        add(serviceKey(name), service.limit);
    eraseWhere(m_accounts, [&](auto &item) {
        return m_totals.count(item.first) == 0 && item.second.isIdle(Duration(0), m_timers.now());
    });
    for (auto &[limit, account] : m_accounts)
        account.setTotal(totalOf(limit));
}

std::vector<std::string> DistributedLimiter::applicableLimits(const std::string &organisation,
                                                              const std::string &service) const
{
    std::vector<std::string> limits;
    for (std::string &key : std::vector{organisationKey(organisation), serviceKey(service)}) {
        if (m_totals.count(key) > 0)
            limits.push_back(std::move(key));
    }
    return limits;
}

LimitAccount &DistributedLimiter::account(const std::string &limit)
{
    const auto it = m_accounts.find(limit);
    if (it != m_accounts.end())
        return it->second;
    LimitAccount &account =
            m_accounts.try_emplace(limit, totalOf(limit), m_timers.now()).first->second;
    account.setGuaranteedShare(guaranteedNodeShare(limit), nodeEvenShare(limit), m_timers.now());
    return account;
}

AdmissionResult DistributedLimiter::admit(const std::string &organisation,
                                          const std::string &service, bool isStream)
{
    const TimePoint now = m_timers.now();
    std::vector<std::string> limits = applicableLimits(organisation, service);
    AdmissionResult verdict;
    verdict.isAdmitted = true;
    for (const std::string &limit : limits) {
        LimitAccount &known = account(limit);
        if (known.canAdmit(isStream, now))
            continue;
        verdict.isAdmitted = false;
        verdict.retryAfter = std::max(verdict.retryAfter, known.onRejected(isStream, now));
        if (known.isReportUrgent(now))
            report(limit, known);
    }
    if (!verdict.isAdmitted)
        return verdict;
    for (const std::string &limit : limits)
        account(limit).onAdmitted(isStream, now);
    verdict.grant.id = ++m_lastAdmissionId;
    m_admissions[verdict.grant.id] = {std::move(limits), isStream, now};
    return verdict;
}

void DistributedLimiter::charge(AdmissionHandle grant, std::uint32_t tokens)
{
    const auto it = m_admissions.find(grant.id);
    if (it == m_admissions.end())
        return;
    for (const std::string &limit : it->second.limits) {
        if (m_totals.count(limit) > 0)
            account(limit).charge(tokens, m_timers.now());
    }
}

void DistributedLimiter::release(AdmissionHandle grant)
{
    const auto node = m_admissions.extract(grant.id);
    if (node.empty() || !node.mapped().isStream)
        return;
    for (const std::string &limit : node.mapped().limits) {
        const auto it = m_accounts.find(limit);
        if (it != m_accounts.end())
            it->second.endStream(m_timers.now() - node.mapped().startedAt, m_timers.now());
    }
}

ShareMessage DistributedLimiter::makeMessage(ShareMessageKind kind) const
{
    ShareMessage message;
    message.kind = kind;
    message.from = m_options.self;
    message.zone = m_options.zone;
    return message;
}

// Messages to this node itself bypass the network.
void DistributedLimiter::deliver(const VmId &to, const ShareMessage &message)
{
    if (to == m_options.self)
        handle(message);
    else
        m_hooks.send(to, writeShareMessage(message));
}

void DistributedLimiter::report(const std::string &limit, LimitAccount &account)
{
    const TimePoint now = m_timers.now();
    const std::optional<VmId> owner = m_ownership.zoneOwner(limit);
    if (!owner)
        return;
    const bool isRemote = *owner != m_options.self;
    if (isRemote && m_reportBudget.balance(now) < 1)
        return;
    if (isRemote)
        m_reportBudget.add(-1, now);
    ShareMessage message = makeMessage(ShareMessageKind::NodeReport);
    message.reports.push_back(account.report(limit, now));
    deliver(*owner, message);
}

void DistributedLimiter::reportToCoordinator(const std::string &limit, ZoneShare &zone)
{
    const TimePoint now = m_timers.now();
    const Share demand = zone.nodes.demand(now);
    const Share guaranteed = guaranteedZoneShare(limit);
    const bool isSufficient = demand.requests <= guaranteed.requests
                              && demand.tokens <= guaranteed.tokens
                              && demand.streams <= guaranteed.streams && zone.tokenDebt <= 0;
    const std::optional<VmId> coordinator = m_ownership.coordinator(limit);
    if (isSufficient || !coordinator)
        return;
    const bool hasCoordinatorGrant = now < zone.coordinatorGrantExpiresAt;
    const Share granted = zone.nodes.granted(now);
    ShareReport row;
    row.limit = limit;
    row.number = ++zone.number;
    row.demand = demand;
    row.demand.tokens += zone.tokenDebt;
    row.held = hasCoordinatorGrant ? zone.coordinatorGrant : Share{};
    row.held.requests = std::max(row.held.requests, granted.requests);
    row.held.tokens = std::max(row.held.tokens, granted.tokens);
    row.held.streams = std::max(row.held.streams, granted.streams);
    row.streamsInUse = zone.nodes.streamsInUse(now);
    zone.reportedAt = now;
    ShareMessage message = makeMessage(ShareMessageKind::ZoneReport);
    message.reports.push_back(std::move(row));
    deliver(*coordinator, message);
}

absl::Status DistributedLimiter::onMessage(const Json::Value &json)
{
    const absl::StatusOr<ShareMessage> message = readShareMessage(json);
    if (!message.ok())
        return message.status();
    handle(*message);
    return absl::OkStatus();
}

void DistributedLimiter::handle(const ShareMessage &message)
{
    for (const ShareReport &report : message.reports) {
        // A node that has not yet applied the configuration with this limit cannot divide it.
        if (m_totals.count(report.limit) == 0)
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

void DistributedLimiter::repayDebt(const std::string &limit, ZoneShare &zone, const Share &capacity)
{
    const TimePoint now = m_timers.now();
    const double seconds = std::chrono::duration<double>(now - zone.debtUpdatedAt).count();
    zone.debtUpdatedAt = now;
    if (zone.tokenDebt <= 0 || totalOf(limit).tokens <= 0) {
        zone.tokenDebt = 0;
        return;
    }
    const double spare = capacity.tokens - zone.nodes.granted(now).tokens;
    const double rate = std::max(MinRepaymentFraction * capacity.tokens, spare);
    zone.tokenDebt = std::max(0.0, zone.tokenDebt - rate * seconds);
}

void DistributedLimiter::onNodeReport(const ShareMessage &message, const ShareReport &report)
{
    const TimePoint now = m_timers.now();
    const bool isNew = m_zoneShares.count(report.limit) == 0;
    ZoneShare &zone = m_zoneShares.try_emplace(report.limit, now).first->second;
    const Share capacity = zoneCapacity(report.limit, zone);
    const bool hasCoordinatorGrant = now < zone.coordinatorGrantExpiresAt;
    ShareAllocator::Terms terms;
    terms.capacity = capacity;
    terms.guaranteed = guaranteedNodeShare(report.limit);
    terms.holders = m_ownership.nodesInZone();
    terms.isStableOwner = m_ownership.isStableZoneOwner(report.limit, m_options.grantLifetime, now);
    terms.lifetime = hasCoordinatorGrant ? std::min(m_options.grantLifetime,
                                                    zone.coordinatorGrantExpiresAt - now)
                                         : m_options.grantLifetime;
    if (isNew && terms.isStableOwner)
        zone.credit.add(1, now);
    zone.lastNodeReportAt = now;
    repayDebt(report.limit, zone, capacity);
    if (zone.tokenDebt + report.tokenDebt > 0)
        terms.capacity.tokens = 0;
    ShareAllocator::Request request{report.number, report.demand, report.held, report.streamsInUse};
    const std::optional<Share> share = zone.nodes.grant(message.from.text(), request, terms, now);
    if (!share)
        return;
    zone.tokenDebt += report.tokenDebt;
    const Share granted = zone.nodes.granted(now);
    const double reserve = terms.guaranteed.requests * static_cast<double>(terms.holders);
    zone.credit.setRate(std::max(0.0, capacity.requests - reserve - granted.requests), now);
    ShareGrant grant;
    grant.limit = report.limit;
    grant.number = report.number;
    grant.share = *share;
    grant.lifetime = terms.lifetime;
    grant.assumedDebt = report.tokenDebt;
    grant.credit = std::floor(std::clamp(zone.credit.balance(now), 0.0, report.rejectedRequests));
    zone.credit.add(-grant.credit, now);
    if (zone.tokenDebt > 0 && capacity.tokens > 0)
        grant.tokenDelay = std::chrono::ceil<Duration>(
                std::chrono::duration<double>(std::min(60.0, zone.tokenDebt / capacity.tokens)));
    ShareMessage answer = makeMessage(ShareMessageKind::NodeGrant);
    answer.grants.push_back(std::move(grant));
    deliver(message.from, answer);
    if (report.rejectedRequests > 0 && now - zone.reportedAt >= UrgentZoneReportInterval)
        reportToCoordinator(report.limit, zone);
}

// When the owner in a zone is replaced, the grant of its predecessor stays in force until it
// expires. Requesters are therefore identified by zone and owner.
void DistributedLimiter::onZoneReport(const ShareMessage &message, const ShareReport &report)
{
    const TimePoint now = m_timers.now();
    const Share total = totalOf(report.limit);
    ShareAllocator::Terms terms;
    const std::size_t reachableZones =
            std::min(zoneCount(), m_ownership.minReachableZones(m_options.zoneGrantLifetime, now));
    terms.capacity =
            scaled(total, static_cast<double>(reachableZones) / static_cast<double>(zoneCount()));
    terms.guaranteed = guaranteedZoneShare(report.limit);
    terms.holders = reachableZones;
    terms.isStableOwner =
            m_ownership.isStableCoordinator(report.limit, m_options.zoneGrantLifetime, now);
    terms.lifetime = m_options.zoneGrantLifetime;
    ShareAllocator::Request request{report.number, report.demand, report.held, report.streamsInUse};
    const std::string requester = message.zone + "/" + message.from.text();
    const std::optional<Share> share =
            m_zoneAllocators[report.limit].grant(requester, request, terms, now);
    if (!share)
        return;
    ShareGrant grant;
    grant.limit = report.limit;
    grant.number = report.number;
    grant.share = *share;
    grant.lifetime = terms.lifetime;
    ShareMessage answer = makeMessage(ShareMessageKind::ZoneGrant);
    answer.grants.push_back(std::move(grant));
    deliver(message.from, answer);
}

void DistributedLimiter::onZoneGrant(const ShareGrant &grant)
{
    const auto it = m_zoneShares.find(grant.limit);
    if (it == m_zoneShares.end() || it->second.number != grant.number)
        return;
    const TimePoint until = it->second.reportedAt + grant.lifetime;
    if (until <= m_timers.now())
        return;
    it->second.coordinatorGrant = grant.share;
    it->second.coordinatorGrantExpiresAt = until;
}

Share DistributedLimiter::totalOf(const std::string &limit) const
{
    const auto it = m_totals.find(limit);
    return it == m_totals.end() ? Share{} : it->second;
}

std::size_t DistributedLimiter::zoneCount() const
{
    return std::max<std::size_t>(1, m_configuredZones);
}

// Guarantees at least one stream, so that a partitioned zone can serve an organisation however many
// zones divide the limit.
Share DistributedLimiter::guaranteedZoneShare(const std::string &limit) const
{
    const Share total = totalOf(limit);
    Share share = guaranteedShare(total, zoneCount());
    if (total.streams > 0)
        share.streams = std::max(1.0, share.streams);
    return share;
}

// A node that is alone in its zone gets the zone's full guaranteed share.
Share DistributedLimiter::guaranteedNodeShare(const std::string &limit) const
{
    if (m_ownership.nodesInZone() <= 1)
        return guaranteedZoneShare(limit);
    return guaranteedShare(guaranteedZoneShare(limit), m_ownership.nodesInZone());
}

Share DistributedLimiter::nodeEvenShare(const std::string &limit) const
{
    constexpr double Slack = 0.9; // Allows for the delay with which grants follow demand.
    const auto holders = static_cast<double>(zoneCount() * m_ownership.nodesInZone());
    return scaled(totalOf(limit), Slack / holders);
}

Share DistributedLimiter::zoneCapacity(const std::string &limit, const ZoneShare &zone) const
{
    return m_timers.now() < zone.coordinatorGrantExpiresAt ? zone.coordinatorGrant
                                                           : guaranteedZoneShare(limit);
}

std::size_t DistributedLimiter::activeLimitCount() const
{
    std::size_t count = m_accounts.size();
    for (const auto &[limit, zone] : m_zoneShares)
        count += m_accounts.count(limit) == 0 ? 1 : 0;
    return count;
}

} // namespace currantwalk
