#include <hemlocknotch/standins/load_outcome.hpp>

#include <cassert>

namespace hemlocknotch::standins {
namespace {

constexpr int first_error_status = 400;

} // namespace

std::string_view to_string(load_outcome outcome)
{
    switch (outcome) {
    case load_outcome::open:
        return "open";
    case load_outcome::whole:
        return "whole";
    case load_outcome::not_run:
        return "not-run";
    case load_outcome::may_have_run:
        return "may-have-run";
    case load_outcome::cut:
        return "cut";
    case load_outcome::no_answer:
        return "no-answer";
    case load_outcome::short_answer:
        return "short-answer";
    case load_outcome::wrong_answer:
        return "wrong-answer";
    case load_outcome::endpoint_error:
        return "endpoint-error";
    case load_outcome::withdrawn:
        return "withdrawn";
    case load_outcome::unfinished:
        return "unfinished";
    }
    assert(false);
    return "";
}

load_outcome judge(const std::optional<call_head>& head, bool is_ended, std::string_view received,
                   std::string_view expected)
{
    if (!head) {
        return load_outcome::no_answer;
    }
    if (head->verdict == "not-run") {
        return load_outcome::not_run;
    }
    if (head->verdict == "may-have-run") {
        return load_outcome::may_have_run;
    }
    if (!is_ended || !head->is_framed) {
        return load_outcome::cut;
    }
    if (head->status >= first_error_status) {
        return load_outcome::endpoint_error;
    }
    if (received == expected) {
        return load_outcome::whole;
    }
    return expected.starts_with(received) ? load_outcome::short_answer : load_outcome::wrong_answer;
}

} // namespace hemlocknotch::standins
