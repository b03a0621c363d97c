#include <hemlocknotch/standins/page_fetcher.hpp>

#include <utility>

namespace hemlocknotch::standins {

page_fetcher::page_fetcher(event_base* base, endpoint_address address, std::string target, callback on_page)
    : base_{base}, address_{std::move(address)}, target_{std::move(target)}, on_page_{std::move(on_page)}
{
}

void page_fetcher::fetch()
{
    received_.clear();
    client_call::callbacks on;
    on.on_bytes = [this](std::string_view bytes) { received_ += bytes; };
    on.on_end = [this](bool is_whole) {
        const nlohmann::json page = nlohmann::json::parse(received_, nullptr, false);
        on_page_(is_whole && !page.is_discarded() ? page : nlohmann::json{});
    };
    call_request request;
    request.target = target_;
    call_ = std::make_unique<client_call>(base_, address_, request, std::move(on));
}

} // namespace hemlocknotch::standins
