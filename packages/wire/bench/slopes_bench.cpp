// Measures how an entry's memory, CPU time and messages grow with load, for docs/CAPACITY.md: takes three or
// more sizes for each measure, fits a line by least squares and prints its slope with the standard error.
// Covers the reducer and the codec only; tools/measure measures complete processes, sockets included.

#include <hemlocknotch/wire/message_codec.hpp>

#include "entry_driver.hpp"
#include "line_fit.hpp"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace hemlocknotch;
using bench::entry_driver;

constexpr std::uint32_t ample_slots = 1'000'000;
constexpr std::size_t body_bytes = 500;

double bytes_in_use()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double cpu_microseconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    constexpr double per_second = 1e6;
    constexpr double per_nanosecond = 1e-3;
    return static_cast<double>(now.tv_sec) * per_second + static_cast<double>(now.tv_nsec) * per_nanosecond;
}

/// Returns by how much the value of `measure` increases while `work` runs.
double growth(const std::function<double()>& measure, const std::function<void()>& work)
{
    const double before = measure();
    work();
    return measure() - before;
}

void report(const char* name, const char* unit, std::initializer_list<std::size_t> sizes,
            const std::function<double(std::size_t)>& measure)
{
    std::vector<bench::point> points;
    for (const std::size_t n : sizes) {
        points.push_back({static_cast<double>(n), measure(n)});
    }
    const bench::line_fit fit = bench::fit_line(points);
    std::printf("%-44s %12.3f %10.3f %14.1f  %s\n", name, fit.slope, fit.slope_error, fit.intercept, unit);
}

double memory_of_links(std::size_t n)
{
    std::unique_ptr<entry_driver> entry;
    return growth(bytes_in_use, [&] { entry = std::make_unique<entry_driver>(1, n); });
}

double memory_of_accounts(std::size_t n)
{
    std::unique_ptr<entry_driver> entry;
    return growth(bytes_in_use, [&] { entry = std::make_unique<entry_driver>(n, 1); });
}

double memory_of_counters(std::size_t n)
{
    entry_driver entry{n, 1};
    return growth(bytes_in_use, [&] { entry.report_service(1, n); });
}

double memory_of_waiting(std::size_t n)
{
    constexpr std::size_t account_count = 64;
    entry_driver entry{account_count, 1};
    return growth(bytes_in_use, [&] {
        for (std::size_t i = 0; i < n; ++i) {
            entry.request(i % account_count, body_bytes);
        }
    });
}

double time_of_requests(std::size_t n, std::size_t parts)
{
    entry_driver entry{1, 1};
    entry.advertise_slots(1, ample_slots);
    return growth(cpu_microseconds, [&] {
        for (std::size_t i = 0; i < n; ++i) {
            entry.answer(entry.request(0, body_bytes), parts);
        }
    });
}

double time_of_parts(std::size_t n)
{
    constexpr std::size_t request_count = 200;
    return time_of_requests(request_count, n) / request_count;
}

double time_of_heartbeats(std::size_t n)
{
    entry_driver entry{1, 1};
    return growth(cpu_microseconds, [&] {
        for (std::size_t i = 0; i < n; ++i) {
            entry.deliver(1, heartbeat_message{i, false});
        }
    });
}

double time_of_report_items(std::size_t n)
{
    constexpr int report_count = 20;
    entry_driver entry{n, 1};
    return growth(cpu_microseconds,
                  [&] {
                      for (int i = 0; i < report_count; ++i) {
                          entry.report_service(1, n);
                      }
                  }) /
           report_count;
}

double time_of_ticks(std::size_t links)
{
    constexpr int tick_count = 200;
    entry_driver entry{1, links};
    return growth(cpu_microseconds,
                  [&] {
                      for (int i = 0; i < tick_count; ++i) {
                          entry.advance(std::chrono::milliseconds{1});
                      }
                  }) /
           tick_count;
}

double bytes_of_totals(std::size_t n)
{
    service_totals_message value;
    for (std::size_t i = 0; i < n; ++i) {
        constexpr std::uint64_t charged = 1'000'000;
        value.items.push_back({account_key::of("client-account-" + std::to_string(i)), charged + i});
    }
    return static_cast<double>(encode_message(value).size());
}

double bytes_of_own_report(std::size_t n)
{
    service_report_message value;
    value.sources.push_back({{"agent-1", ~0ULL}, {}});
    for (std::size_t i = 0; i < n; ++i) {
        constexpr std::uint64_t sequence = 10'000;
        constexpr double charged = 100'000.5;
        value.sources[0].items.push_back(
            {account_key::of("client-account-" + std::to_string(i)), sequence, charged});
    }
    return static_cast<double>(encode_message(value).size());
}

double bytes_of_demand(std::size_t n)
{
    demand_message value;
    for (std::size_t i = 0; i < n; ++i) {
        constexpr duration age{1'500'000};
        constexpr double cost = 350.25;
        value.items.push_back({account_key::of("client-account-" + std::to_string(i)), 1000, age, cost});
    }
    return static_cast<double>(encode_message(value).size());
}

} // namespace

int main()
{
    std::printf("%-44s %12s %10s %14s  %s\n", "entry: what grows, by", "slope", "error", "intercept", "unit");
    report("memory by link", "B", {50, 100, 200, 400}, memory_of_links);
    report("memory by client account in configuration", "B", {1000, 4000, 9400}, memory_of_accounts);
    report("memory by counter (account and agent)", "B", {1000, 4000, 9400}, memory_of_counters);
    report("memory by waiting request, body 500 B", "B", {1000, 4000, 16000}, memory_of_waiting);
    report("processor time by request, no parts", "us", {1000, 2000, 4000, 8000},
           [](std::size_t n) { return time_of_requests(n, 0); });
    report("processor time by streamed part", "us", {10, 100, 400}, time_of_parts);
    report("processor time by heartbeat", "us", {1000, 4000, 16000}, time_of_heartbeats);
    report("processor time by counter in a report", "us", {100, 400, 1600}, time_of_report_items);
    report("processor time of a tick by link", "us", {50, 100, 200, 400}, time_of_ticks);
    report("bytes of a sum in totals to an agent", "B", {19, 190, 940}, bytes_of_totals);
    report("bytes of a counter in an agent's report", "B", {19, 190, 940}, bytes_of_own_report);
    report("bytes of an account in demand", "B", {19, 190, 940}, bytes_of_demand);
    return 0;
}
