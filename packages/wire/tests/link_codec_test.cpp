#include <hemlocknotch/wire/cbor_reader.hpp>
#include <hemlocknotch/wire/message_codec.hpp>

#include "link_codec.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace {

using namespace hemlocknotch;
using detail::frame_kind;
using detail::link_codec;

constexpr std::uint64_t origin = 0xb91ae666606fe4f9ULL;

submit_message submit_of(std::uint64_t sequence, std::uint32_t attempt)
{
    submit_message value;
    value.id = request_id{origin, sequence};
    value.attempt = attempt;
    return value;
}

/// The codecs of the two ends of a link.
struct codec_pair {
    link_codec entry;
    link_codec agent;

    void pass_to_agent(const message& value)
    {
        const auto frame = agent.decode(entry.encode(value));
        BOOST_TEST((frame.kind == frame_kind::message));
        BOOST_TEST((frame.content == value));
    }

    void pass_to_entry(const message& value)
    {
        const auto frame = entry.decode(agent.encode(value));
        BOOST_TEST((frame.kind == frame_kind::message));
        BOOST_TEST((frame.content == value));
    }
};

std::vector<message> answers_to(const request_id& id, std::uint32_t attempt)
{
    return {refuse_message{id, attempt, refusal_code::no_room, duration{1}},
            head_message{id, attempt, 200, {{"a", "b"}}}, part_message{id, attempt, 3'000, "bytes"},
            end_message{id, attempt, verdict::ran, 5, 1.0, refusal_code::endpoint_failed, duration{1},
                        duration{2}},
            resolved_message{id, attempt, dispatch_state::running}};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(link_codec_test, codec_pair)

BOOST_AUTO_TEST_CASE(messages_of_several_dispatches_decode_with_their_own_ids)
{
    for (std::uint64_t n = 0; n < 3; ++n) {
        pass_to_agent(submit_of(n, 1));
        pass_to_agent(submit_of(n, 2));
    }
    for (std::uint64_t n = 0; n < 3; ++n) {
        for (const std::uint32_t attempt : {2U, 1U}) {
            for (const message& value : answers_to(request_id{origin, n}, attempt)) {
                pass_to_entry(value);
            }
            pass_to_agent(ack_message{request_id{origin, n}, attempt, 5, true});
            pass_to_agent(cancel_message{request_id{origin, n}, attempt});
        }
    }
}

BOOST_AUTO_TEST_CASE(messages_of_dispatches_without_a_number_are_sent_in_full)
{
    for (const message& value : answers_to(request_id{origin, 1}, 1)) {
        pass_to_entry(value);
    }
}

BOOST_AUTO_TEST_CASE(resolve_assigns_a_dispatch_number)
{
    pass_to_agent(resolve_message{request_id{origin, 1}, 1, 0});
    const part_message part{request_id{origin, 1}, 1, 3'000, "bytes"};
    BOOST_TEST(agent.encode(part).size() < encode_message(part).size());
    pass_to_entry(part);
}

// Design target: a part message has at most 16 bytes besides its body, whatever its dispatch number.
BOOST_AUTO_TEST_CASE(part_has_at_most_16_control_bytes)
{
    constexpr std::uint64_t dispatch_count = 70'000;
    constexpr std::size_t max_control_bytes = 16;
    constexpr std::uint64_t offset = 1U << 20U;
    for (std::uint64_t n = 0; n < dispatch_count; ++n) {
        static_cast<void>(agent.decode(entry.encode(submit_of(n, 1))));
    }
    const part_message part{request_id{origin, dispatch_count - 1}, 1, offset, std::string(31, 'x')};
    BOOST_TEST(agent.encode(part).size() - part.bytes.size() <= max_control_bytes);
    pass_to_entry(part);
}

BOOST_AUTO_TEST_CASE(part_of_a_dispatch_whose_number_is_too_old_is_sent_in_full)
{
    pass_to_agent(submit_of(0, 1));
    for (std::uint64_t n = 1; n <= 3 * detail::dispatch_numbers::use_window; ++n) {
        pass_to_agent(submit_of(n, 1));
    }
    pass_to_entry(part_message{request_id{origin, 0}, 1, 0, "late"});
}

// While submits are in transit, the agent may use a number that the entry itself no longer uses for sending.
BOOST_AUTO_TEST_CASE(number_that_is_old_at_the_receiver_only_still_decodes)
{
    pass_to_agent(submit_of(0, 1));
    const std::string late = agent.encode(part_message{request_id{origin, 0}, 1, 0, "late"});
    for (std::uint64_t n = 1; n <= detail::dispatch_numbers::use_window; ++n) {
        static_cast<void>(entry.encode(submit_of(n, 1)));
    }
    const auto frame = entry.decode(late);
    BOOST_TEST((frame.kind == frame_kind::message));
    BOOST_TEST((std::get<part_message>(frame.content).id == request_id{origin, 0}));
}

BOOST_AUTO_TEST_CASE(frame_with_an_unknown_number_is_outdated_and_a_damaged_frame_malformed)
{
    pass_to_agent(submit_of(0, 1));
    const std::string good = agent.encode(part_message{request_id{origin, 0}, 1, 0, "bytes"});
    link_codec other_link;
    BOOST_TEST((other_link.decode(good).kind == frame_kind::outdated));
    for (std::size_t n = 0; n < good.size(); ++n) {
        BOOST_TEST((entry.decode(good.substr(0, n)).kind == frame_kind::malformed));
    }
    BOOST_TEST((entry.decode(good + '\0').kind == frame_kind::malformed));
}

// Guards against a process that ends for lack of stack by strings within strings.
BOOST_AUTO_TEST_CASE(strings_of_unstated_length_do_not_decode)
{
    constexpr std::size_t depth = 4'000'000;
    for (const char open : {'\x7f', '\x5f'}) {
        const auto nested = std::string(depth, open);
        BOOST_TEST((entry.decode(nested).kind == frame_kind::malformed));
        BOOST_TEST((entry.decode("\x82\x01" + nested).kind == frame_kind::malformed));
        BOOST_TEST(!detail::read_cbor(nested));
        BOOST_TEST(!detail::read_cbor("\x82\x01" + nested));
        BOOST_TEST(!detail::read_cbor(std::string{open} + "\x61" + "a\xff"));
        BOOST_TEST(detail::read_cbor("\x78\x03" + std::string(3, open)).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
