#include <string>

#include "daemon/poisonmessages.h"
#include "daemon/tests/poisonsoak.h"
#include "daemon/tests/promptpartload.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// Requests that share one part of their prompts crash each server that begins to answer one.
class PromptPartRig : public Utest
{
public:
    std::unique_ptr<EntryFleet> fleet;

    void build(std::size_t nodes, std::size_t zones, const EntryFleet::Options &other = {})
    {
        EntryFleet::Options options = other;
        options.nodes = nodes;
        options.zones = zones;
        options.generationServers = std::max<std::size_t>(14, nodes / 2);
        options.plainServers = std::max<std::size_t>(zones, 3);
        fleet = std::make_unique<EntryFleet>(options);
        for (const auto &server : fleet->servers) {
            server->options.events = server->options.events > 0 ? 50 : 0;
            server->options.restartAfter = 3400ms;
            server->options.crashDelay = 100ms;
        }
    }

    static PromptPartLoad::Options load(PromptPartLoad::Place place, int scale = 1)
    {
        PromptPartLoad::Options options;
        options.place = place;
        options.soundGap /= scale;
        options.poisonGap /= scale;
        return options;
    }

    void checkBounds(const PromptPartLoad &load) const
    {
        const PromptPartLoad::Verdict verdict = load.judge();
        STRCMP_EQUAL("", verdict.violation.c_str());
        CHECK(verdict.crashes > 0);
        CHECK(verdict.after.sent > 0);
        CHECK_EQUAL(0U, fleet->innocents.open);
        CHECK_EQUAL(0U, load.poison().open);
        CHECK(load.poison().refusedAsPoisonous > 0);
    }

    void play(const PromptPartLoad::Options &options, Duration rundown = 20s)
    {
        PromptPartLoad load(*fleet, options);
        load.start();
        fleet->run(load.duration() + rundown);
        checkBounds(load);
    }

    /// Plays a load beside another one whose part crashes servers in the first place.
    void playTwoParts(PromptPartLoad::Options options)
    {
        PromptPartLoad first(*fleet, options);
        options.poison = "worse";
        options.place = PromptPartLoad::Place::First;
        PromptPartLoad second(*fleet, options);
        first.start();
        second.start();
        fleet->run(first.duration() + 20s);
        checkBounds(first);
        checkBounds(second);
    }

    /// Plays a load of which no request crashes its server, so that none is to be refused.
    void playSound(const std::function<void(int second)> &disturb)
    {
        PromptPartLoad::Options options = load(PromptPartLoad::Place::Second);
        options.calmTime = 40s;
        options.span = 0s;
        PromptPartLoad load(*fleet, options);
        load.start();
        for (int second = 0; second < 40; ++second) {
            disturb(second);
            fleet->run(1s);
        }
        fleet->run(20s);
        CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
        CHECK_EQUAL(0U, fleet->innocents.open);
        CHECK(fleet->innocents.served > 400);
    }
};

TEST_GROUP_BASE(PromptParts, PromptPartRig){};

TEST(PromptParts, partThatCrashesServersIsRefusedAndLookalikesServedAtSevenNodes)
{
    for (const auto place : {PromptPartLoad::Place::Second, PromptPartLoad::Place::First}) {
        build(7, 3);
        play(load(place));
        CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
    }
}

TEST(PromptParts, partThatCrashesOnlySomeServersIsRefused)
{
    for (const double share : {0.7, 0.4}) {
        build(7, 3);
        PromptPartLoad::Options options = load(PromptPartLoad::Place::Second);
        options.crashShare = share;
        play(options);
        CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
    }
}

TEST(PromptParts, firstPartThatCrashesOneServerInFiveOrFewerIsRefused)
{
    for (const double share : {0.3, 0.2, 0.15, 0.1}) {
        build(7, 3);
        PromptPartLoad::Options options = load(PromptPartLoad::Place::First);
        options.crashShare = share;
        play(options);
        CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
    }
}

TEST(PromptParts, secondPartThatCrashesOneServerInFiveOrFewerIsRefused)
{
    for (const double share : {0.3, 0.2, 0.15, 0.1}) {
        build(7, 3);
        PromptPartLoad::Options options = load(PromptPartLoad::Place::Second);
        options.crashShare = share;
        play(options);
        CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
    }
}

TEST(PromptParts, partThatSilencesServersIsRefused)
{
    EntryFleet::Options options;
    options.crash = SimEnd::Silent;
    build(7, 3, options);
    play(load(PromptPartLoad::Place::Second));
    CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
}

TEST(PromptParts, partIsRefusedWhereServersRestartUnderTheirIds)
{
    EntryFleet::Options options;
    options.doServersKeepIds = true;
    build(7, 3, options);
    play(load(PromptPartLoad::Place::First));
    CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
}

TEST(PromptParts, partIsRefusedWhereItsRequestsAreRepeated)
{
    build(7, 3);
    PromptPartLoad::Options options = load(PromptPartLoad::Place::Second);
    options.repeatShare = 0.5;
    play(options);
    CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
}

TEST(PromptParts, partOfResumableStreamsIsRefused)
{
    build(7, 3);
    PromptPartLoad::Options options = load(PromptPartLoad::Place::Second);
    options.path = "/resumable/parts";
    play(options);
    CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
}

TEST(PromptParts, twoPartsThatCrashServersAtOnceAreRefused)
{
    build(7, 3);
    playTwoParts(load(PromptPartLoad::Place::Second));
    CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
}

TEST(PromptParts, partIsRefusedBesideAWholeRequestThatCrashesServers)
{
    build(7, 3);
    PromptPartLoad load(*fleet, this->load(PromptPartLoad::Place::Second));
    load.start();
    fleet->run(15s);
    fleet->repeatPoison("/stream/p", 500ms, 20s);
    fleet->run(load.duration() + 5s);
    checkBounds(load);
    CHECK(fleet->crashesBy("/stream/p") <= 3);
    CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
}

