#pragma once

#include <hemlocknotch/core/time.hpp>

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <string>

namespace hemlocknotch::standins {

/// A list of instances as it was some time ago. Not thread-safe.
class instance_view {
public:
    /// Shows each change `lag` after it was made.
    explicit instance_view(duration lag) : lag_{lag} {}

    /// Sets what is known of the instance `name` from `at` on.
    void put(const std::string& name, nlohmann::json instance, instant at);

    /// Removes the instance `name` from `at` on.
    void remove(const std::string& name, instant at);

    /// Returns the list as seen at `at`: `{"instances": [...]}`.
    [[nodiscard]] nlohmann::json seen_at(instant at);

private:
    struct change {
        instant at;
        std::string name;
        /// Null for a removal.
        nlohmann::json instance;
    };

    duration lag_;
    std::deque<change> pending_;
    std::map<std::string, nlohmann::json> visible_;
};

} // namespace hemlocknotch::standins
