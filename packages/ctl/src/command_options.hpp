#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/ctl/config_editor.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hemlocknotch {

/// The command that was named.
enum class command : std::uint8_t {
    check,
    apply,
    show,
    diff,
    history,
    take_out,
    put_back,
    status,
    trace,
    explain,
    rollouts
};

/// Everything that a command line can say, in the order of `--help`.
struct command_options {
    command chosen = command::check;
    /// Addresses of the platform's services; empty where not given.
    std::string store;
    std::string instances;
    std::uint32_t timeout_ms = 2000;
    bool is_json = false;

    /// The document: a path, or `-` for standard input.
    std::string file;
    std::string author;
    std::uint64_t revision_above = 0;
    std::uint64_t base_revision = 0;
    bool is_waiting = false;
    std::uint32_t wait_limit_s = 30;

    std::uint64_t revision = 0;
    std::uint32_t history_limit = 10;

    out_of_service_kind kind = out_of_service_kind::failure_domain;
    std::string name;

    bool is_watching = false;
    std::uint32_t interval_ms = 2000;
    std::uint32_t count = 0;

    std::vector<std::string> trace_files;
    /// Log files of gateways.
    std::vector<std::string> log_files;
    std::string request;
    /// Address of a gateway's metrics.
    std::string gateway;
};

} // namespace hemlocknotch
