#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// This gateway and the others whose reports are current, in an order for each key on which they agree. Used
/// by one thread at a time.
class gateway_roster {
public:
    /// `own_name` is the name under which this gateway reports.
    explicit gateway_roster(std::string own_name);

    /// Replaces the names of the other gateways.
    void set_others(const std::set<std::string, std::less<>>& names);

    /// Returns the position of this gateway in the rendezvous order for `key`, from 0.
    [[nodiscard]] std::size_t rank_for(std::string_view key) const;

    /// Returns the first `count` gateways in the rendezvous order for `key`.
    [[nodiscard]] std::vector<std::string> first_for(std::string_view key, std::size_t count) const;

    /// Returns the number of gateways, this one included.
    [[nodiscard]] std::size_t size() const { return names_.size(); }

private:
    std::string own_name_;
    std::vector<std::string> names_;
};

} // namespace hemlocknotch::gateway
