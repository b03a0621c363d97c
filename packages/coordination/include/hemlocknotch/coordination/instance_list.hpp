#pragma once

#include <hemlocknotch/core/member.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace hemlocknotch {

/// The platform's list of live and leaving instances. Changes appear in it with a delay. Each callback is
/// called once, on the event loop's thread, after the call that it was passed to has returned, and not after
/// the object is destroyed.
class instance_list {
public:
    /// Receives the members; nothing if there was no answer or an invalid one.
    using callback = std::function<void(const std::optional<std::vector<member>>&)>;

    virtual ~instance_list() = default;

    /// Fetches the list.
    virtual void fetch(callback done) = 0;
};

} // namespace hemlocknotch
