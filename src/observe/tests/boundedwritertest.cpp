#include <string>

#include <fcntl.h>
#include <unistd.h>

#include "observe/boundedwriter.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(BoundedWriter)
{
    int ends[2] = {-1, -1};
    TimePoint now{};

    void setup() override
    {
        CHECK(::pipe2(ends, O_CLOEXEC) == 0);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }

    void teardown() override
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    BoundedWriter writer(BoundedWriter::Options options = {})
    {
        return {ends[1], options, [this] { return now; },
                [](std::uint64_t count) { return "left out " + std::to_string(count); }};
    }

    std::string readAll()
    {
        std::string text;
        char buffer[4096];
        for (ssize_t size = ::read(ends[0], buffer, sizeof(buffer)); size > 0;
             size = ::read(ends[0], buffer, sizeof(buffer)))
            text.append(buffer, static_cast<std::size_t>(size));
        return text;
    }
};

TEST(BoundedWriter, writesWholeLines)
{
    BoundedWriter written = writer();
    written.write("one");
    written.write("two");
    STRCMP_EQUAL("one\ntwo\n", readAll().c_str());
}

TEST(BoundedWriter, linesOverTheBudgetAreDroppedAndCounted)
{
    BoundedWriter written = writer({10, 5});
    for (int i = 0; i < 100; ++i)
        written.write("line");
    LONGS_EQUAL(95, written.droppedCount());
    readAll();
    now += 1s;
    written.write("later");
    STRCMP_EQUAL("left out 95\nlater\n", readAll().c_str());
}

// A blocking write would hang this test, as nothing reads the pipe in the meantime.
TEST(BoundedWriter, slowReaderLosesLinesWithoutBlockingTheWriter)
{
    BoundedWriter written = writer({1e9, 1e9});
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i)
        written.write(line);
    CHECK(written.droppedCount() > 0);
    readAll();
    written.write("again");
    STRCMP_CONTAINS("left out", readAll().c_str());
}
