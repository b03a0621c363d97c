#include "http_key_value_service.hpp"
#include "test_http_server.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace hemlocknotch;

namespace {

constexpr std::chrono::seconds long_limit{20};
constexpr std::chrono::milliseconds short_limit{100};

struct fixture {
    std::unique_ptr<event_base, void (*)(event_base*)> base{event_base_new(), &event_base_free};
    test_http_server server{base.get()};
    std::unique_ptr<http_key_value_service> store = make(long_limit);
    std::optional<store_answer> answer;

    [[nodiscard]] std::unique_ptr<http_key_value_service> make(duration limit) const
    {
        return std::make_unique<http_key_value_service>(base.get(), server.address(), limit);
    }

    key_value_service::callback keep()
    {
        return [this](const store_answer& value) {
            BOOST_TEST(!answer.has_value());
            answer = value;
        };
    }

    /// Runs the loop until the answer has come, and returns it.
    store_answer wait()
    {
        while (!answer) {
            BOOST_REQUIRE(event_base_loop(base.get(), EVLOOP_ONCE) == 0);
        }
        store_answer value = *answer;
        answer.reset();
        return value;
    }

    void reply_with(int status, const std::string& body, const std::string& version)
    {
        server.set_handler([=](evhttp_request* request) {
            if (version.empty()) {
                test_http_server::reply(request, status, body);
            }
            else {
                test_http_server::reply(request, status, body, {{"X-Version", version}});
            }
        });
    }

    store_answer get()
    {
        store->get("a/b", keep());
        return wait();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_key_value_service_test, fixture)

BOOST_AUTO_TEST_CASE(a_value_is_read_with_its_version)
{
    reply_with(200, std::string("x\0y", 3), "12");
    const store_answer value = get();
    BOOST_TEST((value.status == store_status::ok));
    BOOST_TEST(value.value == std::string("x\0y", 3));
    BOOST_TEST(value.version == 12U);
    BOOST_TEST(server.targets().front() == "/v1/kv/a/b");
}

BOOST_AUTO_TEST_CASE(each_status_is_told_apart)
{
    reply_with(404, "", "");
    BOOST_TEST((get().status == store_status::absent));
    reply_with(429, "", "");
    BOOST_TEST((get().status == store_status::refused));
    reply_with(500, "", "");
    BOOST_TEST((get().status == store_status::unknown));
    reply_with(200, "a value without its version", "");
    BOOST_TEST((get().status == store_status::unknown));
    reply_with(409, "other", "7");
    const store_answer value = get();
    BOOST_TEST((value.status == store_status::conflict));
    BOOST_TEST(value.value == "other");
    BOOST_TEST(value.version == 7U);
}

BOOST_AUTO_TEST_CASE(calls_have_the_documented_form)
{
    reply_with(200, "", "3");
    store->compare_and_swap("claims/x y/a?b", 5, "value", 9, keep());
    wait();
    store->watch("k", 4, std::chrono::seconds{2}, keep());
    wait();
    store->remove("k", 8, keep());
    wait();
    store->keep_lease(6, keep());
    wait();
    const std::vector<std::string> expected{"/v1/kv/claims/x%20y/a%3Fb?expect=5&lease=9",
                                            "/v1/kv/k?after=4&wait_ms=2000", "/v1/kv/k?expect=8",
                                            "/v1/leases/6"};
    BOOST_TEST(server.targets() == expected, boost::test_tools::per_element());
    BOOST_TEST(store->call_count() == 4U);
}

BOOST_AUTO_TEST_CASE(a_lease_has_its_number)
{
    server.set_handler([](evhttp_request* request) {
        test_http_server::reply(request, 200, "", {{"X-Lease", "31"}});
    });
    store->grant_lease(std::chrono::seconds{5}, keep());
    BOOST_TEST(wait().version == 31U);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_unknown_and_its_connection_is_not_used_again)
{
    store = make(short_limit);
    evhttp_request* held = nullptr;
    server.set_handler([&](evhttp_request* request) { held = request; });
    BOOST_TEST((get().status == store_status::unknown));
    BOOST_TEST(held != nullptr);
    store = make(long_limit);
    reply_with(200, "x", "1");
    BOOST_TEST((get().status == store_status::ok));
    BOOST_TEST(server.connection_count() == 2U);
}

BOOST_AUTO_TEST_CASE(a_broken_answer_is_unknown)
{
    server.set_handler([](evhttp_request* request) {
        test_http_server::reply(request, 200, "short",
                                {{"X-Version", "1"}, {"Content-Length", "100"}, {"Connection", "close"}});
    });
    BOOST_TEST((get().status == store_status::unknown));
}

BOOST_AUTO_TEST_CASE(a_server_that_is_not_there_is_unknown)
{
    std::optional<endpoint_address> address;
    {
        const test_http_server gone{base.get()};
        address = gone.address();
    }
    store = std::make_unique<http_key_value_service>(base.get(), *address, long_limit);
    BOOST_TEST((get().status == store_status::unknown));
}

BOOST_AUTO_TEST_CASE(one_connection_serves_calls_one_after_the_other)
{
    reply_with(200, "x", "1");
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST((get().status == store_status::ok));
    }
    BOOST_TEST(server.connection_count() == 1U);
}

BOOST_AUTO_TEST_CASE(a_waiting_watch_holds_up_no_other_call)
{
    evhttp_request* held = nullptr;
    server.set_handler([&](evhttp_request* request) {
        if (held == nullptr) {
            held = request;
            return;
        }
        test_http_server::reply(request, 200, "x", {{"X-Version", "1"}});
    });
    std::optional<store_answer> watched;
    store->watch("k", 0, long_limit, [&](const store_answer& value) { watched = value; });
    while (held == nullptr) {
        event_base_loop(base.get(), EVLOOP_ONCE);
    }
    BOOST_TEST((get().status == store_status::ok));
    BOOST_TEST(!watched.has_value());
    test_http_server::reply(held, 200, "y", {{"X-Version", "2"}});
    while (!watched) {
        event_base_loop(base.get(), EVLOOP_ONCE);
    }
    BOOST_TEST(watched->value == "y");
}

BOOST_AUTO_TEST_CASE(a_destroyed_client_calls_back_no_more_and_a_callback_may_destroy_it)
{
    reply_with(200, "x", "1");
    store->get("k", [](const store_answer&) { BOOST_ERROR("called back after its end"); });
    store = make(long_limit);
    bool is_called = false;
    store->get("k", [&](const store_answer&) {
        store.reset();
        is_called = true;
    });
    while (!is_called) {
        event_base_loop(base.get(), EVLOOP_ONCE);
    }
    BOOST_TEST(!store);
}

BOOST_AUTO_TEST_SUITE_END()
