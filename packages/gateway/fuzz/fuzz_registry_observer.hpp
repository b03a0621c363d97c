#pragma once

#include "fuzz_registry.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

inline constexpr std::string_view endpoint_prefix = "e/";

/// A view, and what has been delivered to it.
struct fuzz_registry::observer {
    /// Longest time without an answer of the registry in which nothing is amiss.
    static constexpr std::chrono::milliseconds max_silence{1600};

    explicit observer(instant now) : contact{max_silence, now} {}

    registry_view view;
    registry_contact contact;
    bool is_cut = false;
    instant failed_since = instant::max();
    instant last_read{};
    /// Time as of which the view is current, as the observer states it.
    instant as_of{};
    /// Reads have been answered from here on, without a failed one and without a silence.
    instant unbroken_since{};
    /// Removals may be held back until then, for an outage, or a cut, that this observer had itself.
    instant may_hold_until{};
    instant may_hold_from{};
    /// Lapsed endpoints that must stay in use, since the observer knew them and saw the outage.
    std::set<std::string> kept;

    void excuse(instant now)
    {
        may_hold_from = now;
        may_hold_until = now + registry_view::reregistration_grace;
        unbroken_since = now;
    }

    void begin_era(std::uint64_t era, instant now)
    {
        const auto is_restore = view.revision() != 0;
        view.begin_era(era, now);
        era_began_at = now;
        if (is_restore) {
            contact.begin(now);
            excuse(now);
        }
    }

    struct departure {
        std::uint64_t stamp = 0;
        bool is_removal = false;
    };

    /// The last drain or removal of each endpoint that was delivered.
    std::map<std::string, departure> departures;
    /// Failure domains of which the last delivered change says that they are out of service, and its era.
    std::map<std::string, std::uint64_t> out_of_service;
    std::uint64_t highest_version = 0;
    instant era_began_at{};
};

} // namespace hemlocknotch::gateway
