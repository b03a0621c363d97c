#include <hemlocknotch/standins/execution_check.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace hemlocknotch::standins {

execution_findings check_executions(const std::vector<load_record>& records,
                                    const std::vector<nlohmann::json>& booking_pages)
{
    std::map<std::string, std::uint64_t> runs;
    for (const nlohmann::json& page : booking_pages) {
        for (const auto& [booking, count] : page.items()) {
            runs[booking] += count.get<std::uint64_t>();
        }
    }
    execution_findings findings;
    for (const auto& [booking, count] : runs) {
        findings.double_runs += count > 1 ? 1 : 0;
    }
    for (const load_record& it : records) {
        if (it.booking.empty()) {
            continue;
        }
        const bool has_run = runs.contains(it.booking);
        findings.false_not_run += it.outcome == load_outcome::not_run && has_run ? 1 : 0;
        findings.false_ran += it.outcome == load_outcome::whole && !has_run ? 1 : 0;
    }
    return findings;
}

} // namespace hemlocknotch::standins
