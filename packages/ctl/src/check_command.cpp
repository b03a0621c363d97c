#include "check_command.hpp"

#include "input_file.hpp"

namespace hemlocknotch {

nlohmann::ordered_json errors_as_json(std::span<const document_error> errors)
{
    auto list = nlohmann::ordered_json::array();
    for (const document_error& it : errors) {
        list.push_back({{"path", it.path}, {"found", it.found}, {"allowed", it.allowed}});
    }
    return list;
}

void write_errors(std::ostream& out, std::span<const document_error> errors)
{
    for (const document_error& it : errors) {
        out << to_string(it) << '\n';
    }
}

boost::leaf::result<exit_code> run_check(const command_options& options, const command_output& output)
{
    BOOST_LEAF_AUTO(document, read_input_file(options.file));
    constexpr std::uint64_t any_revision = 1;
    const configuration_read_result reading = read_configuration(document, any_revision);
    if (output.is_json) {
        const nlohmann::ordered_json result{{"is_accepted", reading.accepted != nullptr},
                                            {"errors", errors_as_json(reading.errors)}};
        output.out << result.dump() << '\n';
    }
    else if (reading.accepted) {
        output.out << options.file << ": " << reading.accepted->services.size() << " services, "
                   << reading.accepted->profiles.size() << " profiles, "
                   << reading.accepted->client_accounts.size() << " client accounts, no faults\n";
    }
    else {
        write_errors(output.err, reading.errors);
        output.err << options.file << ": " << reading.errors.size() << " faults\n";
    }
    return reading.accepted ? exit_code::done : exit_code::refused;
}

} // namespace hemlocknotch
