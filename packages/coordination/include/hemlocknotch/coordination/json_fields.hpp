#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

/// Lenient readers of fields in JSON that programs have written: a field of another type reads as a missing
/// one. For hand-written documents see `object_reader`.
namespace hemlocknotch {

/// Returns the string in member `name` of `value`; empty if it is missing or not a string. Never throws.
/// Precondition: `value` is an object.
std::string read_string_field(const nlohmann::json& value, const char* name);

/// Returns the number in member `name` of `value`; 0 if it is missing, negative or not an integer.
/// Never throws. Precondition: `value` is an object.
std::uint64_t read_count_field(const nlohmann::json& value, const char* name);

/// Returns the boolean in member `name` of `value`; false if it is missing or not a boolean. Never throws.
/// Precondition: `value` is an object.
bool read_flag_field(const nlohmann::json& value, const char* name);

} // namespace hemlocknotch
