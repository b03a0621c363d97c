#include "oracle.hpp"

#include <random>

namespace hemlocknotch::fuzz {

void require(bool is_satisfied, const std::string& invariant)
{
    if (!is_satisfied) {
        throw invariant_violation{invariant};
    }
}

std::string oracle::body_of(std::size_t n)
{
    constexpr std::size_t max_length = 200;
    std::minstd_rand letters{static_cast<std::uint32_t>(n * 2654435761U + 1)};
    std::string body(letters() % max_length, '\n');
    for (char& it : body) {
        const auto letter = letters() % 27;
        it = letter == 26 ? '\n' : static_cast<char>('a' + letter);
    }
    return body;
}

std::size_t oracle::add(caller_record value)
{
    callers_.push_back(std::move(value));
    return callers_.size() - 1;
}

void oracle::on_execute(std::size_t n)
{
    caller_record& it = at(n);
    ++it.executions;
    require(!it.is_reported_not_run, "a request that was reported as not run is not executed");
    if (it.is_idempotent) {
        return;
    }
    require(it.executions == 1, "a non-idempotent request is executed at most once");
    if (!it.key.empty()) {
        require(++executions_by_key_[it.key] == 1, "at most one request of an idempotency key is executed");
    }
}

void oracle::on_head(std::size_t n)
{
    require(!at(n).has_head && !at(n).is_finished, "an answer begins only once");
    at(n).has_head = true;
}

void oracle::on_part(std::size_t n, const std::string& bytes, std::size_t window)
{
    caller_record& it = at(n);
    require(it.has_head && !it.is_finished, "body bytes arrive between the head and the end of an answer");
    it.received += bytes;
    require(body_of(n).starts_with(it.received), "a caller receives only bytes of its own answer");
    require(it.received.size() - it.consumed <= window, "unconsumed bytes never exceed the reply window");
}

void oracle::on_end(std::size_t n)
{
    require(at(n).has_head, "an answer has a head");
    require(at(n).received == body_of(n), "an answer that ends is complete: caller " + std::to_string(n));
    require(at(n).executions > 0, "an answered request was executed");
    finish(n, "answered");
}

void oracle::on_abort(std::size_t n, const refusal& reason)
{
    require(at(n).has_head, "only an answer that has begun is aborted");
    check_verdict(at(n), reason);
    finish(n, "cut " + std::string{to_string(reason.code)});
}

void oracle::on_refusal(std::size_t n, const refusal& reason)
{
    require(!at(n).has_head, "a request is not refused after its answer has begun");
    check_verdict(at(n), reason);
    finish(n, std::string{to_string(reason.outcome)} + " " + std::string{to_string(reason.code)});
}

void oracle::check_verdict(caller_record& it, const refusal& reason)
{
    it.is_reported_not_run = reason.outcome == verdict::not_run;
    require(!it.is_reported_not_run || it.executions == 0,
            "a request that was executed is not reported as not run");
    require(reason.outcome != verdict::ran, "a request without a complete answer is not reported as ran");
}

void oracle::on_disconnect(std::size_t n)
{
    if (!at(n).is_finished) {
        finish(n, "caller disconnected or entry restarted");
    }
}

void oracle::require_all_finished() const
{
    for (const caller_record& it : callers_) {
        require(it.is_finished, "every caller receives a final answer: exchange " +
                                    std::to_string(it.exchange) + " of entry " + std::to_string(it.entry));
    }
}

void oracle::finish(std::size_t n, const std::string& outcome)
{
    require(!at(n).is_finished, "a caller receives only one final answer");
    at(n).is_finished = true;
    ++outcomes_[outcome];
}

} // namespace hemlocknotch::fuzz
