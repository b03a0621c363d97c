#pragma once

#include <hemlocknotch/standins/client_call.hpp>
#include <hemlocknotch/standins/entry_pool.hpp>
#include <hemlocknotch/standins/event_loop.hpp>
#include <hemlocknotch/standins/load_metrics.hpp>
#include <hemlocknotch/standins/load_outcome.hpp>
#include <hemlocknotch/standins/page_fetcher.hpp>
#include <hemlocknotch/standins/trace_generator.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlocknotch::standins {

struct load_options {
    std::vector<balanced_entry> entries;
    /// Where engines tell what they do.
    std::vector<endpoint_address> engines;
    account_spread spread = account_spread::even;
    std::uint64_t seed = 1;
    /// The utilisation is taken from here on, so that what was started has found its pace.
    duration warm_up{};
    /// Requests are sent for this long ...
    duration length = std::chrono::seconds{45};
    /// ... and may end within this.
    duration drain = std::chrono::seconds{10};
    /// Whether requests whose answer has not begun after `length` are given up at once.
    bool is_withdrawing = true;
};

/// Replays a trace against entries and checks every answer. One thread.
class load_runner {
public:
    /// Precondition: every account and profile of `trace` is in `mix`. `loop` must outlive the runner.
    load_runner(event_loop& loop, const deployment_mix& mix, std::vector<trace_record> trace,
                const load_options& options);
    load_runner(const load_runner&) = delete;
    load_runner& operator=(const load_runner&) = delete;
    load_runner(load_runner&&) = delete;
    load_runner& operator=(load_runner&&) = delete;
    ~load_runner() = default;

    /// Runs the loop until the load is over.
    void run();

    /// Returns what became of each request.
    [[nodiscard]] const std::vector<load_record>& records() const { return records_; }

    /// Returns the figures.
    [[nodiscard]] const load_metrics& metrics() const { return metrics_; }

private:
    struct open_call {
        std::string expected;
        std::string received;
        std::optional<call_head> head;
        std::unique_ptr<client_call> call;
    };

    void send_due();
    void send(const trace_record& record);
    void on_head(std::uint64_t number, const call_head& head);
    void on_bytes(std::uint64_t number, std::string_view bytes);
    void on_end(std::uint64_t number, bool is_whole);
    void note_not_waiting(load_record& record);
    void close_ended();
    void sample_engines();
    void end_sending();
    void withdraw_waiting();
    void give_up(std::uint64_t number, load_outcome outcome);
    void stop_if_over();
    [[nodiscard]] duration since_start() const;

    event_loop& loop_;
    deployment_mix mix_;
    std::vector<trace_record> trace_;
    load_options options_;
    load_metrics metrics_;
    entry_pool pool_;
    std::set<std::string, std::less<>> model_profiles_;
    std::map<std::string, std::size_t, std::less<>> account_numbers_;
    instant started_;
    std::size_t next_ = 0;
    std::vector<load_record> records_;
    std::map<std::uint64_t, open_call> open_;
    std::vector<std::uint64_t> ended_;
    bool has_sent_all_ = false;
    std::vector<std::unique_ptr<page_fetcher>> engines_;
    timer send_timer_;
    timer close_timer_;
    timer sample_timer_;
    timer end_timer_;
    timer give_up_timer_;
};

} // namespace hemlocknotch::standins
