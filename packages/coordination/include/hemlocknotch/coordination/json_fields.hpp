#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

/// Fields of JSON values that other programs wrote, read leniently: for documents that people write, see
/// `object_reader`.
namespace hemlocknotch {

/// Returns the text in member `name` of `value`; empty where it is missing or no text. Never throws.
/// Precondition: `value` is an object.
std::string read_string_field(const nlohmann::json& value, const char* name);

/// Returns the number in member `name` of `value`; 0 where it is missing, below zero or no whole number.
/// Never throws. Precondition: `value` is an object.
std::uint64_t read_count_field(const nlohmann::json& value, const char* name);

/// Returns the member `name` of `value`; false where it is missing or neither true nor false. Never throws.
/// Precondition: `value` is an object.
bool read_flag_field(const nlohmann::json& value, const char* name);

} // namespace hemlocknotch
