#include "platform/ObjectApi.h"
#include "src/fiber/FiberLoop.h"
#include "src/http/HttpClient.h"
#include "tests/support/ScriptedServer.h"

#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <exception>
#include <functional>
#include <string>

using namespace waxwing;
using namespace waxwing::testing;

namespace {

/** A client of a store that sends chosen texts. Calls run on fibers, whose stacks are small. */
class StoreWithOddObjects
{
protected:
    StoreWithOddObjects()
        : server_(ioContext_, [this](ScriptedServer::Connection &, const HttpRequest &) {
            return responseText(status_, {}, body_);
        })
    { }

    void run(const std::function<void()> &call)
    {
        bool done = false;
        std::exception_ptr failure;
        spawnFiber([&] {
            try {
                call();
            } catch (...) {
                failure = std::current_exception();
            }
            done = true;
        });
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            ioContext_.restart();
            ioContext_.run_for(Millis(1));
            boost::this_fiber::yield();
        }
        if (failure) {
            std::rethrow_exception(failure);
        }
    }

    static std::string object(const std::string &name, const std::string &spec)
    {
        return R"({"metadata":{"name":")" + name + R"(","rev":4},"spec":)" + spec + "}";
    }

    boost::asio::io_context ioContext_;
    HttpClient client_{ioContext_};
    unsigned status_ = 200;
    std::string body_;
    ScriptedServer server_;
    ObjectApi api_{client_, Endpoint{"127.0.0.1", server_.port()}};
};

/** As deep as the entry of another writer with which nodes ended. */
std::string nestedLists()
{
    constexpr std::size_t levels = 10000;
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

// Guards against nodes that end again and again, or stop following a list, because another writer left one odd object.
TEST_CASE_FIXTURE(StoreWithOddObjects, "object API, one odd object, the others are read and the process goes on")
{
    std::string odd;
    SUBCASE("nested lists")
    {
        odd = nestedLists();
    }
    SUBCASE("nested lists in a member")
    {
        odd = "{\"links\":" + nestedLists() + "}";
    }
    SUBCASE("number beyond all doubles")
    {
        odd = "{\"links\":1e400}";
    }
    const std::string both = object("odd", odd) + "," + object("good", "{\"b\":1}");
    run([&] {
        body_ = R"({"items":[)" + both + R"(],"more":false,"as_of":9})";
        const auto list = api_.list("nodes");
        REQUIRE(list);
        REQUIRE(list->objects.size() == 2);
        CHECK(list->objects[1].value == "{\"b\":1}");
        CHECK(list->revision == 9);
        WatchCall call;
        const auto complete = api_.watch("nodes", call);
        REQUIRE(complete);
        CHECK(complete->objects.size() == 2);
        call.since = 3;
        body_ = R"({"events":[{"object":)" + object("odd", odd) + R"(},{"object":)" + object("good", "{\"b\":1}")
                + R"(}],"as_of":9})";
        const auto changes = api_.watch("nodes", call);
        REQUIRE(changes);
        REQUIRE(changes->objects.size() == 2);
        CHECK(changes->objects[1].value == "{\"b\":1}");
        body_ = object("odd", odd);
        const auto alone = api_.read("nodes", "odd");
        REQUIRE(alone);
        REQUIRE(*alone);
        CHECK((*alone)->version == 4);
        status_ = 409;
        const UpdateResult conflict = api_.update("nodes", "odd", 3, "{}");
        CHECK(conflict.kind == UpdateResult::Kind::Conflict);
        REQUIRE(conflict.current);
        CHECK(conflict.current->version == 4);
    });
}

// Guards against a part of a list that is taken for the whole one, so that the rest looks deleted.
TEST_CASE_FIXTURE(StoreWithOddObjects, "object API, list that is cut off or without a next page, is an error")
{
    run([&] {
        body_ = R"({"items":[)" + object("good", "{}");
        CHECK_FALSE(api_.list("nodes"));
        body_ = R"({"items":[1e400],"more":true,"as_of":9})";
        CHECK_FALSE(api_.list("nodes"));
        body_ = R"({"items":[],"more":true,"as_of":9})";
        CHECK(api_.list("nodes"));
        // The store sends the same page again and again.
        body_ = R"({"items":[)" + object("good", "{}") + R"(],"more":true,"as_of":9})";
        CHECK_FALSE(api_.list("nodes"));
    });
}
