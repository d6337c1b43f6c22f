#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "net/fetcher.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

namespace {

struct FakeCall : HttpCall
{
    SendProgress progress() const override { return SendProgress::Sent; }
    void pause() override {}
    void resume() override {}
};

struct FakeClient : HttpClient
{
    std::unique_ptr<HttpCall> send(const HttpCallOptions &, HttpRequest,
                                   HttpCallHooks hooks) override
    {
        calls.push_back(std::move(hooks));
        return std::make_unique<FakeCall>();
    }

    std::vector<HttpCallHooks> calls;
};

} // namespace

TEST_GROUP(Fetcher)
{
    VirtualTimerService timers;
    FakeClient client;
    Fetcher fetcher{client, timers, 8};
    std::vector<FetchResult> results;

    FetchId fetch()
    {
        return fetcher.fetch({}, {}, 1s,
                             [this](FetchResult result) { results.push_back(std::move(result)); });
    }
};

TEST(Fetcher, collectsAWholeAnswer)
{
    fetch();
    client.calls[0].onHead({200, {}});
    client.calls[0].onBody("abc");
    client.calls[0].onBody("def");
    client.calls[0].onEnd(absl::OkStatus());
    CHECK(results.empty());
    timers.advance(0s);
    CHECK_EQUAL(1U, results.size());
    STRCMP_EQUAL("abcdef", results[0].response.body.c_str());
}

TEST(Fetcher, timesOutOnceAndSaysThatItWasSent)
{
    fetch();
    timers.advance(2s);
    CHECK_EQUAL(1U, results.size());
    CHECK(errorCode(results[0].status) == ErrorCode::DeadlineExceeded);
    CHECK(results[0].progress == SendProgress::Sent);
}

TEST(Fetcher, boundsTheAnswer)
{
    fetch();
    client.calls[0].onHead({200, {}});
    client.calls[0].onBody("123456789");
    client.calls[0].onBody("more");
    timers.advance(0s);
    CHECK_EQUAL(1U, results.size());
    CHECK(errorCode(results[0].status) == ErrorCode::TargetProtocolError);
}

TEST(Fetcher, abandonedFetchIsSilent)
{
    fetcher.abandon(fetch());
    timers.advance(5s);
    CHECK(results.empty());
}

TEST(Fetcher, fetchAbandonedBeforeItsCallbackIsSilent)
{
    const FetchId id = fetch();
    client.calls[0].onEnd(absl::OkStatus());
    fetcher.abandon(id);
    timers.advance(5s);
    CHECK(results.empty());
    CHECK_EQUAL(0U, timers.pending());
}

TEST(Fetcher, destructionSilencesAllFetches)
{
    auto shortLived = std::make_unique<Fetcher>(client, timers, 8);
    shortLived->fetch({}, {}, 1s,
                      [this](FetchResult result) { results.push_back(std::move(result)); });
    client.calls[0].onEnd(absl::OkStatus());
    shortLived.reset();
    timers.advance(5s);
    CHECK(results.empty());
}
