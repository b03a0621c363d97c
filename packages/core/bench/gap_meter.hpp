#pragma once

#include <cstddef>
#include <vector>

namespace hemlocknotch::bench {

/// Measures the service delivered to each account, and the largest difference in weighted service between two
/// accounts over any interval in which both stay backlogged.
class gap_meter {
public:
    /// Creates a meter for accounts with these weights, all backlogged. Precondition: all weights are above
    /// zero.
    explicit gap_meter(std::vector<double> weights);

    /// Records that `units` of service were delivered to account `n`.
    void on_service(std::size_t n, double units);

    /// Sets whether account `n` is backlogged from now on.
    void set_backlogged(std::size_t n, bool is_backlogged);

    /// Updates the gap from the current service. The gap is exact only for the times of these calls.
    void sample();

    /// Returns the largest difference in weighted service seen, in units divided by weight.
    [[nodiscard]] double gap() const { return gap_; }

    /// Returns the Jain index of the weighted service (Jain, Chiu and Hawe, "A Quantitative Measure of
    /// Fairness", 1984): 1 if all accounts are equal.
    [[nodiscard]] double jain_index() const;

    /// Returns the service delivered to all accounts, in units.
    [[nodiscard]] double total() const;

private:
    /// Range of the service difference of a pair of accounts since both became backlogged; it is open while
    /// both stay so.
    struct difference_range {
        double lowest = 0.0;
        double highest = 0.0;
        bool is_open = false;
    };

    std::vector<double> weights_;
    /// Service of each account divided by its weight.
    std::vector<double> service_;
    std::vector<bool> is_backlogged_;
    /// Range of each pair, indexed by the lower and then the higher account number.
    std::vector<std::vector<difference_range>> pairs_;
    double gap_ = 0.0;
};

} // namespace hemlocknotch::bench
