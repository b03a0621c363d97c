#include "trace_command.hpp"

#include <hemlocknotch/ctl/span_tree.hpp>

#include "command_error.hpp"
#include "input_file.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace hemlocknotch {
namespace {

namespace leaf = boost::leaf;

constexpr double microseconds_per_millisecond = 1000.0;

/// Appends the spans of the request or trace `id` in `text`, one JSON value a line.
void collect_spans(const std::string& text, const std::string& id, std::vector<recorded_span>& spans)
{
    std::istringstream lines{text};
    std::string line;
    while (std::getline(lines, line)) {
        const auto span = read_span(line);
        if (span && (span->request_id == id || span->trace_id == id)) {
            spans.push_back(*span);
        }
    }
}

void write_row(std::ostream& out, const span_row& row, std::int64_t origin_us)
{
    constexpr int name_width = 28;
    const std::string name = std::string(2 * row.depth, ' ') + row.span.operation;
    const auto start = static_cast<double>(row.span.start_us - origin_us) / microseconds_per_millisecond;
    const auto length = static_cast<double>(row.span.duration_us) / microseconds_per_millisecond;
    out << std::left << std::setw(name_width) << name << std::right << std::fixed << std::setprecision(3)
        << std::setw(12) << start << std::setw(12) << length << "  " << row.span.process << "  "
        << row.span.outcome << '\n';
}

void write_tree(std::ostream& out, const std::vector<span_row>& rows)
{
    const recorded_span& first = rows.front().span;
    out << "request " << first.request_id << "  trace " << first.trace_id << "  account "
        << first.client_account << "  profile " << first.profile << '\n';
    out << "HOP                            START ms   LENGTH ms  PROCESS  OUTCOME\n";
    for (const span_row& it : rows) {
        write_row(out, it, first.start_us);
    }
}

void write_json(std::ostream& out, const std::vector<span_row>& rows)
{
    auto list = nlohmann::ordered_json::array();
    for (const span_row& it : rows) {
        list.push_back({{"depth", it.depth},
                        {"operation", it.span.operation},
                        {"process", it.span.process},
                        {"start_us", it.span.start_us},
                        {"duration_us", it.span.duration_us},
                        {"outcome", it.span.outcome},
                        {"span_id", it.span.span_id},
                        {"parent_id", it.span.parent_id},
                        {"trace_id", it.span.trace_id}});
    }
    out << list.dump() << '\n';
}

} // namespace

leaf::result<exit_code> run_trace(const command_options& options, const command_output& output)
{
    std::vector<recorded_span> spans;
    for (const std::string& it : options.trace_files) {
        BOOST_LEAF_AUTO(text, read_input_file(it));
        collect_spans(text, options.request, spans);
    }
    const std::vector<span_row> rows = arrange_spans(std::move(spans));
    if (rows.empty()) {
        return leaf::new_error(
            command_error{exit_code::not_found, "no span of request " + options.request + " in these files",
                          "Name the trace outputs of all daemons, and the id from Hemlocknotch-Request-Id."});
    }
    if (output.is_json) {
        write_json(output.out, rows);
    }
    else {
        write_tree(output.out, rows);
    }
    return exit_code::done;
}

} // namespace hemlocknotch
