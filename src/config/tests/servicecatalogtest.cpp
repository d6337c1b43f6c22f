#include "base/virtualtimerservice.h"
#include "config/catalogholder.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static constexpr Duration MaxKeyAge = 3500ms;

static CatalogRoute route(const char *prefix, const char *service)
{
    CatalogRoute route;
    route.name = prefix;
    route.host = "h";
    route.pathPrefix = prefix;
    route.services = {{service, 1}};
    return route;
}

static CatalogContent content(std::uint64_t version)
{
    CatalogContent content;
    content.version = version;
    content.routes = {route("/a/", "one"), route("/a/b/", "two")};
    content.organisations = std::vector<CatalogOrganisation>{{"o", std::nullopt, {"k1", "k2"}}};
    return content;
}

TEST_GROUP(ServiceCatalog)
{
    VirtualTimerService timers;
    CatalogHolder holder{timers};

    Admission admit(const char *path, const std::optional<std::string> &key)
    {
        return admitRequest(holder, "h", path, key, MaxKeyAge).admission;
    }

    void publish(CatalogContent published)
    {
        holder.apply(ServiceCatalog::create(std::move(published)));
        holder.confirmNewest(timers.now());
    }
};

TEST(ServiceCatalog, longestPrefixOfTheHostMatches)
{
    const auto catalog = ServiceCatalog::create(content(1));
    STRCMP_EQUAL("/a/b/", catalog->findRoute("h", "/a/b/c")->name.c_str());
    STRCMP_EQUAL("/a/b/", catalog->findRoute("h", "/a/b/")->name.c_str());
    STRCMP_EQUAL("/a/", catalog->findRoute("h", "/a/b")->name.c_str());
    STRCMP_EQUAL("/a/", catalog->findRoute("h", "/a/x?q=/a/b/")->name.c_str());
    CHECK(!catalog->findRoute("h", "/"));
    CHECK(!catalog->findRoute("other", "/a/x"));
}

TEST(ServiceCatalog, versionNeverDecreases)
{
    CHECK(holder.apply(ServiceCatalog::create(content(5))));
    CHECK(!holder.apply(ServiceCatalog::create(content(4))));
    CHECK(!holder.apply(ServiceCatalog::create(content(5))));
    LONGS_EQUAL(5, holder.current()->version());
}

TEST(ServiceCatalog, unknownRouteAndUnknownKeyAreDistinguished)
{
    CHECK(admit("/a/x", "k1") == Admission::NoCatalog);
    publish(content(1));
    CHECK(admit("/a/x", "k1") == Admission::Admitted);
    CHECK(admit("/a/x", "k9") == Admission::UnknownKey);
    CHECK(admit("/a/x", std::nullopt) == Admission::MissingKey);
    CHECK(admit("/z/x", "k1") == Admission::NoRoute);
}

// A key may have been revoked or a route added since the catalogue was last known to be the newest.
TEST(ServiceCatalog, staleCatalogRejectsKeysAndRoutesAsStale)
{
    publish(content(1));
    timers.advance(MaxKeyAge + 1ms);
    CHECK(admit("/a/x", "k1") == Admission::StaleKeys);
    CHECK(admit("/a/x", "k9") == Admission::StaleKeys);
    CHECK(admit("/z/x", "k1") == Admission::StaleKeys);
    holder.confirmNewest(timers.now());
    CHECK(admit("/a/x", "k1") == Admission::Admitted);
}

TEST(ServiceCatalog, anonymousRouteIsAdmittedWithAStaleCatalog)
{
    CatalogContent published = content(1);
    published.routes[0].isAnonymousAllowed = true;
    publish(std::move(published));
    timers.advance(1h);
    CHECK(admit("/a/x", std::nullopt) == Admission::Admitted);
}

TEST(ServiceCatalog, revokedKeyIsInvalidForAnAdmittedRequest)
{
    publish(content(1));
    CHECK(isKeyValid(holder, "o", "k1", MaxKeyAge));
    CatalogContent next = content(2);
    next.organisations->at(0).keys = {"k2"};
    publish(std::move(next));
    CHECK(!isKeyValid(holder, "o", "k1", MaxKeyAge));
    CHECK(isKeyValid(holder, "o", "k2", MaxKeyAge));
    timers.advance(MaxKeyAge + 1ms);
    CHECK(!isKeyValid(holder, "o", "k2", MaxKeyAge));
}

TEST(ServiceCatalog, confirmationTimeNeverDecreases)
{
    publish(content(1));
    const TimePoint first = timers.now();
    timers.advance(1s);
    holder.confirmNewest(timers.now());
    holder.confirmNewest(first);
    CHECK(holder.age() == Duration::zero());
}

TEST(ServiceCatalog, servicesArePickedByWeight)
{
    const std::vector<WeightedService> shares{{"a", 90}, {"b", 10}};
    STRCMP_EQUAL("a", pickService(shares, 0).c_str());
    STRCMP_EQUAL("a", pickService(shares, 0.899).c_str());
    STRCMP_EQUAL("b", pickService(shares, 0.901).c_str());
    STRCMP_EQUAL("b", pickService(shares, 0.999).c_str());
}
