#pragma once

namespace hemlocknotch {

/// Exit codes of `hemlocknotchctl`.
enum class exit_code : int {
    /// Done; for an edit: accepted, or in force already.
    done = 0,
    /// The command line is faulty, or a file cannot be read.
    usage = 2,
    /// The document is faulty. Nothing was changed.
    refused = 3,
    /// Another change came first. Nothing was changed.
    conflict = 4,
    /// A service gave no answer. The message says whether a change may have been accepted.
    unknown = 5,
    /// What was named is not there.
    not_found = 6,
    /// Accepted, but not in force everywhere within the limit of `--wait`.
    not_everywhere = 7,
};

} // namespace hemlocknotch
