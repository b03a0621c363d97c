#pragma once

#include <hemlocknotch/core/member.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace hemlocknotch {

/// The platform's list of live and leaving instances. It lags. Callbacks come once each, later, on the event
/// loop's thread, and not after the object is destroyed.
class instance_list {
public:
    /// Receives the members, or nothing where the list gave no answer or a broken one.
    using callback = std::function<void(const std::optional<std::vector<member>>&)>;

    virtual ~instance_list() = default;

    /// Fetches the list.
    virtual void fetch(callback done) = 0;
};

} // namespace hemlocknotch
