#pragma once

#include <string>

namespace hemlocknotch {

/// Returns a configuration document that passes its check and carries `remark` in a comment.
inline std::string make_document(const std::string& remark)
{
    return "{\n  // " + remark + R"(
  "services": {"gardener": {"cost_unit": "lines"}},
  "profiles": {"calendar": {"service": "gardener", "idempotent": true, "deadline_ms": 1000,
                            "max_body_bytes": 1000}},
  "client_accounts": {"farm": {"weight": 1}}
})";
}

} // namespace hemlocknotch
