#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/standins/client_call.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace hemlocknotch::standins {

/// Fetches one JSON page of one address, again and again. One thread.
class page_fetcher {
public:
    /// Receives the page, or null where there was no answer or no JSON.
    using callback = std::function<void(const nlohmann::json&)>;

    page_fetcher(event_base* base, endpoint_address address, std::string target, callback on_page);

    /// Fetches the page, in place of a fetch that has not come to its end.
    void fetch();

private:
    event_base* base_;
    endpoint_address address_;
    std::string target_;
    callback on_page_;
    std::string received_;
    std::unique_ptr<client_call> call_;
};

} // namespace hemlocknotch::standins
