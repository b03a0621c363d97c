#include "http_instance_list.hpp"

#include <hemlocknotch/coordination/instance_document.hpp>

#include <cassert>
#include <utility>

namespace hemlocknotch {
namespace {

constexpr int status_ok = 200;

std::optional<std::vector<member>> read_members(const http_answer& answer)
{
    if (answer.status != status_ok) {
        return std::nullopt;
    }
    const auto instances = read_instance_document(answer.body);
    if (!instances) {
        return std::nullopt;
    }
    std::vector<member> members;
    for (const listed_instance& it : *instances) {
        members.push_back(it.process);
    }
    return members;
}

} // namespace

http_instance_list::http_instance_list(event_base* base, const endpoint_address& address, duration timeout)
    : client_{base, address}, timeout_{timeout}
{
    assert(timeout > duration::zero());
}

void http_instance_list::fetch(callback done)
{
    client_.send({http_method::get, "/instances", ""}, timeout_,
                 [done = std::move(done)](const http_answer& answer) { done(read_members(answer)); });
}

} // namespace hemlocknotch
