// Measures the CPU time to encode and decode the most frequent messages, and their encoded size.

#include <hemlocknotch/wire/message_codec.hpp>

#include "link_codec.hpp"

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <optional>
#include <string>

namespace {

using namespace hemlocknotch;

double microseconds_each(int count, const auto& work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < count; ++n) {
        work();
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / count;
}

/// Reports `value` in the short form, which a link uses once the dispatch has been submitted over it.
void report_short(const message& value, const submit_message& submitted)
{
    constexpr int count = 100'000;
    detail::link_codec entry;
    detail::link_codec agent;
    static_cast<void>(agent.decode(entry.encode(submitted)));
    const std::string bytes = agent.encode(value);
    std::size_t total = 0;
    const double encode = microseconds_each(count, [&] { total += agent.encode(value).size(); });
    const double decode = microseconds_each(
        count, [&] { total += entry.decode(bytes).kind == detail::frame_kind::message ? 1 : 0; });
    const std::string kind = std::string{kind_of(value)} + " (short)";
    std::printf("%-16s %8zu %12zu %10.2f %10.2f %s\n", kind.c_str(), bytes.size(),
                bytes.size() - body_bytes_of(value), encode, decode, total == 0 ? "!" : "");
}

void report(const message& value)
{
    constexpr int count = 100'000;
    const std::string bytes = encode_message(value);
    std::size_t total = 0;
    const double encode = microseconds_each(count, [&] { total += encode_message(value).size(); });
    const double decode =
        microseconds_each(count, [&] { total += decode_message(bytes).has_value() ? 1 : 0; });
    const std::string kind{kind_of(value)};
    std::printf("%-16s %8zu %12zu %10.2f %10.2f %s\n", kind.c_str(), bytes.size(),
                bytes.size() - body_bytes_of(value), encode, decode, total == 0 ? "!" : "");
}

} // namespace

int main()
{
    constexpr request_id id{0xb91ae666606fe4f9ULL, 1'000'000};
    constexpr std::uint64_t offset = 3'000;
    constexpr std::size_t line_bytes = 31;
    std::printf("%-16s %8s %12s %10s %10s\n", "message", "bytes", "control", "encode us", "decode us");
    report(part_message{id, 1, offset, std::string(line_bytes, 'x')});
    report(ack_message{id, 1, offset, false});
    report(end_message{id, 1, verdict::ran, offset, 100.0, refusal_code::endpoint_failed, duration{1'000},
                       duration{3'000'000}});
    submit_message submit;
    submit.id = id;
    submit.account_name = "township-north";
    submit.profile = "planting-calendar";
    submit.headers = {{"Content-Type", "application/json"}, {"Accept", "*/*"}};
    submit.method = "POST";
    submit.target = "/v1/generate";
    submit.body = std::string(500, 'x');
    submit.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    report(submit);
    report_short(part_message{id, 1, offset, std::string(line_bytes, 'x')}, submit);
    report_short(ack_message{id, 1, offset, false}, submit);
    return 0;
}
