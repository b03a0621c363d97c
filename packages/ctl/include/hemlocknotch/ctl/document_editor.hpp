#pragma once

#include <hemlocknotch/core/configuration.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Returns `document` with what is out of service replaced by `out`. Everything else, comments and layout
/// included, stays as it is; comments inside of `out_of_service` are lost. Returns nothing where the document
/// is no JSON object. Precondition: the document passes `read_configuration`. Safe to call from any thread.
std::optional<std::string> replace_out_of_service(std::string_view document, const out_of_service& out);

/// Returns `document` with `out` as what is out of service where it has no member `out_of_service` of its
/// own, so that a document which says nothing about it returns nothing to service. Precondition: the document
/// passes `read_configuration`. Safe to call from any thread.
std::string keep_out_of_service(std::string_view document, const out_of_service& out);

} // namespace hemlocknotch
