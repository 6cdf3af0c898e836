/** Measures the table of customers at several sizes: bench-customers. Prints time a lookup and memory. */
#include "include/fleet/CustomerTable.h"

#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace waxwing;

constexpr int lookups = 1000000;

std::string keyOf(std::uint64_t number)
{
    std::string key(20, 'a');
    for (char &c : key) {
        c = static_cast<char>('a' + number % 26);
        number = number / 26 * 31 + number % 26 * 17 + 7;
    }
    return key;
}

void measure(int customers)
{
    CustomerTable table;
    std::vector<std::string> keys;
    std::mt19937_64 random(1);
    for (int i = 0; i < customers; ++i) {
        const std::string name = "firm" + std::to_string(i);
        keys.push_back(keyOf(random()));
        Customer customer;
        customer.name = name;
        customer.quota = QuotaLimit{100.0, 100.0};
        table.add(customer, {keys.back(), keyOf(random())});
    }
    const auto buildStart = std::chrono::steady_clock::now();
    table.finish();
    const auto lookupStart = std::chrono::steady_clock::now();
    int found = 0;
    for (int i = 0; i < lookups; ++i) {
        found += table.findByKey(keys[random() % keys.size()]) ? 1 : 0;
    }
    const auto end = std::chrono::steady_clock::now();
    const double nanoseconds = std::chrono::duration<double, std::nano>(end - lookupStart).count() / lookups;
    const double milliseconds = std::chrono::duration<double, std::milli>(lookupStart - buildStart).count();
    std::printf("| %d | %.0f ns | %.1f ms | %.2f MB | %d |\n", customers, nanoseconds, milliseconds,
                static_cast<double>(table.memoryBytes()) / 1e6, found);
}

} // namespace

int main()
{
    std::puts("| customers, two keys each | a lookup | index built in | memory | found of 1,000,000 |");
    std::puts("| --- | --- | --- | --- | --- |");
    for (const int customers : {84, 5000, 51000, 510000}) {
        measure(customers);
    }
    return 0;
}
