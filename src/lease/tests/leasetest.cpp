#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "lease/leaserecord.h"
#include "lease/leases.h"
#include "lease/leasetable.h"
#include "lease/tests/nodetimers.h"
#include "log/tests/fakelog.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static const std::string Duty = "snapshots";

namespace {

using TakeoverRule = std::function<bool(Duration watched, Duration duration)>;

struct LeaseNode
{
    LeaseNode(TimerService &base, double rate, std::uint64_t seed)
        : timers(base, rate), random(seed)
    {
    }

    NodeTimers timers;
    RandomSource random;
    FakeLog::Client *client = nullptr;
    Incarnation incarnation = 0;
    LogHooks hooks;
    std::vector<Lease> taken;
    std::size_t lost = 0;
    std::optional<TimePoint> lastHeld; // By the shared clock; empty after release().
    std::unique_ptr<Leases> leases;
};

/// Several nodes with leases on one log.
class LeaseFleet
{
public:
    explicit LeaseFleet(std::uint64_t seed) : log(timers, seed) { log.recordLifetime = 10min; }

    LeaseNode &add(double rate = 1, TakeoverRule rule = {})
    {
        nodes.push_back(std::make_unique<LeaseNode>(timers, rate, nodes.size() + 1));
        LeaseNode &node = *nodes.back();
        node.client = &log.addClient();
        // Answers to a paused node are delivered when it resumes.
        node.hooks.append = [&node](const std::string &stream, std::vector<std::string> records,
                                    LogHooks::AppendCallback callback) {
            node.client->hooks.append(stream, std::move(records),
                                      [&node, callback = std::move(callback)](const auto &answer) {
                                          node.timers.deliver(
                                                  [callback, answer] { callback(answer); });
                                      });
        };
        node.hooks.read = [&node](const std::string &stream, LogOffset from, std::size_t limit,
                                  LogHooks::ReadCallback callback) {
            node.client->hooks.read(stream, from, limit,
                                    [&node, callback = std::move(callback)](const auto &answer) {
                                        node.timers.deliver(
                                                [callback, answer] { callback(answer); });
                                    });
        };
        start(node, std::move(rule));
        return node;
    }

    void start(LeaseNode &node, TakeoverRule rule = {})
    {
        Leases::Options options;
        options.vm = VmId("vm" + std::to_string(node.random.uniformBelow(1000)));
        options.incarnation = ++node.incarnation;
        Leases::Hooks leaseHooks;
        leaseHooks.log = node.hooks;
        leaseHooks.onTaken = [&node](const Lease &lease) { node.taken.push_back(lease); };
        leaseHooks.onLost = [&node](const std::string &) { ++node.lost; };
        leaseHooks.mayTakeOver = std::move(rule);
        node.leases.reset();
        node.lastHeld.reset();
        node.leases = Leases::create(options, std::move(leaseHooks), node.timers, node.random);
        node.leases->start();
    }

    std::size_t holders() const
    {
        return static_cast<std::size_t>(
                std::count_if(nodes.begin(), nodes.end(), [](const auto &node) {
                    return node->leases->heldLease(Duty).has_value();
                }));
    }

    VirtualTimerService timers;
    FakeLog log;
    std::vector<std::unique_ptr<LeaseNode>> nodes;
};

} // namespace

TEST_GROUP(LeaseTable)
{
    LeaseTable table;

    bool apply(LogOffset offset, LeaseRecordKind kind, const std::string &owner, LogOffset fence,
               LogOffset seen)
    {
        LeaseRecord record;
        record.kind = kind;
        record.owner = owner;
        record.duty = Duty;
        record.fence = fence;
        record.seen = seen;
        return table.apply(offset, record, TimePoint());
    }

    bool applyTable(LogOffset offset, LogOffset asOf, const DutyStates &duties)
    {
        LeaseRecord record;
        record.kind = LeaseRecordKind::Table;
        record.asOf = asOf;
        record.duties = duties;
        return table.apply(offset, record, TimePoint());
    }
};

