#include "include/flow/ReadBudget.h"

#include <doctest/doctest.h>

using namespace waxwing;

// Guards against a small message that is given up because a peer sends a large one without end.
TEST_CASE("read budget, bound exceeded by a small message, the largest one is given up")
{
    ReadBudget budget(100);
    const ReadBudget::Id large = budget.begin();
    const ReadBudget::Id small = budget.begin();
    CHECK_FALSE(budget.grow(large, 90));
    CHECK_FALSE(budget.grow(small, 10));
    CHECK(budget.grow(small, 1) == large);
    CHECK(budget.heldBytes() == 11);
    CHECK_FALSE(budget.grow(large, 1000));
    CHECK(budget.heldBytes() == 11);
}

// Guards against a bound that shrinks with each message that ends.
TEST_CASE("read budget, messages end, their bytes are free")
{
    ReadBudget budget(100);
    for (int i = 0; i < 50; ++i) {
        const ReadBudget::Id id = budget.begin();
        CHECK_FALSE(budget.grow(id, 60));
        budget.end(id);
        budget.end(id);
    }
    CHECK(budget.heldBytes() == 0);
    const ReadBudget::Id id = budget.begin();
    CHECK(budget.grow(id, 101) == id);
    CHECK(budget.heldBytes() == 0);
}