TEST(PromptParts, partStaysRefusedAfterAllNodesRestartAtOnce)
{
    build(7, 3);
    PromptPartLoad load(*fleet, this->load(PromptPartLoad::Place::Second));
    load.start();
    fleet->run(25s);
    const std::size_t crashes = load.judge().crashes;
    CHECK(crashes >= 3);
    fleet->restartAllNodes(500ms);
    fleet->run(40s);
    CHECK_EQUAL(crashes, load.judge().crashes);
    checkBounds(load);
}

TEST(PromptParts, noPartIsRefusedWhereServersCrashOfOtherCauses)
{
    build(7, 3);
    playSound(
            [this](int) { fleet->servers[fleet->random.uniformBelow(14)]->crash(SimEnd::Reset); });
}

TEST(PromptParts, noPartIsRefusedWhereServersOfAZoneCrashAtOnce)
{
    build(7, 3);
    playSound([this](int second) {
        for (std::size_t i = 0; second % 8 == 2 && i < 14; ++i) {
            if (fleet->servers[i]->options.zone.text() == "z" + std::to_string(second / 8 % 3))
                fleet->servers[i]->crash(SimEnd::Reset);
        }
    });
}

TEST(PromptParts, noPartIsRefusedForAWholeRequestThatCrashesServers)
{
    build(7, 3);
    playSound([this](int second) {
        const HttpRequest request{"POST",
                                  "/stream/parts",
                                  {{PartsHeader, "f0,f0s1,own"}},
                                  "poison " + std::to_string(second / 20)};
        fleet->request(fleet->randomReadyNode(), request, fleet->poison, nullptr);
    });
}

TEST(PromptParts, operatorClearsARefusedPart)
{
    build(7, 3);
    PromptPartLoad load(*fleet, this->load(PromptPartLoad::Place::Second));
    load.start();
    fleet->run(25s);
    std::vector<std::string> keys;
    for (const auto &[key, value] : fleet->store.newest(EntryFleet::RosterTopic)) {
        if (isPoisonRecordKey(key))
            keys.push_back(key);
    }
    CHECK_EQUAL(1U, keys.size());
    const absl::StatusOr<PoisonRecord> record =
            decodePoisonRecord(fleet->store.newest(EntryFleet::RosterTopic).at(keys[0]), 0);
    CHECK(record.ok());
    STRCMP_CONTAINS("prompt part ", record->subject.c_str());
    CHECK(record->deaths.size() >= 3);
    CHECK(load.poison().refusedAsPoisonous > 0);
    fleet->poisonParts.clear();
    fleet->store.append(EntryFleet::RosterTopic, keys[0], std::nullopt);
    fleet->run(1s);
    const std::uint32_t refusedAtClearing = load.poison().refusedAsPoisonous;
    fleet->run(30s);
    CHECK_EQUAL(refusedAtClearing, load.poison().refusedAsPoisonous);
}

// More seeds by hand: utils/poisonsoak.sh --nodes N --first-seed N --seeds M.
TEST(PromptParts, boundsHoldBesideRandomDisruptionsAtSevenNodes)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        STRCMP_EQUAL("", PoisonSoak(seed, 7).run().violation.c_str());
}

TEST_GROUP_BASE(RarePromptParts, PromptPartRig){};

TEST(RarePromptParts, partsThatCrashOneServerInTenAreRefusedWithOtherLoads)
{
    for (std::uint64_t seed = 2; seed <= 4; ++seed) {
        for (const auto place : {PromptPartLoad::Place::First, PromptPartLoad::Place::Second}) {
            EntryFleet::Options other;
            other.seed = seed;
            build(7, 3, other);
            PromptPartLoad::Options options = load(place);
            options.crashShare = 0.1;
            options.span = 40s;
            play(options);
            CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
        }
    }
}

TEST(RarePromptParts, twoPartsThatEachCrashOneServerInFiveAreRefused)
{
    build(7, 3);
    PromptPartLoad::Options options = load(PromptPartLoad::Place::Second);
    options.crashShare = 0.2;
    options.span = 40s;
    playTwoParts(options);
    CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
}

TEST_GROUP_BASE(PromptPartsAtNinetyNodes, PromptPartRig){};

TEST(PromptPartsAtNinetyNodes, partThatCrashesServersIsRefusedAndLookalikesServed)
{
    build(90, 4);
    play(load(PromptPartLoad::Place::Second, 3), 5s);
    CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
}

TEST(PromptPartsAtNinetyNodes, boundsHoldBesideRandomDisruptions)
{
    STRCMP_EQUAL("", PoisonSoak(1, 90).run().violation.c_str());
}

TEST_GROUP_BASE(RarePromptPartsAtNinetyNodes, PromptPartRig){};

TEST(RarePromptPartsAtNinetyNodes, partThatCrashesOneServerInTenIsRefused)
{
    build(90, 4);
    PromptPartLoad::Options options = load(PromptPartLoad::Place::Second, 3);
    options.crashShare = 0.1;
    play(options, 5s);
    CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
}

TEST_GROUP_BASE(PromptPartsAtThreeHundredAndThirtyNodes, PromptPartRig){};

TEST(PromptPartsAtThreeHundredAndThirtyNodes, partThatCrashesServersIsRefusedAndLookalikesServed)
{
    build(330, 27);
    PromptPartLoad::Options options = load(PromptPartLoad::Place::Second, 4);
    options.calmTime = 5s;
    options.span = 12s;
    play(options, 4s);
    CHECK_EQUAL(0U, fleet->innocents.refusedAsPoisonous);
}
