#pragma once

#include <hemlocknotch/coordination/configuration_envelope.hpp>
#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/ctl/config_editor.hpp>
#include <hemlocknotch/ctl/edit_environment.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hemlocknotch {

/// How the write of an envelope ended.
struct write_result {
    /// `ok`: accepted, though perhaps followed by another. `conflict`: not accepted and never will be.
    /// `refused`: nothing was done. `unknown`: accepted or not, now or later.
    store_status status = store_status::unknown;
    /// Conflict: what stands, if anything does.
    std::optional<configuration_envelope> winner;
};

/// One attempt to replace the configuration in force by compare-and-swap, to the end: a lost answer is
/// settled by reading back, and the same write is sent again against the same version while that is still in
/// place. Owns itself until `done` has been called.
class envelope_writer : public std::enable_shared_from_this<envelope_writer> {
public:
    using callback = std::function<void(const write_result&)>;

    /// Writes `envelope` in place of what was read as `base`.
    static void write(key_value_service& store, edit_environment& environment,
                      const current_configuration& base, const configuration_envelope& envelope,
                      callback done);

private:
    envelope_writer(key_value_service& store, edit_environment& environment, std::uint64_t base_version,
                    const configuration_envelope& envelope, callback done);

    void send();
    void on_written(const store_answer& answer);
    void read_back();
    void on_read_back(const store_answer& answer);
    void try_again();
    void settle(const store_answer& current);

    key_value_service& store_;
    edit_environment& environment_;
    std::uint64_t base_version_;
    configuration_envelope envelope_;
    std::string value_;
    callback done_;
    std::uint32_t attempt_ = 1;
    bool is_answer_lost_ = false;
};

} // namespace hemlocknotch
