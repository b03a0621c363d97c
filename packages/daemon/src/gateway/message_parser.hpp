#pragma once

#include <hemlocknotch/core/header_name.hpp>
#include <hemlocknotch/gateway/request_fields.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// Returns whether the header `name` is hop-by-hop (RFC 9110, section 7.6.1), either by itself or because
/// `connection_values`, the values of the Connection headers, lists it.
bool is_connection_header(std::string_view name, const std::vector<std::string>& connection_values);

/// Returns whether one of the comma-separated lists in `values` contains `token`, compared
/// case-insensitively.
bool has_token(const std::vector<std::string>& values, std::string_view token);

/// Parses one HTTP/1.1 message with Boost.Beast. Ambiguous framing is an error. Collects head and body; the
/// owner may move the bytes of the body out or clear them between two calls of `parse`. Used by one thread at
/// a time.
template <bool is_request>
class message_parser final : public boost::beast::http::basic_parser<is_request> {
    using base = boost::beast::http::basic_parser<is_request>;
    using error_code = boost::beast::error_code;
    using beast_view = boost::beast::string_view;

public:
    /// Accepts a head of up to `max_header_bytes`, blank line included, however it arrives.
    message_parser(std::size_t max_header_bytes, std::uint64_t max_body_bytes)
        : max_header_bytes_{max_header_bytes}, max_body_size_{max_body_bytes}
    {
        this->header_limit(static_cast<std::uint32_t>(max_header_bytes));
        this->body_limit(max_body_bytes);
        this->eager(true);
    }

    /// Parses `bytes` and returns how many were consumed. The rest belongs to the next message, or has to be
    /// passed again with further bytes. Sets `fault` where the message is malformed or too large.
    std::size_t parse(std::string_view bytes, boost::beast::error_code& fault)
    {
        fault = {};
        const auto had_head = this->is_header_done();
        if (!had_head && head_bytes_ + bytes.size() > max_header_bytes_ &&
            head_bytes_ + rest_of_head(bytes).size() > max_header_bytes_) {
            fault = boost::beast::http::error::header_limit;
            return 0;
        }
        if (has_begun_last_chunk_ && bytes.size() < min_last_chunk_bytes) {
            return 0;
        }
        error_code ec;
        const auto n = this->put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
        const auto needs_more = ec == boost::beast::http::error::need_more;
        // The line of any other chunk is consumed once it is complete.
        has_begun_last_chunk_ =
            needs_more && this->is_header_done() && bytes.substr(n).find("\r\n", 1) != std::string_view::npos;
        fault = needs_more ? error_code{} : ec;
        head_bytes_ += had_head ? 0 : n;
        return n;
    }

    /// Returns whether `bytes`, which `parse` is given next, continue a line of the head on the next one,
    /// which RFC 9112 forbids (section 5.2). Requires that the head is not complete.
    [[nodiscard]] bool has_folded_line(std::string_view bytes) const
    {
        const auto head = rest_of_head(bytes);
        return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
    }

    [[nodiscard]] const std::string& method() const { return method_; }

    [[nodiscard]] const std::string& target() const { return target_; }

    [[nodiscard]] int status() const { return status_; }

    [[nodiscard]] int version() const { return version_; }

    [[nodiscard]] std::vector<gateway::header_field>& fields() { return fields_; }

    [[nodiscard]] std::string& body() { return body_; }

    /// Returns the memory that the message takes. Short header lines take many times their bytes.
    [[nodiscard]] std::size_t held_bytes() const
    {
        return sizeof *this + fields_.capacity() * sizeof(gateway::header_field) + text_bytes_ +
               body_.capacity();
    }

    /// Returns the values of the Connection headers, in order.
    [[nodiscard]] const std::vector<std::string>& connection_values() const { return connection_values_; }

    /// Returns the values of the Transfer-Encoding headers, in order.
    [[nodiscard]] const std::vector<std::string>& coding_values() const { return coding_values_; }

