#include "show_commands.hpp"

#include <hemlocknotch/ctl/configuration_difference.hpp>
#include <hemlocknotch/ctl/document_editor.hpp>

#include "check_command.hpp"
#include "command_error.hpp"
#include "input_file.hpp"

#include <optional>

namespace hemlocknotch {
namespace {

namespace leaf = boost::leaf;
using nlohmann::ordered_json;

/// Reads `revision`, 0 for the one in force. Fails where the service gives no answer; an absent revision is
/// no failure.
leaf::result<current_configuration> read_revision(command_context& context, std::uint64_t revision)
{
    BOOST_LEAF_AUTO(store, context.store());
    config_editor editor{store, context, ""};
    std::optional<current_configuration> read;
    const auto keep = [&](const current_configuration& value) { read = value; };
    if (revision == 0) {
        editor.read(keep);
    }
    else {
        editor.read_revision(revision, keep);
    }
    context.run_until([&] { return read.has_value(); });
    if (read->status != store_status::ok && read->status != store_status::absent) {
        const std::string reason = read->status == store_status::refused ? "is over its rate limit"
                                                                         : "gave no answer that can be read";
        return leaf::new_error(command_error{exit_code::unknown, "the key-value service " + reason,
                                             "Check --store, or try again when the service is up."});
    }
    return *read;
}

configuration_ptr parse(const current_configuration& current)
{
    return current.status == store_status::ok
               ? read_configuration(current.envelope.document, current.envelope.revision).accepted
               : nullptr;
}

command_error no_configuration(std::uint64_t revision)
{
    if (revision == 0) {
        return {exit_code::not_found, "no configuration has been applied yet",
                "Apply one with hemlocknotchctl apply FILE."};
    }
    return {exit_code::not_found, "revision " + std::to_string(revision) + " is not kept",
            "List the kept revisions with hemlocknotchctl history."};
}

ordered_json changes_as_json(const std::vector<configuration_change>& changes)
{
    auto list = ordered_json::array();
    for (const configuration_change& it : changes) {
        list.push_back({{"path", it.path}, {"before", it.before}, {"after", it.after}});
    }
    return list;
}

ordered_json envelope_as_json(const configuration_envelope& envelope)
{
    return {
        {"revision", envelope.revision}, {"author", envelope.author}, {"applied_at", envelope.applied_at}};
}

void write_changes(std::ostream& out, const std::vector<configuration_change>& changes, std::size_t limit)
{
    for (std::size_t n = 0; n < std::min(changes.size(), limit); ++n) {
        out << "  " << to_string(changes[n]) << '\n';
    }
    if (changes.size() > limit) {
        out << "  and " << changes.size() - limit << " more\n";
    }
}

void write_history_item(const current_configuration& current,
                        const std::optional<current_configuration>& before, const command_output& output)
{
    constexpr std::size_t max_changes = 5;
    const configuration_ptr after = parse(current);
    const bool has_before = before && before->status == store_status::ok;
    const bool is_first = current.envelope.revision == 1;
    std::vector<configuration_change> changes;
    if (after && (has_before || is_first)) {
        changes = compare_configurations(has_before ? parse(*before) : nullptr, after);
    }
    if (output.is_json) {
        ordered_json value = envelope_as_json(current.envelope);
        value["changes"] = changes_as_json(changes);
        output.out << value.dump() << '\n';
        return;
    }
    output.out << "revision " << current.envelope.revision << "  " << current.envelope.applied_at << "  "
               << current.envelope.author << '\n';
    write_changes(output.out, changes, max_changes);
}

} // namespace

leaf::result<exit_code> run_show(command_context& context, const command_options& options,
                                 const command_output& output)
{
    BOOST_LEAF_AUTO(current, read_revision(context, options.revision));
    if (current.status == store_status::absent) {
        return leaf::new_error(no_configuration(options.revision));
    }
    const configuration_envelope& envelope = current.envelope;
    if (output.is_json) {
        ordered_json value = envelope_as_json(envelope);
        value["document"] = envelope.document;
        output.out << value.dump() << '\n';
        return exit_code::done;
    }
    output.err << "revision " << envelope.revision << " by " << envelope.author << " at "
               << envelope.applied_at << '\n';
    output.out << envelope.document;
    if (!envelope.document.ends_with('\n')) {
        output.out << '\n';
    }
    return exit_code::done;
}

leaf::result<exit_code> run_diff(command_context& context, const command_options& options,
                                 const command_output& output)
{
    BOOST_LEAF_AUTO(document, read_input_file(options.file));
    constexpr std::uint64_t any_revision = 1;
    const configuration_read_result reading = read_configuration(document, any_revision);
    if (!reading.accepted) {
        write_errors(output.err, reading.errors);
        return exit_code::refused;
    }
    BOOST_LEAF_AUTO(current, read_revision(context, 0));
    const configuration_ptr before = parse(current);
    const std::string applied = keep_out_of_service(document, before ? before->out : out_of_service{});
    const std::vector<configuration_change> changes =
        compare_configurations(before, read_configuration(applied, any_revision).accepted);
    if (output.is_json) {
        output.out << changes_as_json(changes).dump() << '\n';
        return exit_code::done;
    }
    output.err << changes.size() << " values differ from revision " << current.envelope.revision << '\n';
    write_changes(output.out, changes, changes.size());
    return exit_code::done;
}

leaf::result<exit_code> run_history(command_context& context, const command_options& options,
                                    const command_output& output)
{
    BOOST_LEAF_AUTO(newest, read_revision(context, 0));
    if (newest.status == store_status::absent) {
        return leaf::new_error(no_configuration(0));
    }
    current_configuration current = newest;
    for (std::uint32_t n = 0; n < options.history_limit; ++n) {
        const std::uint64_t revision = current.envelope.revision;
        std::optional<current_configuration> before;
        if (revision > 1) {
            BOOST_LEAF_ASSIGN(before, read_revision(context, revision - 1));
        }
        write_history_item(current, before, output);
        if (!before || before->status != store_status::ok) {
            break;
        }
        current = *before;
    }
    return exit_code::done;
}

} // namespace hemlocknotch
