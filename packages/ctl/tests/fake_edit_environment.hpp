#pragma once

#include <hemlocknotch/ctl/edit_environment.hpp>

#include <cassert>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch {

/// An environment for tests: delayed actions wait until they are stepped, and changes are counted.
class fake_edit_environment final : public edit_environment {
public:
    explicit fake_edit_environment(std::string name) : name_{std::move(name)} {}

    [[nodiscard]] std::string now_utc() const override { return "2026-01-31T12:00:00Z"; }

    std::string new_change() override
    {
        changes_.push_back(name_ + "/" + std::to_string(changes_.size()));
        return changes_.back();
    }

    void run_later(duration /*delay*/, std::function<void()> action) override
    {
        actions_.push_back(std::move(action));
    }

    /// Returns all changes so far.
    [[nodiscard]] const std::vector<std::string>& changes() const { return changes_; }

    [[nodiscard]] std::size_t pending_count() const { return actions_.size(); }

    /// Runs the delayed action at `n`.
    void step(std::size_t n)
    {
        assert(n < actions_.size());
        const std::function<void()> action = std::move(actions_[n]);
        actions_.erase(actions_.begin() + static_cast<std::ptrdiff_t>(n));
        action();
    }

private:
    std::string name_;
    std::vector<std::string> changes_;
    std::vector<std::function<void()>> actions_;
};

} // namespace hemlocknotch
