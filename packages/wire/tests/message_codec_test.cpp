#include <hemlocknotch/wire/message_codec.hpp>

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>
#include <vector>

namespace {

using namespace hemlocknotch;

const request_id sample_id{0xffffffffffffffffULL, 7};

std::vector<message> one_of_each_kind()
{
    const process_identity agent{"agent-1", 42};
    return {
        hello_message{protocol_version, process_role::agent, agent, "a", "gardener", 9},
        submit_message{sample_id,
                       2,
                       3,
                       account_key{4},
                       "plots",
                       "calendar",
                       true,
                       true,
                       1.5,
                       duration{99},
                       5,
                       6,
                       "POST",
                       "/x?y=\xff",
                       {{"a", "b"}, {"c", "\x80"}},
                       std::string("\0\xff", 2),
                       "00-1-2-01"},
        refuse_message{sample_id, 1, refusal_code::internal_limit, duration{5}},
        head_message{sample_id, 1, 404, {{"x", ""}}},
        part_message{sample_id, 1, 1ULL << 40U, "bytes"},
        end_message{sample_id, 1, verdict::may_have_run, 8, 0.25, refusal_code::cancelled, duration{1},
                    duration{2}},
        ack_message{sample_id, 1, 5, true},
        cancel_message{sample_id, 1},
        resolve_message{sample_id, 1, 77},
        resolved_message{sample_id, 1, dispatch_state::forgotten},
        demand_message{5, true, {{account_key{1}, 2, duration{3}, 4.0}}},
        free_slots_message{1, true, 2, 3},
        grant_message{1, account_key{2}, duration{3}, {4, 5}},
        decline_message{1},
        service_report_message{
            account_key{1}, {{agent, {{account_key{2}, 3, 4.5}}}}, {{account_key{2}, 1.0}}},
        revision_message{3},
        configuration_request_message{},
        configuration_message{3, "{}"},
        heartbeat_message{1, true},
        service_totals_message{account_key{1}, {{account_key{2}, 3}}, {{account_key{2}, 1.0}}},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_codec_test)

BOOST_AUTO_TEST_CASE(every_message_kind_decodes_to_what_was_encoded)
{
    const std::vector<message> all = one_of_each_kind();
    BOOST_TEST(all.size() == std::variant_size_v<message>);
    for (std::size_t n = 0; n < all.size(); ++n) {
        BOOST_TEST(all[n].index() == n);
        const auto read = decode_message(encode_message(all[n]));
        BOOST_TEST_REQUIRE(read.has_value());
        BOOST_TEST((*read == all[n]), kind_of(all[n]));
    }
}

BOOST_AUTO_TEST_CASE(truncated_and_extended_messages_do_not_decode)
{
    for (const message& value : one_of_each_kind()) {
        const std::string bytes = encode_message(value);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            BOOST_TEST(!decode_message(bytes.substr(0, n)).has_value());
        }
        BOOST_TEST(!decode_message(bytes + '\0').has_value());
    }
}

BOOST_AUTO_TEST_CASE(message_with_a_changed_byte_decodes_to_an_encodable_message_or_not_at_all)
{
    constexpr int change_count = 20000;
    std::mt19937_64 random{1};
    const std::vector<message> all = one_of_each_kind();
    for (int n = 0; n < change_count; ++n) {
        std::string bytes = encode_message(all[random() % all.size()]);
        bytes[random() % bytes.size()] = static_cast<char>(random());
        const auto read = decode_message(bytes);
        if (read) {
            BOOST_TEST((decode_message(encode_message(*read)) == read));
        }
    }
}

BOOST_AUTO_TEST_CASE(fields_out_of_range_do_not_decode)
{
    const std::string good = encode_message(resolved_message{sample_id, 1, dispatch_state::forgotten});
    std::string bad = good;
    bad.back() = static_cast<char>(static_cast<int>(dispatch_state::forgotten) + 1);
    BOOST_TEST(decode_message(good).has_value());
    BOOST_TEST(!decode_message(bad).has_value());
    BOOST_TEST(!decode_message(std::string("\x81\x18\x63", 3)).has_value());
}

// The library's reader recurses at each level and overflowed the stack with arrays nested this deeply.
BOOST_AUTO_TEST_CASE(deeply_nested_arrays_do_not_decode)
{
    constexpr std::size_t depth = 10'000'000;
    BOOST_TEST(!decode_message(std::string(depth, '\x81')).has_value());
}

// The library's reader throws for such a length, even if told not to throw.
BOOST_AUTO_TEST_CASE(array_with_a_length_beyond_memory_does_not_decode)
{
    BOOST_TEST(!decode_message("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff").has_value());
}

BOOST_AUTO_TEST_CASE(only_request_and_answer_bodies_count_as_body_bytes)
{
    BOOST_TEST(body_bytes_of(part_message{sample_id, 1, 0, "12345"}) == 5U);
    submit_message submit;
    submit.body = "123";
    BOOST_TEST(body_bytes_of(submit) == 3U);
    BOOST_TEST(body_bytes_of(configuration_message{1, "{}"}) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
