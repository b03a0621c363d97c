#include "program.hpp"

#include "check_command.hpp"
#include "command_context.hpp"
#include "command_error.hpp"
#include "command_line.hpp"
#include "edit_commands.hpp"
#include "explain_command.hpp"
#include "rollouts_command.hpp"
#include "show_commands.hpp"
#include "status_command.hpp"
#include "trace_command.hpp"

#include <boost/leaf.hpp>

#include <cassert>

namespace hemlocknotch {
namespace {

namespace leaf = boost::leaf;

leaf::result<exit_code> run_command(const command_options& options, const command_output& output)
{
    command_context context{options};
    switch (options.chosen) {
    case command::check:
        return run_check(options, output);
    case command::apply:
        return run_apply(context, options, output);
    case command::show:
        return run_show(context, options, output);
    case command::diff:
        return run_diff(context, options, output);
    case command::history:
        return run_history(context, options, output);
    case command::take_out:
    case command::put_back:
        return run_out_of_service(context, options, output);
    case command::status:
        return run_status(context, options, output);
    case command::explain:
        return run_explain(options, output);
    case command::rollouts:
        return run_rollouts(context, options, output);
    case command::trace:
        return run_trace(options, output);
    }
    assert(false);
    return exit_code::usage;
}

} // namespace

int run_program(int argc, const char* const* argv, std::ostream& out, std::ostream& err)
{
    const command_line_reading line = read_command_line(argc, argv, out, err);
    if (!line.options) {
        return line.exit_code;
    }
    const command_output output{out, err, line.options->is_json};
    const exit_code code =
        leaf::try_handle_all([&] { return run_command(*line.options, output); },
                             [&](const command_error& error) {
                                 err << "hemlocknotchctl: " << error.message << "\n" << error.remedy << '\n';
                                 return error.code;
                             },
                             [&](const leaf::error_info& info) {
                                 err << "hemlocknotchctl: unexpected error: " << info << '\n';
                                 return exit_code::unknown;
                             });
    return static_cast<int>(code);
}

} // namespace hemlocknotch
