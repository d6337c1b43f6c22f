#include <memory>

#include "net/eventloop.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

// What handlers and subscriptions refer to may be destroyed before the loop, as a daemon is.
TEST_GROUP(Closing)
{
    std::unique_ptr<EventLoop> serverLoop = *EventLoop::create({});
    int calls = 0;
};

TEST(Closing, loopThatEndsRunsNoSubscription)
{
    serverLoop->timers().scheduleAfter(Duration(0), [this] { ++calls; });
    serverLoop.reset();
    CHECK_EQUAL(0, calls);
}
