#pragma once

#include <cstddef>
#include <vector>

namespace hemlocknotch::bench {

/// Service delivered to each of a number of accounts, and the largest weighted difference between two of them
/// over any interval in which both stay backlogged.
class gap_meter {
public:
    /// Makes a meter for accounts of these weights, all backlogged. Precondition: all are above zero.
    explicit gap_meter(std::vector<double> weights);

    /// Tells that `units` were delivered to account `n`.
    void on_service(std::size_t n, double units);

    /// Tells whether account `n` is backlogged from now on.
    void set_backlogged(std::size_t n, bool is_backlogged);

    /// Takes in the present state. The gap is exact at the times at which this is called.
    void sample();

    /// Returns the largest weighted difference seen, in units over weight.
    [[nodiscard]] double gap() const { return gap_; }

    /// Returns the Jain index of the weighted service (Jain, Chiu and Hawe, "A Quantitative Measure of
    /// Fairness", 1984): 1 where all are equal.
    [[nodiscard]] double jain_index() const;

    /// Returns all service delivered, in units.
    [[nodiscard]] double total() const;

private:
    struct difference_range {
        double lowest = 0.0;
        double highest = 0.0;
        bool is_open = false;
    };

    std::vector<double> weights_;
    std::vector<double> service_;
    std::vector<bool> is_backlogged_;
    std::vector<std::vector<difference_range>> pairs_;
    double gap_ = 0.0;
};

} // namespace hemlocknotch::bench
