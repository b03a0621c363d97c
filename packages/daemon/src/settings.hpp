#pragma once

#include <hemlocknotch/core/agent_options.hpp>
#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/core/entry_options.hpp>
#include <hemlocknotch/core/process_identity.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace hemlocknotch::daemon {

/// All settings of one daemon, with their defaults. `setting_descriptions` returns the meaning, unit and
/// range of each.
struct settings {
    process_role role = process_role::entry;
    std::string name;
    std::string failure_domain;
    std::optional<endpoint_address> operators_address;
    std::optional<endpoint_address> key_value_service;
    std::optional<endpoint_address> instance_list;
    std::string log_level = "info";
    std::string log_format = "json";
    std::string trace_output;
    duration store_call_limit = std::chrono::seconds{2};
    duration store_watch_limit = std::chrono::seconds{1};
    duration instance_list_interval = std::chrono::seconds{1};

    /// Entries only.
    std::optional<endpoint_address> callers_address;
    entry_options entry;
    std::size_t max_body_bytes = 16U << 20U;
    std::size_t max_header_bytes = 64U << 10U;
    duration caller_idle_limit = std::chrono::seconds{60};
    std::uint32_t claim_tries = 5;
    duration claim_retry_delay = std::chrono::milliseconds{50};

    /// Agents only.
    std::optional<endpoint_address> links_address;
    std::optional<endpoint_address> endpoint;
    std::string endpoint_kind_name = "engine";
    bool is_fencing_checked = false;
    std::string fair_order_name = "damped";
    duration cache_events_interval = std::chrono::milliseconds{500};
    agent_options agent;
};

} // namespace hemlocknotch::daemon
