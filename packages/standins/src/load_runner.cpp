#include <hemlocknotch/standins/load_request.hpp>
#include <hemlocknotch/standins/load_runner.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <string_view>
#include <utility>

namespace hemlocknotch::standins {
namespace {

constexpr duration sample_interval = std::chrono::milliseconds{200};

} // namespace

load_runner::load_runner(event_loop& loop, const deployment_mix& mix, std::vector<trace_record> trace,
                         const load_options& options)
    : loop_{loop},
      mix_{mix},
      trace_{std::move(trace)},
      options_{options},
      metrics_{mix, {options.warm_up, options.length}},
      pool_{loop, options.entries, options.spread, options.seed},
      send_timer_{loop.base(), [this] { send_due(); }},
      close_timer_{loop.base(), [this] { close_ended(); }},
      sample_timer_{loop.base(), [this] { sample_engines(); }},
      end_timer_{loop.base(), [this] { end_sending(); }},
      give_up_timer_{loop.base(), [this] { loop_.stop(); }}
{
    for (const profile_mix& it : mix.model_work) {
        model_profiles_.insert(it.profile);
    }
    for (const account_mix& it : mix.accounts) {
        account_numbers_.emplace(it.account, account_numbers_.size());
    }
    for (const endpoint_address& address : options.engines) {
        engines_.push_back(std::make_unique<page_fetcher>(
            loop.base(), address, "/model", [this](const nlohmann::json& page) {
                if (page.is_object()) {
                    metrics_.on_engine_sample(page.at("running"), page.at("capacity"), since_start());
                }
            }));
    }
}

duration load_runner::since_start() const
{
    return now() - started_;
}

void load_runner::run()
{
    started_ = now();
    send_due();
    sample_engines();
    end_timer_.start(options_.length);
    give_up_timer_.start(options_.length + options_.drain);
    loop_.run();
    while (!open_.empty()) {
        give_up(open_.begin()->first, load_outcome::unfinished);
    }
}

void load_runner::send_due()
{
    while (next_ < trace_.size() && trace_[next_].time <= since_start() && !has_sent_all_) {
        send(trace_[next_]);
        ++next_;
    }
    if (next_ < trace_.size() && !has_sent_all_) {
        send_timer_.start(trace_[next_].time - since_start());
    }
}

void load_runner::send(const trace_record& record)
{
    const std::uint64_t number = records_.size();
    const bool is_model = model_profiles_.contains(record.profile);
    const balanced_entry& entry = pool_.choose(account_numbers_.at(record.account));
    load_request made = make_load_request(record, number, is_model);
    load_record kept;
    kept.number = number;
    kept.account = record.account;
    kept.profile = record.profile;
    kept.entry = entry.name;
    kept.booking = made.booking;
    kept.is_model = is_model;
    kept.sent = since_start();
    records_.push_back(kept);
    if (is_model) {
        metrics_.on_sent(record.account, kept.sent);
    }
    open_call& call = open_[number];
    call.expected = std::move(made.expected);
    client_call::callbacks on;
    on.on_head = [this, number](const call_head& head) { on_head(number, head); };
    on.on_bytes = [this, number](std::string_view bytes) { on_bytes(number, bytes); };
    on.on_end = [this, number](bool is_whole) { on_end(number, is_whole); };
    call.call = std::make_unique<client_call>(loop_.base(), entry.callers, made.call, std::move(on));
}

void load_runner::note_not_waiting(load_record& record)
{
    if (record.is_model && !record.head) {
        metrics_.on_not_waiting(record.account, record.sent, since_start());
    }
    record.head = since_start();
}

void load_runner::on_head(std::uint64_t number, const call_head& head)
{
    load_record& record = records_[number];
    record.status = head.status;
    record.request_id = head.request_id;
    note_not_waiting(record);
    open_.at(number).head = head;
}

void load_runner::on_bytes(std::uint64_t number, std::string_view bytes)
{
    load_record& record = records_[number];
    open_call& call = open_.at(number);
    if (!record.first_byte) {
        record.first_byte = since_start();
    }
    call.received += bytes;
    if (record.is_model && call.head && call.head->verdict == "ran") {
        const auto lines = std::count(bytes.begin(), bytes.end(), '\n');
        metrics_.on_service(record.account, static_cast<double>(lines), since_start());
    }
}

void load_runner::on_end(std::uint64_t number, bool is_whole)
{
    load_record& record = records_[number];
    const open_call& call = open_.at(number);
    if (!record.head) {
        note_not_waiting(record);
        record.head.reset();
    }
    record.ended = since_start();
    record.outcome = judge(call.head, is_whole, call.received, call.expected);
    if (record.outcome == load_outcome::not_run || record.outcome == load_outcome::may_have_run) {
        const nlohmann::json refusal = nlohmann::json::parse(call.received, nullptr, false);
        record.code = refusal.is_object() ? refusal.value("code", std::string{"unknown"}) : "unknown";
    }
    ended_.push_back(number);
    close_timer_.start(duration::zero());
}

void load_runner::close_ended()
{
    for (const std::uint64_t number : ended_) {
        open_.erase(number);
    }
    ended_.clear();
    stop_if_over();
}

void load_runner::sample_engines()
{
    for (const auto& it : engines_) {
        it->fetch();
    }
    sample_timer_.start(sample_interval);
}

void load_runner::end_sending()
{
    has_sent_all_ = true;
    if (options_.is_withdrawing) {
        withdraw_waiting();
    }
    stop_if_over();
}

void load_runner::withdraw_waiting()
{
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, call] : open_) {
        if (!call.head && records_[number].outcome == load_outcome::open) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        give_up(number, load_outcome::withdrawn);
    }
}

void load_runner::give_up(std::uint64_t number, load_outcome outcome)
{
    load_record& record = records_[number];
    if (record.outcome == load_outcome::open) {
        if (!record.head) {
            note_not_waiting(record);
            record.head.reset();
        }
        record.outcome = outcome;
    }
    open_.erase(number);
}

void load_runner::stop_if_over()
{
    if (open_.empty() && (has_sent_all_ || next_ == trace_.size()) && since_start() >= options_.length) {
        loop_.stop();
    }
}

} // namespace hemlocknotch::standins
