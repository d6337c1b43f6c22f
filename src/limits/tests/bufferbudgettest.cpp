#include <memory>
#include <vector>

#include "limits/bufferbudget.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

TEST_GROUP(BufferBudget)
{
    static constexpr std::size_t Capacity = 40 * BufferBudget::LeastShare;

    BufferBudget budget{Capacity};
    std::vector<std::unique_ptr<BufferBudget::Holder>> holders;

    BufferBudget::Holder &holder()
    {
        holders.push_back(std::make_unique<BufferBudget::Holder>(budget));
        return *holders.back();
    }
};

TEST(BufferBudget, oneHolderMayUseAllOfIt)
{
    BufferBudget::Holder &only = holder();
    CHECK(only.resize(Capacity));
    CHECK(!only.resize(Capacity + 1));
    CHECK(only.resize(Capacity));
}

TEST(BufferBudget, holdersOfLittleAreNotRefusedForOnesOfMuch)
{
    BufferBudget::Holder &large = holder();
    CHECK(large.resize(Capacity));
    BufferBudget::Holder &small = holder();
    CHECK(small.resize(Capacity / 2));
    CHECK(!large.resize(Capacity));
    CHECK(large.resize(Capacity / 2));
}

TEST(BufferBudget, whatIsHeldIsReturned)
{
    holder().resize(Capacity);
    holder().resize(5);
    holders.clear();
    LONGS_EQUAL(0, budget.used());
    CHECK(holder().resize(Capacity));
}

TEST(BufferBudget, manyHoldersStayWithinABoundOfTheSum)
{
    constexpr std::size_t Step = BufferBudget::LeastShare / 4;
    for (int i = 0; i < 300; ++i) {
        BufferBudget::Holder &next = holder();
        std::size_t bytes = 0;
        while (next.resize(bytes + Step))
            bytes += Step;
        next.resize(bytes);
    }
    CHECK(budget.used() <= 2 * Capacity + holders.size() * BufferBudget::LeastShare);
}
