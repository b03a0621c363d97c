#include "edit_commands.hpp"

#include "check_command.hpp"
#include "command_error.hpp"
#include "fleet_reader.hpp"
#include "input_file.hpp"
#include "revision_wait.hpp"

#include <algorithm>
#include <cassert>
#include <optional>

namespace hemlocknotch {
namespace {

namespace leaf = boost::leaf;

nlohmann::ordered_json result_as_json(const edit_result& result)
{
    nlohmann::ordered_json value{{"status", to_string(result.status)},
                                 {"revision", result.revision},
                                 {"detail", result.detail},
                                 {"errors", errors_as_json(result.errors)}};
    auto differences = nlohmann::ordered_json::array();
    for (const configuration_change& it : result.differences) {
        differences.push_back({{"path", it.path}, {"before", it.before}, {"after", it.after}});
    }
    value["differences"] = std::move(differences);
    if (result.winner) {
        value["winner"] = {{"revision", result.winner->revision},
                           {"author", result.winner->author},
                           {"applied_at", result.winner->applied_at}};
    }
    return value;
}

void write_winner(const edit_result& result, std::ostream& err)
{
    if (!result.winner) {
        err << "The configuration was removed meanwhile.\n";
        return;
    }
    err << "Accepted instead: revision " << result.winner->revision << " by " << result.winner->author
        << " at " << result.winner->applied_at << ".\n";
    if (!result.differences.empty()) {
        err << "From that to what you wanted:\n";
    }
    for (const configuration_change& it : result.differences) {
        err << "  " << to_string(it) << '\n';
    }
}

void write_result(const edit_result& result, const command_output& output)
{
    if (output.is_json) {
        output.out << result_as_json(result).dump() << '\n';
        return;
    }
    if (result.status == edit_status::applied || result.status == edit_status::unchanged) {
        output.out << to_string(result.status) << " revision " << result.revision << '\n';
        for (const configuration_change& it : result.differences) {
            output.out << "  " << to_string(it) << '\n';
        }
        return;
    }
    output.err << result.detail << '\n';
    write_errors(output.err, result.errors);
    if (result.status == edit_status::conflict) {
        write_winner(result, output.err);
    }
}

/// Writes the result of an edit and waits for the fleet where that is wanted.
leaf::result<exit_code> finish_edit(command_context& context, const command_options& options,
                                    const edit_result& result, const command_output& output)
{
    write_result(result, output);
    const bool is_in_force = result.status == edit_status::applied || result.status == edit_status::unchanged;
    if (!is_in_force || !options.is_waiting) {
        return exit_code_of(result.status);
    }
    const std::chrono::seconds limit{options.wait_limit_s};
    return wait_for_revision(context, result.revision, limit, output.err);
}

/// Fails where the fleet is to be waited for and there is no address of the instance list, before anything is
/// changed.
leaf::result<void> check_wait(command_context& context, const command_options& options)
{
    if (!options.is_waiting) {
        return {};
    }
    if (auto list = context.instances(); !list) {
        return list.error();
    }
    return {};
}

/// Returns whether an instance or failure domain of this name is in the instance list.
leaf::result<bool> is_listed(command_context& context, const command_options& options)
{
    BOOST_LEAF_AUTO(daemons, read_fleet(context));
    return std::any_of(daemons.begin(), daemons.end(), [&](const observed_daemon& it) {
        const member& process = it.instance.process;
        return options.name ==
               (options.kind == out_of_service_kind::instance ? process.name : process.failure_domain);
    });
}

} // namespace

exit_code exit_code_of(edit_status status)
{
    switch (status) {
    case edit_status::applied:
    case edit_status::unchanged:
        return exit_code::done;
    case edit_status::refused:
        return exit_code::refused;
    case edit_status::conflict:
        return exit_code::conflict;
    case edit_status::unknown:
    case edit_status::unavailable:
        return exit_code::unknown;
    case edit_status::not_found:
        return exit_code::not_found;
    }
    assert(false);
    return exit_code::unknown;
}

leaf::result<exit_code> run_apply(command_context& context, const command_options& options,
                                  const command_output& output)
{
    BOOST_LEAF_AUTO(document, read_input_file(options.file));
    BOOST_LEAF_AUTO(store, context.store());
    if (auto checked = check_wait(context, options); !checked) {
        return checked.error();
    }
    config_editor editor{store, context, options.author};
    std::optional<edit_result> result;
    editor.apply({document, options.revision_above, options.base_revision},
                 [&](const edit_result& value) { result = value; });
    context.run_until([&] { return result.has_value(); });
    return finish_edit(context, options, *result, output);
}

leaf::result<exit_code> run_out_of_service(command_context& context, const command_options& options,
                                           const command_output& output)
{
    const bool is_out = options.chosen == command::take_out;
    BOOST_LEAF_AUTO(store, context.store());
    if (auto checked = check_wait(context, options); !checked) {
        return checked.error();
    }
    if (is_out && context.has_instances()) {
        BOOST_LEAF_AUTO(is_known, is_listed(context, options));
        if (!is_known) {
            return leaf::new_error(command_error{
                exit_code::not_found, "the instance list has no " + options.name,
                "Check the name with hemlocknotchctl status. To take it out before it is listed, leave out "
                "--instances."});
        }
    }
    config_editor editor{store, context, options.author};
    std::optional<edit_result> result;
    editor.change_out_of_service({options.kind, options.name, is_out},
                                 [&](const edit_result& value) { result = value; });
    context.run_until([&] { return result.has_value(); });
    return finish_edit(context, options, *result, output);
}

} // namespace hemlocknotch
