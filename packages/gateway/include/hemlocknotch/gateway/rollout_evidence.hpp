#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace hemlocknotch::gateway {

/// Answers and the bad ones among them. Differences of two counts may be negative.
struct answer_counts {
    std::int64_t answers = 0;
    std::int64_t bad = 0;

    answer_counts& operator+=(const answer_counts& it)
    {
        answers += it.answers;
        bad += it.bad;
        return *this;
    }

    friend answer_counts operator-(const answer_counts& a, const answer_counts& b)
    {
        return {a.answers - b.answers, a.bad - b.bad};
    }

    friend bool operator==(const answer_counts&, const answer_counts&) = default;
};

/// Answers of one route by endpoints of one failure domain.
struct reference_key {
    std::string failure_domain;
    std::string route;

    friend auto operator<=>(const reference_key&, const reference_key&) = default;
};

/// Answers of one route by one endpoint of the new version.
struct candidate_key {
    std::string instance;
    std::string failure_domain;
    std::string route;

    friend auto operator<=>(const candidate_key&, const candidate_key&) = default;
};

/// What was seen of the answers of both versions of a service since an order.
struct rollout_evidence {
    /// Maximum number of entries of each map; bounds the size of reports.
    static constexpr std::size_t max_entries = 1024;

    /// Endpoints of the versions that the service moves from.
    std::map<reference_key, answer_counts> reference;
    /// Endpoints of the version that the service moves to.
    std::map<candidate_key, answer_counts> candidate;

    /// Adds the counts of `it`. Entries beyond the maximum are left out.
    void add(const rollout_evidence& it)
    {
        add_to(reference, it.reference);
        add_to(candidate, it.candidate);
    }

    [[nodiscard]] bool is_empty() const { return reference.empty() && candidate.empty(); }

    /// Returns the sum over all entries of the new version.
    [[nodiscard]] answer_counts candidate_total() const
    {
        answer_counts out;
        for (const auto& [key, counts] : candidate) {
            out += counts;
        }
        return out;
    }

    friend bool operator==(const rollout_evidence&, const rollout_evidence&) = default;

private:
    template <typename Counts>
    static void add_to(Counts& to, const Counts& from)
    {
        for (const auto& [key, counts] : from) {
            if (to.size() < max_entries || to.contains(key)) {
                to[key] += counts;
            }
        }
    }
};

} // namespace hemlocknotch::gateway
