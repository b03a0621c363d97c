#include "gateway/message_parser.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

constexpr std::size_t max_header_bytes = 16'384;
constexpr std::uint64_t max_body_bytes = 100'000;

const std::string request_head = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string answer_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// How a message was read.
struct reading {
    bool is_done = false;
    bool has_fault = false;
    std::string body;

    bool operator==(const reading&) const = default;
};

std::ostream& operator<<(std::ostream& out, const reading& it)
{
    return out << "done " << it.is_done << ", fault " << it.has_fault << ", body '" << it.body << "'";
}

/// Reads `bytes` as they arrive in pieces that end at `cuts`, as connections do: what the parser leaves is
/// passed again with the next piece.
template <class Parser>
reading read(std::string_view bytes, std::vector<std::size_t> cuts)
{
    Parser parser{max_header_bytes, max_body_bytes};
    reading out;
    std::string input;
    std::size_t begin = 0;
    cuts.push_back(bytes.size());
    for (const auto cut : cuts) {
        input += bytes.substr(begin, cut - begin);
        begin = cut;
        while (!input.empty() && !out.is_done && !out.has_fault) {
            boost::beast::error_code fault;
            const auto n = parser.parse(input, fault);
            input.erase(0, n);
            out.has_fault = static_cast<bool>(fault);
            out.is_done = parser.is_done();
            if (n == 0) {
                break;
            }
        }
    }
    out.body = parser.body();
    return out;
}

/// Checks that `head` with `rest` is read alike in one piece and in up to three, wherever `rest` is cut.
template <class Parser>
void check_cuts(const std::string& head, const std::string& rest)
{
    BOOST_TEST_CONTEXT(rest)
    {
        const auto bytes = head + rest;
        const auto whole = read<Parser>(bytes, {});
        for (auto first = head.size(); first < bytes.size(); ++first) {
            for (auto second = first; second < bytes.size(); ++second) {
                BOOST_TEST(read<Parser>(bytes, {first, second}) == whole);
            }
        }
    }
}

std::string draw_rest(std::minstd_rand& random)
{
    constexpr std::array parts{
        "0",  "1",     "3",   "\r\n", "\r", "\n", "a", "abc",           ";a=b",  "T: t",
        "0;", "00000", "A: ", ":",    " ",  "\"", "f", "\r\n0\r\n\r\n", "0\r\n", "3\r\nabc\r\n"};
    std::string out;
    const auto draw = [&](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>{0, n - 1}(random);
    };
    for (auto n = draw(8); n > 0; --n) {
        out += parts.at(draw(parts.size()));
    }
    return out;
}

BOOST_AUTO_TEST_SUITE(message_parser_suite)

BOOST_AUTO_TEST_CASE(a_last_chunk_that_arrives_in_pieces_does_not_end_the_process)
{
    for (const auto* rest : {"0\r\n\r\n", "0\r\nT: t\r\n\r\n", "000\r\n\r\n", "0;a=b\r\n\r\n",
                             "3\r\nabc\r\n0\r\n\r\n", "1\r\na\r\n2\r\nbc\r\n0\r\nT: t\r\nU: u\r\n\r\n"}) {
        check_cuts<request_parser>(request_head, rest);
        check_cuts<answer_parser>(answer_head, rest);
    }
}

BOOST_AUTO_TEST_CASE(malformed_framing_in_pieces_does_not_end_the_process)
{
    std::minstd_rand random{1};
    for (int n = 0; n < 300; ++n) {
        const auto rest = draw_rest(random);
        check_cuts<request_parser>(request_head, rest);
        check_cuts<answer_parser>(answer_head, rest);
    }
}

BOOST_AUTO_TEST_CASE(a_chunk_is_read_as_soon_as_it_has_arrived)
{
    answer_parser parser{max_header_bytes, max_body_bytes};
    boost::beast::error_code fault;
    parser.parse(answer_head, fault);
    parser.parse("3\r\nabc\r\n", fault);
    BOOST_TEST(parser.body() == "abc");
    parser.parse("\r\n2\r\nde", fault);
    BOOST_TEST(parser.body() == "abcde");
    BOOST_TEST(!fault);
}

// Guards against a head that passes the limit because each of its pieces stays below it.
BOOST_AUTO_TEST_CASE(the_limit_of_a_head_holds_for_the_sum_of_its_pieces)
{
    request_parser parser{max_header_bytes, max_body_bytes};
    boost::beast::error_code fault;
    parser.parse("GET /x HTTP/1.1\r\nHost: h\r\nA", fault);
    std::size_t sent = 0;
    while (!fault && sent <= 2 * max_header_bytes) {
        const auto field = "A: " + std::string(1000, 'a') + "\r\nA";
        sent += parser.parse(field, fault);
    }
    BOOST_TEST((fault == boost::beast::http::error::header_limit));
    BOOST_TEST(sent <= max_header_bytes);
}

BOOST_AUTO_TEST_CASE(a_head_is_limited_alike_wherever_it_is_cut)
{
    const std::string begin = "GET /x HTTP/1.1\r\nHost: h\r\nA: ";
    const std::string end = "\r\nB: b\r\n\r\n";
    for (const auto excess : {0, 1, 2, 20}) {
        auto bytes = begin;
        bytes.append(max_header_bytes - begin.size() - end.size() + excess, 'a');
        bytes += end;
        const auto whole = read<request_parser>(bytes, {});
        BOOST_TEST(whole.is_done == (excess == 0));
        BOOST_TEST(whole.has_fault == (excess != 0));
        for (std::size_t cut = bytes.size() - 40; cut < bytes.size(); ++cut) {
            BOOST_TEST(read<request_parser>(bytes, {18, cut}) == whole);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
