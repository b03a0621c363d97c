#pragma once

#include <hemlocknotch/coordination/key_value_service.hpp>
#include <hemlocknotch/ctl/config_editor.hpp>
#include <hemlocknotch/ctl/edit_environment.hpp>

#include <cstdint>
#include <string>

namespace hemlocknotch {

/// Number of times that a call without an answer, or over the rate limit, is made before it is given up.
inline constexpr std::uint32_t max_store_attempts = 4;

/// Returns how long to wait before attempt `n`, from 2 on: it doubles each time.
duration store_backoff(std::uint32_t attempt);

/// Reads `key` and the envelope in it, several times where there is no answer.
void read_envelope_at(key_value_service& store, edit_environment& environment, const std::string& key,
                      config_editor::read_callback done);

} // namespace hemlocknotch