TEST(LeaseTable, firstTakeWinsAndUnreadRenewalInvalidatesATake)
{
    CHECK(apply(1, LeaseRecordKind::Take, "a", 0, 0));
    CHECK(!apply(2, LeaseRecordKind::Take, "b", 0, 0));
    CHECK(apply(3, LeaseRecordKind::Renew, "a", 1, 0));
    CHECK(!apply(4, LeaseRecordKind::Take, "b", 1, 1));
    CHECK(apply(5, LeaseRecordKind::Take, "b", 1, 3));
    CHECK_EQUAL(5U, table.state(Duty).fence);
    CHECK(!apply(6, LeaseRecordKind::Renew, "a", 1, 0));
    CHECK(!apply(7, LeaseRecordKind::Release, "a", 1, 0));
    CHECK(!apply(8, LeaseRecordKind::Renew, "a", 5, 0));
    CHECK(apply(9, LeaseRecordKind::Release, "b", 5, 0));
    CHECK(!table.state(Duty).isTaken());
    CHECK(!apply(10, LeaseRecordKind::Renew, "b", 5, 0));
    CHECK(apply(11, LeaseRecordKind::Take, "a", 5, 9));
}

// Offset 50 renews a lease that was superseded at offset 49, which this reader can't read.
TEST(LeaseTable, lateReaderHasUnknownStateUntilATable)
{
    table.onGap(50);
    CHECK(!apply(50, LeaseRecordKind::Renew, "a", 7, 0));
    CHECK(!apply(51, LeaseRecordKind::Renew, "b", 49, 0));
    CHECK(!table.isKnown());
    CHECK(!applyTable(52, 49, DutyStates()));
    CHECK(!table.isKnown());
    const DutyStates duties{{Duty, DutyState{49, 49, VmId("b"), "b", false, TimePoint()}}};
    CHECK(!applyTable(53, 49, duties));
    CHECK(applyTable(54, 50, duties));
    CHECK(table.isKnown());
    CHECK_EQUAL(49U, table.state(Duty).fence);
    CHECK_EQUAL(51U, table.state(Duty).last);
}

TEST(LeaseTable, resetIsValidOnlyAfterTableRequestsAlone)
{
    CHECK(apply(1, LeaseRecordKind::Take, "a", 0, 0));
    CHECK(!apply(2, LeaseRecordKind::TableRequest, "b", 0, 0));
    CHECK(!apply(3, LeaseRecordKind::Renew, "a", 2, 0)); // Not valid, but shows a live node.
    CHECK(!apply(4, LeaseRecordKind::Reset, "b", 0, 2));
    CHECK(!apply(5, LeaseRecordKind::TableRequest, "b", 0, 0));
    CHECK(!apply(6, LeaseRecordKind::TableRequest, "c", 0, 0));
    CHECK(table.openTableRequest() == 5);
    CHECK(apply(7, LeaseRecordKind::Reset, "c", 0, 6));
    CHECK(!apply(8, LeaseRecordKind::Reset, "b", 0, 5));
    CHECK(!apply(9, LeaseRecordKind::Renew, "a", 1, 0));
    CHECK(table.duties().empty());
}

TEST(LeaseTable, resetIsIgnoredIfTheTableRequestWasNotRead)
{
    table.onGap(50);
    CHECK(!apply(50, LeaseRecordKind::Reset, "b", 0, 49));
    CHECK(!table.isKnown());
}

TEST(LeaseTable, recordsRoundTripAndMalformedOnesAreRejected)
{
    LeaseRecord record;
    record.kind = LeaseRecordKind::Table;
    record.id = "id";
    record.vm = VmId("v");
    record.asOf = 9;
    record.duties[Duty] = DutyState{3, 4, VmId("w"), "o", true, TimePoint()};
    const absl::StatusOr<LeaseRecord> read = decodeLeaseRecord(encodeLeaseRecord(record));
    CHECK(read.ok());
    CHECK(read->kind == record.kind && read->vm == record.vm && read->asOf == 9);
    CHECK(read->duties.at(Duty).isReleased && read->duties.at(Duty).last == 4);
    for (const char *text : {"", "{}", "{\"kind\":\"take\"}", "{\"kind\":\"steal\"}", "[1]"})
        CHECK(errorCode(decodeLeaseRecord(text).status()) == ErrorCode::JsonInvalid);
}

