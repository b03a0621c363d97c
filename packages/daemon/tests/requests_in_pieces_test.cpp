#include "caller_server_fixture.hpp"
#include "message_pieces.hpp"

#include <algorithm>
#include <ostream>

namespace hemlocknotch::daemon {
namespace {

constexpr unsigned rounds = 1000;

/// What a server took and answered.
struct reading {
    std::vector<std::string> requests;
    std::string answers;

    bool operator==(const reading&) const = default;
};

std::ostream& operator<<(std::ostream& out, const reading& it)
{
    for (const auto& request : it.requests) {
        out << "\n[" << request << "]";
    }
    return out << "\nanswers: " << it.answers;
}

std::string text_of(const gateway::caller_request& it)
{
    auto out = it.method + " " + it.target + " " + it.host + "\n";
    for (const auto& field : it.headers) {
        out += field.name + "=" + field.value + "\n";
    }
    return out + it.body;
}

std::vector<std::string> statuses_of(const std::string& answers)
{
    std::vector<std::string> out;
    for (auto at = answers.find("HTTP/1.1 "); at != std::string::npos;
         at = answers.find("\nHTTP/1.1 ", at + 1)) {
        out.push_back(answers.substr(answers.find(' ', at) + 1, 3));
    }
    return out;
}

/// Returns whether the shorter one is the begin of the longer one.
bool agree(const std::vector<std::string>& left, const std::vector<std::string>& right)
{
    return std::equal(left.begin(),
                      left.begin() + static_cast<std::ptrdiff_t>(std::min(left.size(), right.size())),
                      right.begin());
}

std::string sound_request(message_generator& random)
{
    constexpr std::array<std::string_view, 3> methods{"POST", "PUT", "QUERY"};
    const auto body = random.body();
    auto out =
        std::string{random.pick(methods)} + " /a HTTP/1.1\r\nHost: h\r\n" + random.fields() + "Id: 1\r\n";
    const auto is_chunked = random.draw(2) == 0;
    out += is_chunked ? "Transfer-Encoding: chunked\r\n"
                      : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + random.fields() + "\r\n" + (is_chunked ? random.chunked(body) : body);
}

struct pieces_fixture : server_fixture {
    pieces_fixture() { recorder.server = &server; }

    reading read(std::string_view bytes, const std::vector<std::size_t>& cuts)
    {
        poll_until(loop, [&] { return server.connection_count() == 0; });
        recorder.requests.clear();
        blocking_client client{port};
        poll_until(loop, [&] { return server.connection_count() == 1; });
        piece_sender{loop, client.descriptor()}.send(bytes, cuts);
        poll_until_quiet(loop, [&] { return recorder.requests.size() + client.receive().size(); });
        reading out;
        for (const auto& it : recorder.requests) {
            out.requests.push_back(text_of(*it));
        }
        out.answers = client.receive();
        reset_at_close(client.descriptor());
        return out;
    }

    /// Reads `bytes` as a whole and in pieces, and a sound request after each.
    template <class Check>
    void play(unsigned seed, const std::string& bytes, message_generator& random, Check check)
    {
        BOOST_TEST_CONTEXT("seed " << seed << ":\n" << bytes)
        {
            const auto whole = read(bytes, {});
            check(whole, read(bytes, random.cuts(bytes.size())));
            BOOST_TEST(read(head + "\r\n", {}).answers.starts_with("HTTP/1.1 200 "));
        }
    }
};

// Guards against bytes of a caller that end the process, or that are read otherwise, by where they are cut.
BOOST_FIXTURE_TEST_SUITE(requests_in_pieces_suite, pieces_fixture)

BOOST_AUTO_TEST_CASE(a_body_after_a_blank_line_in_pieces_is_no_folded_line)
{
    const std::string body = "a\r\n b\r\n\r\n";
    const auto bytes = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        BOOST_TEST(read(bytes, {cut}).answers.ends_with(body));
    }
}

BOOST_AUTO_TEST_CASE(a_folded_line_is_refused_wherever_it_is_cut)
{
    const auto bytes = head + "A: a\r\n b\r\nC: c\r\n\r\n";
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        BOOST_TEST(read(bytes, {cut}).answers.starts_with("HTTP/1.1 400 "));
    }
}

BOOST_AUTO_TEST_CASE(sound_requests_are_read_alike_wherever_they_are_cut)
{
    for (unsigned seed = 1; seed <= rounds; ++seed) {
        message_generator random{seed};
        const auto n = 1 + random.draw(3);
        std::string bytes;
        for (std::size_t i = 0; i < n; ++i) {
            bytes += sound_request(random);
        }
        play(seed, bytes, random, [&](const reading& whole, const reading& pieces) {
            BOOST_TEST(whole.requests.size() == n);
            BOOST_TEST(pieces == whole);
        });
    }
}

BOOST_AUTO_TEST_CASE(malformed_requests_are_read_alike_wherever_they_are_cut)
{
    for (unsigned seed = 1; seed <= rounds; ++seed) {
        message_generator random{seed};
        const auto begin = random.draw(2) == 0 ? sound_request(random) : "";
        play(seed, begin + random.damage(sound_request(random)), random,
             [&](const reading& whole, const reading& pieces) {
                 BOOST_TEST(whole.requests.size() >= (begin.empty() ? 0U : 1U));
                 BOOST_TEST(pieces.requests == whole.requests, boost::test_tools::per_element());
                 // A fault may be noticed with the end of the head only.
                 BOOST_TEST(agree(statuses_of(pieces.answers), statuses_of(whole.answers)));
             });
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
