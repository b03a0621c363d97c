#include "http_key_value_service.hpp"
#include "test_http_server.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace hemlocknotch;

namespace {

constexpr std::chrono::seconds long_timeout{20};
constexpr std::chrono::milliseconds short_timeout{100};

struct fixture {
    std::unique_ptr<event_base, void (*)(event_base*)> base{event_base_new(), &event_base_free};
    test_http_server server{base.get()};
    std::unique_ptr<http_key_value_service> store = create_store(long_timeout);
    std::optional<store_answer> answer;

    [[nodiscard]] std::unique_ptr<http_key_value_service> create_store(duration timeout) const
    {
        return std::make_unique<http_key_value_service>(base.get(), server.address(), timeout);
    }

    key_value_service::callback save_answer()
    {
        return [this](const store_answer& value) {
            BOOST_TEST(!answer.has_value());
            answer = value;
        };
    }

    /// Runs the event loop until an answer has arrived, and returns it.
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
        store->get("a/b", save_answer());
        return wait();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_key_value_service_test, fixture)

BOOST_AUTO_TEST_CASE(value_is_read_with_its_version)
{
    reply_with(200, std::string("x\0y", 3), "12");
    const store_answer value = get();
    BOOST_TEST((value.status == store_status::ok));
    BOOST_TEST(value.value == std::string("x\0y", 3));
    BOOST_TEST(value.version == 12U);
    BOOST_TEST(server.targets().front() == "/v1/kv/a/b");
}

BOOST_AUTO_TEST_CASE(each_http_status_maps_to_its_store_status)
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

BOOST_AUTO_TEST_CASE(calls_use_the_documented_targets)
{
    reply_with(200, "", "3");
    store->compare_and_swap("claims/x y/a?b", 5, "value", 9, save_answer());
    wait();
    store->watch("k", 4, std::chrono::seconds{2}, save_answer());
    wait();
    store->remove("k", 8, save_answer());
    wait();
    store->keep_lease(6, save_answer());
    wait();
    const std::vector<std::string> expected{"/v1/kv/claims/x%20y/a%3Fb?expect=5&lease=9",
                                            "/v1/kv/k?after=4&wait_ms=2000", "/v1/kv/k?expect=8",
                                            "/v1/leases/6"};
    BOOST_TEST(server.targets() == expected, boost::test_tools::per_element());
    BOOST_TEST(store->call_count() == 4U);
}

BOOST_AUTO_TEST_CASE(granted_lease_returns_the_id_of_the_lease)
{
    server.set_handler([](evhttp_request* request) {
        test_http_server::reply(request, 200, "", {{"X-Lease", "31"}});
    });
    store->grant_lease(std::chrono::seconds{5}, save_answer());
    BOOST_TEST(wait().version == 31U);
}

BOOST_AUTO_TEST_CASE(call_without_an_answer_is_unknown_and_its_connection_is_not_reused)
{
    store = create_store(short_timeout);
    evhttp_request* held = nullptr;
    server.set_handler([&](evhttp_request* request) { held = request; });
    BOOST_TEST((get().status == store_status::unknown));
    BOOST_TEST(held != nullptr);
    store = create_store(long_timeout);
    reply_with(200, "x", "1");
    BOOST_TEST((get().status == store_status::ok));
    BOOST_TEST(server.connection_count() == 2U);
}

BOOST_AUTO_TEST_CASE(incomplete_answer_is_unknown)
{
    server.set_handler([](evhttp_request* request) {
        test_http_server::reply(request, 200, "short",
                                {{"X-Version", "1"}, {"Content-Length", "100"}, {"Connection", "close"}});
    });
    BOOST_TEST((get().status == store_status::unknown));
}

BOOST_AUTO_TEST_CASE(call_to_an_unreachable_server_is_unknown)
{
    std::optional<endpoint_address> address;
    {
        const test_http_server closed_server{base.get()};
        address = closed_server.address();
    }
    store = std::make_unique<http_key_value_service>(base.get(), *address, long_timeout);
    BOOST_TEST((get().status == store_status::unknown));
}

BOOST_AUTO_TEST_CASE(successive_calls_reuse_one_connection)
{
    reply_with(200, "x", "1");
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST((get().status == store_status::ok));
    }
    BOOST_TEST(server.connection_count() == 1U);
}

BOOST_AUTO_TEST_CASE(pending_watch_does_not_delay_other_calls)
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
    store->watch("k", 0, long_timeout, [&](const store_answer& value) { watched = value; });
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

BOOST_AUTO_TEST_CASE(destroyed_client_invokes_no_callback_and_a_callback_may_destroy_the_client)
{
    reply_with(200, "x", "1");
    store->get("k",
               [](const store_answer&) { BOOST_ERROR("the callback of a destroyed client was called"); });
    store = create_store(long_timeout);
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