    /// Returns whether the end of the message is ambiguous, as in request smuggling: more than one length, a
    /// length together with a transfer coding, or a transfer coding other than a single "chunked".
    [[nodiscard]] bool is_ambiguous() const
    {
        return length_count_ > 1 || (length_count_ > 0 && !coding_values_.empty()) ||
               coding_values_.size() > 1 ||
               (coding_values_.size() == 1 && !is_same_header(coding_values_.front(), "chunked"));
    }

private:
    /// Boost.Beast asserts that it is given so many bytes once it has left the line of the last chunk unread.
    static constexpr std::size_t min_last_chunk_bytes = std::string_view{"0\r\n\r\n"}.size();

    /// Returns the part of `bytes` that belongs to the head, where the bytes before them are consumed.
    [[nodiscard]] std::string_view rest_of_head(std::string_view bytes) const
    {
        constexpr std::string_view blank_line = "\r\n";
        constexpr std::string_view end_of_lines = "\r\n\r\n";
        if (head_bytes_ > 0 && bytes.starts_with(blank_line)) {
            return bytes.substr(0, blank_line.size());
        }
        const auto end = bytes.find(end_of_lines);
        return end == std::string_view::npos ? bytes : bytes.substr(0, end + end_of_lines.size());
    }

    void on_request_impl(boost::beast::http::verb /*method*/, beast_view method, beast_view target,
                         int version, error_code& ec) override
    {
        method_.assign(method.data(), method.size());
        target_.assign(target.data(), target.size());
        version_ = version;
        ec = {};
    }

    void on_response_impl(int status, beast_view /*reason*/, int version, error_code& ec) override
    {
        status_ = status;
        version_ = version;
        ec = {};
    }

    void on_field_impl(boost::beast::http::field name, beast_view text, beast_view value,
                       error_code& ec) override
    {
        ec = {};
        if (has_head_) {
            return; // Trailer fields are ignored.
        }
        using boost::beast::http::field;
        std::string copy{value.data(), value.size()};
        text_bytes_ += text.size() + value.size();
        if (name == field::connection) {
            text_bytes_ += value.size();
            connection_values_.push_back(copy);
        }
        else if (name == field::transfer_encoding) {
            coding_values_.push_back(copy);
        }
        else if (name == field::content_length) {
            ++length_count_;
        }
        fields_.push_back({std::string{text.data(), text.size()}, std::move(copy)});
    }

    void on_header_impl(error_code& ec) override
    {
        has_head_ = true;
        ec =
            is_ambiguous() ? make_error_code(boost::beast::http::error::bad_transfer_encoding) : error_code{};
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& ec) override
    {
        ec = {};
        max_body_size_ = length ? *length : max_body_size_;
    }

    /// Lets the body's memory double as it grows, but not beyond the most that the body can have.
    void append_to_body(beast_view bytes)
    {
        const auto size = body_.size() + bytes.size();
        if (size > body_.capacity()) {
            const auto doubled = std::min<std::uint64_t>(2 * body_.capacity(), max_body_size_);
            std::string grown;
            grown.reserve(std::max<std::size_t>(size, doubled));
            grown += body_;
            body_.swap(grown);
        }
        body_.append(bytes.data(), bytes.size());
    }

    std::size_t on_body_impl(beast_view bytes, error_code& ec) override
    {
        ec = {};
        append_to_body(bytes);
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast_view /*extensions*/, error_code& ec) override
    {
        ec = {};
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, beast_view bytes, error_code& ec) override
    {
        ec = {};
        append_to_body(bytes);
        return bytes.size();
    }

    void on_finish_impl(error_code& ec) override { ec = {}; }

    std::size_t max_header_bytes_;
    /// Consumed bytes of a head that is not complete.
    std::size_t head_bytes_ = 0;
    std::string method_;
    std::string target_;
    int status_ = 0;
    int version_ = 0;
    std::vector<gateway::header_field> fields_;
    std::vector<std::string> connection_values_;
    std::vector<std::string> coding_values_;
    unsigned length_count_ = 0;
    /// Bytes of the names and values of fields.
    std::size_t text_bytes_ = 0;
    bool has_head_ = false;
    /// The bytes that were left unread begin with the complete line of the last chunk.
    bool has_begun_last_chunk_ = false;
    std::string body_;
    std::uint64_t max_body_size_;
};

using request_parser = message_parser<true>;
using answer_parser = message_parser<false>;

} // namespace hemlocknotch::daemon
