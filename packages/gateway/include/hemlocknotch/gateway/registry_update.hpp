#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {

/// One change of the registry, as a gateway reports it to others.
struct reported_change {
    std::string key;
    std::uint64_t revision = 0;
    bool is_removed = false;
    std::string value;
};

/// Changes that one gateway has read from the registry and reports to the others, so that they need not read
/// them too.
struct registry_update {
    std::string gateway;
    /// Address at which the reporting gateway serves its complete registry; empty: it does not.
    std::string registry_page;
    /// Era of the revisions; 0: not stated.
    std::uint64_t era = 0;
    /// `changes` holds all relevant changes after `from_revision`, up to and including `to_revision`.
    std::uint64_t from_revision = 0;
    std::uint64_t to_revision = 0;
    /// Hash of the keys that the reporting gateway knows after the changes. Zero: not stated, since a further
    /// update follows that continues this one.
    std::uint64_t digest = 0;
    /// Time since the registry was read.
    duration age{};
    /// Remaining grace time after an outage of the registry that the reporting gateway saw; zero: none.
    duration grace{};
    /// Time for which the registry has answered the reporting gateway, or others that it heard of, without a
    /// gap, when the update was sent. Nothing: not stated, by gateways of earlier versions.
    std::optional<duration> answering_for;
    /// Some change was too large for the report; receivers have to read it from the registry.
    bool is_partial = false;
    /// Version of the configuration that the reporting gateway has in force; 0: none, or not stated.
    std::uint64_t configuration_version = 0;
    std::vector<reported_change> changes;
};

} // namespace hemlocknotch::gateway