TEST_GROUP(Leases)
{
    LeaseFleet fleet{1};

    void wantAll()
    {
        for (const auto &node : fleet.nodes)
            node->leases->acquire(Duty);
    }
};

TEST(Leases, oneOfManyTakesAFreeDutyAndKeepsIt)
{
    for (int i = 0; i < 8; ++i)
        fleet.add();
    wantAll();
    fleet.timers.advance(5s);
    CHECK_EQUAL(1U, fleet.holders());
    fleet.timers.advance(5min);
    CHECK_EQUAL(1U, fleet.holders());
    std::size_t taken = 0;
    for (const auto &node : fleet.nodes) {
        taken += node->taken.size();
        CHECK_EQUAL(0U, node->lost);
    }
    CHECK_EQUAL(1U, taken);
}

TEST(Leases, droppedDutyIsTakenByAnotherNode)
{
    LeaseNode &a = fleet.add();
    a.leases->acquire(Duty);
    fleet.timers.advance(5s);
    LeaseNode &b = fleet.add();
    b.leases->acquire(Duty);
    fleet.timers.advance(5s);
    const Lease first = *a.leases->heldLease(Duty);
    a.leases->release(Duty);
    CHECK(!a.leases->heldLease(Duty));
    fleet.timers.advance(4s);
    CHECK(b.leases->heldLease(Duty).has_value());
    CHECK(b.leases->heldLease(Duty)->fence > first.fence);
    CHECK(a.leases->currentLease(Duty)->fence == b.leases->heldLease(Duty)->fence);
    CHECK_EQUAL(0U, a.lost);
}

// The release may still be in flight when the node requests the duty again.
TEST(Leases, droppedFenceIsNeverHeldAgain)
{
    LeaseNode &a = fleet.add();
    a.leases->acquire(Duty);
    fleet.timers.advance(5s);
    const LogOffset fence = a.leases->heldLease(Duty)->fence;
    fleet.log.faults.lateEffect = 1;
    a.leases->release(Duty);
    a.leases->acquire(Duty);
    fleet.timers.advance(1s);
    fleet.log.faults.lateEffect = 0;
    for (int i = 0; i < 300; ++i) {
        fleet.timers.advance(100ms);
        CHECK(!a.leases->heldLease(Duty) || a.leases->heldLease(Duty)->fence > fence);
    }
    CHECK(a.leases->heldLease(Duty).has_value());
}

TEST(Leases, pausedHolderSeesItsLeaseExpired)
{
    LeaseNode &a = fleet.add();
    a.leases->acquire(Duty);
    fleet.timers.advance(5s);
    LeaseNode &b = fleet.add();
    b.leases->acquire(Duty);
    fleet.timers.advance(3s);
    a.timers.pause();
    fleet.timers.advance(30s);
    CHECK(b.leases->heldLease(Duty).has_value());
    // The lease must already be reported as expired when the node resumes.
    CHECK(!a.leases->heldLease(Duty));
    a.timers.resume();
    fleet.timers.advance(5s);
    CHECK_EQUAL(1U, a.lost);
    CHECK(b.leases->heldLease(Duty).has_value());
    CHECK_EQUAL(1U, fleet.holders());
}

TEST(Leases, disconnectedHolderLosesTheLeaseAndOutageEndsIt)
{
    LeaseNode &a = fleet.add();
    a.leases->acquire(Duty);
    fleet.timers.advance(5s);
    LeaseNode &b = fleet.add();
    b.leases->acquire(Duty);
    fleet.timers.advance(3s);
    a.client->isDisconnected = true;
    fleet.timers.advance(30s);
    CHECK(!a.leases->heldLease(Duty));
    CHECK(b.leases->heldLease(Duty).has_value());
    a.client->isDisconnected = false;
    fleet.log.faults.isUnavailable = true;
    fleet.timers.advance(60s);
    CHECK_EQUAL(0U, fleet.holders());
    fleet.log.faults.isUnavailable = false;
    fleet.timers.advance(30s);
    CHECK_EQUAL(1U, fleet.holders());
}

TEST(Leases, lostAnswersDoNotLoseTheLease)
{
    LeaseNode &a = fleet.add();
    fleet.log.faults.loseAfterEffect = 1;
    a.leases->acquire(Duty);
    fleet.timers.advance(5min);
    CHECK(a.leases->heldLease(Duty).has_value());
    CHECK_EQUAL(1U, a.taken.size());
}

