#pragma once

#include <cstddef>
#include <vector>

namespace hemlocknotch::standins {

/// Largest difference in weighted service between two client accounts over any interval in which both were
/// backlogged throughout. Units of service over weight. Not thread-safe.
class fairness_meter {
public:
    /// Makes a meter for accounts numbered by their places in `weights`. Precondition: weights above 0.
    explicit fairness_meter(std::vector<double> weights);

    /// Notes that `account` has become backlogged or is no longer. Repeats change nothing.
    void set_backlogged(std::size_t account, bool is_backlogged);

    /// Notes `units` of service delivered to `account`.
    void add_service(std::size_t account, double units);

    /// Returns the largest difference so far.
    [[nodiscard]] double largest_gap() const { return largest_gap_; }

    /// Returns the service delivered to `account` over its weight.
    [[nodiscard]] double weighted_service(std::size_t account) const { return service_[account]; }

private:
    /// Range of one pair's difference since both have been backlogged.
    struct pair_range {
        double lowest = 0.0;
        double highest = 0.0;
    };

    [[nodiscard]] pair_range& range_of(std::size_t a, std::size_t b);
    [[nodiscard]] double difference(std::size_t a, std::size_t b) const;

    std::vector<double> weights_;
    std::vector<double> service_;
    std::vector<bool> is_backlogged_;
    std::vector<pair_range> ranges_;
    double largest_gap_ = 0.0;
};

/// Returns Jain's index of `values`: 1 where all are equal, 1/n where one has all; 1 for none. Source: Jain,
/// Chiu and Hawe, "A Quantitative Measure of Fairness and Discrimination", DEC TR-301, 1984.
double jain_index(const std::vector<double>& values);

} // namespace hemlocknotch::standins
