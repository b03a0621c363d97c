#include "endpoint_pool_fixture.hpp"
#include "message_pieces.hpp"

#include <ostream>
#include <string>

namespace hemlocknotch::daemon {
namespace {

using gateway::call_outcome;

constexpr unsigned rounds = 300;

/// What a call ended with.
struct result {
    bool is_complete = false;
    int status = 0;
    std::string body;

    bool operator==(const result&) const = default;
};

std::ostream& operator<<(std::ostream& out, const result& it)
{
    return out << "complete " << it.is_complete << ", status " << it.status << ", body '" << it.body << "'";
}

/// An answer, and what a sound one ends its call with.
struct drawn_answer {
    std::string bytes;
    result expected;
};

drawn_answer draw_answer(message_generator& random, bool is_head_method)
{
    constexpr std::array<std::string_view, 5> interim{"", "", "HTTP/1.1 100 Continue\r\n\r\n",
                                                      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                                                      "HTTP/1.1 102 Processing\r\nContent-Length: 3\r\n\r\n"};
    constexpr std::array<std::string_view, 7> statuses{
        "200 OK", "200 ", "201 Created", "204 No Content", "404 Not Found", "503 Full", "599 Odd"};
    const auto status = random.pick(statuses);
    const auto body = status.starts_with("204") ? std::string{} : random.body();
    drawn_answer out{.bytes = std::string{random.pick(interim)} + std::string{random.pick(interim)},
                     .expected = {true, std::stoi(std::string{status}), is_head_method ? "" : body}};
    out.bytes += "HTTP/1.1 " + std::string{status} + "\r\n" + random.fields() + "Id: 1\r\nSignature: s\r\n";
    const auto framing = random.draw(3);
    std::string content;
    if (framing == 0) {
        out.bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        content = body;
    }
    else if (framing == 1) {
        out.bytes += "Transfer-Encoding: chunked\r\n";
        content = random.chunked(body);
    }
    else {
        content = body;
    }
    const auto has_body = !is_head_method && !status.starts_with("204");
    out.bytes += random.fields() + "\r\n" + (has_body ? content : "");
    return out;
}

struct answers_fixture {
    /// Ends a call by `it`, cut at `cuts`, and checks that the next call is served.
    static result read(const drawn_answer& it, const std::vector<std::size_t>& cuts, bool is_head_method,
                       bool is_kept)
    {
        pool_fixture with;
        if (is_kept) {
            with.endpoint.answers = {answer("0", "x")};
            with.call("0");
            poll_until(with.loop, [&] { return with.recorder.end_count == 1; });
        }
        const auto ended = with.recorder.end_count;
        const auto is_ended = [&] { return with.recorder.end_count > ended; };
        with.endpoint.received.clear();
        with.method = is_head_method ? "HEAD" : "POST";
        with.body = is_head_method ? "" : "abc";
        with.call("1");
        poll_until(with.loop, [&] { return with.endpoint.received.find("\r\n\r\n") != std::string::npos; });
        BOOST_REQUIRE(with.endpoint.accepted == 1);
        piece_sender{with.loop, with.endpoint.descriptor()}.send(it.bytes, cuts);
        poll_until_quiet(with.loop, [&] { return with.recorder.body.size() + (is_ended() ? 1U : 0U); });
        if (is_ended()) {
            reset_at_close(with.endpoint.descriptor());
        }
        with.endpoint.close_all();
        poll_until(with.loop, [&] { return is_ended() && with.pool.connection_count() == 0; });
        result out{with.recorder.outcome == call_outcome::complete, with.recorder.status, with.recorder.body};
        with.method = "POST";
        with.endpoint.answers = {answer("2", "two")};
        with.call("2");
        poll_until(with.loop, [&] { return with.recorder.end_count > ended + 1; });
        reset_at_close(with.endpoint.descriptor());
        BOOST_TEST(with.recorder.status == 200);
        BOOST_TEST(with.recorder.body == "two");
        return out;
    }

    /// Plays answers that `change` makes of sound ones, as a whole and in pieces.
    template <class Change, class Check>
    static void play(Change change, Check check)
    {
        for (unsigned seed = 1; seed <= rounds; ++seed) {
            message_generator random{seed};
            const auto is_head_method = random.draw(6) == 0;
            const auto is_kept = random.draw(2) == 0;
            auto it = draw_answer(random, is_head_method);
            change(it, random);
            BOOST_TEST_CONTEXT("seed " << seed << ":\n" << it.bytes)
            {
                const auto whole = read(it, {}, is_head_method, is_kept);
                check(it, whole, read(it, random.cuts(it.bytes.size()), is_head_method, is_kept));
            }
        }
    }
};

// Guards against bytes of an endpoint that end the process, or that are read otherwise, by where they are
// cut.
BOOST_FIXTURE_TEST_SUITE(answers_in_pieces_suite, answers_fixture)

BOOST_AUTO_TEST_CASE(sound_answers_are_read_alike_wherever_they_are_cut)
{
    play([](drawn_answer& /*it*/, message_generator& /*random*/) {},
         [](const drawn_answer& it, const result& whole, const result& pieces) {
             BOOST_TEST(whole == it.expected);
             BOOST_TEST(pieces == whole);
         });
}

BOOST_AUTO_TEST_CASE(malformed_answers_are_read_alike_wherever_they_are_cut)
{
    play([](drawn_answer& it, message_generator& random) { it.bytes = random.damage(it.bytes); },
         [](const drawn_answer& /*it*/, const result& whole, const result& pieces) {
             BOOST_TEST(pieces == whole);
         });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
