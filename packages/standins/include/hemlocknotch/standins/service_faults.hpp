#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>

namespace hemlocknotch::standins {

/// What an engine or plain service does wrong until told otherwise (docs/STANDINS.md).
struct service_faults {
    /// Answers every new request with 503 and `X-Not-Run`.
    bool is_refusing = false;
    /// Keeps connections open and sends nothing on those that are open now or later.
    bool is_silent = false;
    /// Closes the connection of each answer after this many bytes; 0 for never.
    std::size_t cut_after_bytes = 0;
    /// Multiplies every working time.
    double slowness = 1.0;
    /// Executes, then closes the connection without an answer (plain services).
    bool is_losing_answers = false;
};

/// Reads a fault document; keys that are absent keep their value in `current`. Throws std::runtime_error that
/// names an unknown key, or nlohmann's error on a wrong type.
service_faults read_service_faults(const nlohmann::json& document, const service_faults& current);

/// Returns the document that `read_service_faults` reads.
nlohmann::json to_json(const service_faults& faults);

} // namespace hemlocknotch::standins