TEST(Leases, restartedNodeWaitsForItsOldLeaseToExpire)
{
    LeaseNode &a = fleet.add();
    a.leases->acquire(Duty);
    fleet.timers.advance(5s);
    fleet.start(a);
    a.leases->acquire(Duty);
    fleet.timers.advance(5s);
    CHECK(!a.leases->heldLease(Duty));
    fleet.timers.advance(20s);
    CHECK(a.leases->heldLease(Duty).has_value());
}

TEST(Leases, expiryDoesNotCauseAThunderingHerd)
{
    constexpr std::size_t NodeCount = 60;
    for (std::size_t i = 0; i < NodeCount; ++i)
        fleet.add();
    fleet.nodes[0]->leases->acquire(Duty);
    fleet.timers.advance(5s);
    wantAll();
    fleet.timers.advance(10s);
    fleet.nodes[0]->timers.pause();
    const std::size_t before = fleet.log.appendCount;
    fleet.timers.advance(40s);
    CHECK_EQUAL(1U, fleet.holders());
    // Even counting the new holder's renewals, most candidates must not have sent any record.
    CHECK(fleet.log.appendCount - before < NodeCount / 2);
}

TEST(Leases, nodeStartedAfterRecordExpiryTakesOverTheDuty)
{
    LeaseNode &a = fleet.add();
    a.leases->acquire(Duty);
    fleet.timers.advance(5s);
    a.leases.reset();
    fleet.nodes.clear();
    fleet.timers.advance(30min);
    fleet.log.put("leases", "nonsense");
    LeaseNode &b = fleet.add();
    b.leases->acquire(Duty);
    fleet.timers.advance(8s);
    CHECK(!b.leases->heldLease(Duty));
    fleet.timers.advance(20s);
    CHECK(b.leases->heldLease(Duty).has_value());
}

namespace {

struct LeaseSummary
{
    /// A node held the lease while another's actions could still take effect.
    std::size_t overlaps = 0;
    std::size_t changes = 0;          ///< Changes of holder.
    std::size_t fenceRegressions = 0; ///< New holders with a lower fencing number.
    std::size_t heldSteps = 0;
    std::size_t steps = 0;
    std::size_t holdersAtEnd = 0;
};

/// Runs nodes whose clock rates deviate by up to 2%, under random pauses, disconnections, drops,
/// restarts and lost answers.
class RandomLeaseRun
{
public:
    RandomLeaseRun(std::uint64_t seed, TakeoverRule rule)
        : m_fleet(seed), m_random(seed), m_rule(std::move(rule))
    {
        for (std::size_t i = 0; i < NodeCount; ++i) {
            LeaseNode &node = m_fleet.add(0.98 + 0.04 * m_random.uniform(), m_rule);
            node.leases->acquire(Duty);
        }
    }

    LeaseSummary run(Duration span)
    {
        const TimePoint end = m_fleet.timers.now() + span;
        while (m_fleet.timers.now() < end) {
            step();
            m_fleet.timers.advance(m_random.jitter(200ms));
            sampleHolders();
        }
        clearFaults();
        m_summary.holdersAtEnd = m_fleet.holders();
        return m_summary;
    }

private:
    static constexpr std::size_t NodeCount = 6;
    // The clocks may differ by 4% of the lease, 0.4 s, which leaves 1.6 s of the 2 s margin.
    static constexpr Duration MaxEffectDelay = std::chrono::milliseconds(1500);

    LeaseNode &anyNode() { return *m_fleet.nodes[m_random.uniformBelow(NodeCount)]; }

    void step()
    {
        if (m_random.chance(0.02)) {
            LeaseNode &node = anyNode();
            node.timers.isPaused() ? node.timers.resume() : node.timers.pause();
        }
        if (m_random.chance(0.02)) {
            LeaseNode &node = anyNode();
            node.client->isDisconnected = !node.client->isDisconnected;
        }
        if (m_random.chance(0.01))
            drop(anyNode());
        if (m_random.chance(0.003))
            restart(anyNode());
        if (m_random.chance(0.01))
            m_fleet.log.faults.isUnavailable = m_random.chance(0.3);
        if (m_random.chance(0.02))
            drawFaults();
    }

