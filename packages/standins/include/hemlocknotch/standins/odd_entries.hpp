#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::standins {

/// An entry of the platform's store that names no endpoint to use.
struct odd_entry {
    /// What is odd about it.
    std::string form;
    std::string value;
};

/// Returns entries that differ from `sound`, the registration of an endpoint, in one respect each, and others
/// that are no registrations at all. Precondition: `sound` is a JSON object. Thread-safe.
std::vector<odd_entry> create_odd_entries(std::string_view sound);

/// Returns names under which `sound` entries name no endpoint to use. Thread-safe.
std::vector<std::string> odd_endpoint_names();

} // namespace hemlocknotch::standins
