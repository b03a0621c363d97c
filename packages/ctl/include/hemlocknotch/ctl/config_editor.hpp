#pragma once

#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/ctl/edit_environment.hpp>
#include <hemlocknotch/ctl/edit_result.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hemlocknotch {

/// What is taken out of service or returned.
enum class out_of_service_kind : std::uint8_t { failure_domain, instance };

/// A document to put in force.
struct apply_order {
    std::string document;
    /// The new revision is above this one as well as above the one that stands. Not 0 only where the
    /// key-value service has lost the configuration while daemons still run it, or holds a value that is
    /// none.
    std::uint64_t revision_above = 0;
    /// The revision that the document was made from; another one in force is a conflict. 0 for any.
    std::uint64_t base_revision = 0;
};

/// A change of what is out of service.
struct out_of_service_order {
    out_of_service_kind kind = out_of_service_kind::failure_domain;
    std::string name;
    /// Take out, or return.
    bool is_out = true;
};

/// Outcome of reading the configuration in force.
struct current_configuration {
    /// `ok`, `absent`, `refused` (over the rate limit) or `unknown` (no answer, or a value that is broken).
    store_status status = store_status::unknown;
    std::uint64_t version = 0;
    configuration_envelope envelope;
};

/// Edits the operators' configuration in the key-value service by compare-and-swap. A write whose answer is
/// lost is settled by reading back; it is sent again only against the same version, so that it cannot take
/// effect twice. Used on the event loop's thread only.
class config_editor {
public:
    using read_callback = std::function<void(const current_configuration&)>;
    using edit_callback = std::function<void(const edit_result&)>;

    /// `store` and `environment` must outlive the editor and its callbacks. `author` names the operator in
    /// the history.
    config_editor(key_value_service& store, edit_environment& environment, std::string author);

    /// Reads the configuration in force.
    void read(read_callback done);

    /// Reads revision `revision` from the history, or the one in force.
    void read_revision(std::uint64_t revision, read_callback done);

    /// Checks `order.document` and puts it in force. Loses to a change that was accepted since it was read,
    /// or since `order.base_revision`. A document without `out_of_service` leaves that as it is.
    void apply(const apply_order& order, edit_callback done);

    /// Changes what is out of service and nothing else. Such a change commutes with others, so that a lost
    /// race is run again on top of the winner.
    void change_out_of_service(const out_of_service_order& order, edit_callback done);

private:
    key_value_service& store_;
    edit_environment& environment_;
    std::string author_;
};

} // namespace hemlocknotch