    void drop(LeaseNode &node)
    {
        if (node.timers.isPaused())
            return;
        // The node's actions have ended, as release() requires.
        node.leases->release(Duty);
        node.lastHeld.reset();
        node.leases->acquire(Duty);
    }

    void restart(LeaseNode &node)
    {
        if (node.timers.isPaused())
            return;
        const std::optional<TimePoint> lastHeld = node.lastHeld;
        m_fleet.start(node, m_rule);
        node.lastHeld = lastHeld;
        node.leases->acquire(Duty);
    }

    void drawFaults()
    {
        FakeLog::Faults &faults = m_fleet.log.faults;
        faults.loseAfterEffect = m_random.uniform() * 0.4;
        faults.loseBeforeEffect = m_random.uniform() * 0.2;
        faults.lateEffect = m_random.uniform() * 0.3;
        faults.silentLoss = m_random.uniform();
        faults.failRead = m_random.uniform() * 0.3;
        faults.maxExtraDelay = m_random.jitter(1500ms);
    }

    void sampleHolders()
    {
        ++m_summary.steps;
        const TimePoint now = m_fleet.timers.now();
        for (std::size_t i = 0; i < NodeCount; ++i) {
            LeaseNode &node = *m_fleet.nodes[i];
            // A paused node does not check its lease and starts no actions.
            if (node.timers.isPaused())
                continue;
            const std::optional<Lease> lease = node.leases->heldLease(Duty);
            if (!lease)
                continue;
            ++m_summary.heldSteps;
            node.lastHeld = now;
            noteHolder(i, *lease);
        }
    }

    void noteHolder(std::size_t index, const Lease &lease)
    {
        const TimePoint now = m_fleet.timers.now();
        for (std::size_t other = 0; other < NodeCount; ++other) {
            const std::optional<TimePoint> lastHeld = m_fleet.nodes[other]->lastHeld;
            if (other != index && lastHeld && now - *lastHeld < MaxEffectDelay)
                ++m_summary.overlaps;
        }
        if (lease.fence == m_fence)
            return;
        m_summary.fenceRegressions += lease.fence < m_fence ? 1 : 0;
        ++m_summary.changes;
        m_fence = lease.fence;
    }

    void clearFaults()
    {
        m_fleet.log.faults = FakeLog::Faults();
        for (const auto &node : m_fleet.nodes) {
            node->client->isDisconnected = false;
            if (node->timers.isPaused())
                node->timers.resume();
        }
        m_fleet.timers.advance(60s);
    }

    LeaseFleet m_fleet;
    RandomSource m_random;
    TakeoverRule m_rule; // Empty: the default rule.
    LogOffset m_fence = 0;
    LeaseSummary m_summary;
};

} // namespace

static constexpr std::uint64_t Seeds = 30;

TEST_GROUP(LeasesRandom){};

TEST(LeasesRandom, leasesNeverOverlapWithinTheMargin)
{
    std::size_t changes = 0;
    std::size_t heldSteps = 0;
    std::size_t steps = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const LeaseSummary summary = RandomLeaseRun(seed, {}).run(1h);
        CHECK_EQUAL(0U, summary.overlaps);
        CHECK_EQUAL(0U, summary.fenceRegressions);
        CHECK_EQUAL(1U, summary.holdersAtEnd);
        changes += summary.changes;
        heldSteps += summary.heldSteps;
        steps += summary.steps;
    }
    // The runs must have exercised changes of holder and times with a holder.
    CHECK(changes > 1000);
    CHECK(heldSteps * 10 > steps);
}

// The nodes use a wrong rule that allows takeover after a quarter of the lease duration.
TEST(LeasesRandom, tooEarlyTakeoverIsDetected)
{
    const TakeoverRule rule = [](Duration watched, Duration duration) {
        return watched >= duration / 4;
    };
    std::size_t detected = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed)
        detected += RandomLeaseRun(seed, rule).run(1h).overlaps > 0 ? 1 : 0;
    // One hour of faults shows an overlap with a probability above one half, so more than half of
    // the seeds must show one.
    CHECK(2 * detected > Seeds);
}
