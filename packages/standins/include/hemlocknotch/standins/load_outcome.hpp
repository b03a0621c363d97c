#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/standins/client_call.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::standins {

/// How one request of the load ended, as its caller sees it.
enum class load_outcome : std::uint8_t {
    /// Not over yet.
    open,
    /// The whole right answer.
    whole,
    /// Refused with verdict `not-run`.
    not_run,
    /// Ended with verdict `may-have-run`.
    may_have_run,
    /// The connection ended before the answer did, after its head had come.
    cut,
    /// The connection ended without a head.
    no_answer,
    /// An answer that looks whole and is short.
    short_answer,
    /// An answer that looks whole and is not this request's.
    wrong_answer,
    /// The endpoint answered with an error of its own.
    endpoint_error,
    /// The caller left before the answer began.
    withdrawn,
    /// The caller left in mid-answer, at the end of the run.
    unfinished,
};

/// Returns the text of `outcome`, such as `may-have-run`.
std::string_view to_string(load_outcome outcome);

/// Decides how a request ended: `head` is nothing where none came, `is_ended` whether the answer came to its
/// proper end, `received` its body and `expected` the right one.
load_outcome judge(const std::optional<call_head>& head, bool is_ended, std::string_view received,
                   std::string_view expected);

/// What is kept of one request of the load.
struct load_record {
    std::uint64_t number = 0;
    std::string account;
    std::string profile;
    std::string entry;
    std::string booking;
    bool is_model = false;
    duration sent{};
    std::optional<duration> head;
    std::optional<duration> first_byte;
    std::optional<duration> ended;
    load_outcome outcome = load_outcome::open;
    int status = 0;
    /// Code of a refusal; empty for an answer.
    std::string code;
    std::string request_id;
};

} // namespace hemlocknotch::standins
