// Parser of HTTP/1.1 responses (RFC 9112) for the clients, on Boost.Beast.

#pragma once

// Boost 1.74 needs this include with g++ 12.
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>

namespace figwind {

/// Parses one response as its bytes arrive. Refuses what Boost.Beast accepts
/// but must not be passed on: a status code outside 100 to 599 (RFC 9110,
/// section 15), and a folded field line (RFC 9112, section 5.2), which may as
/// well be a field whose name begins with a blank.
class response_parser
    : private boost::beast::http::parser<false,
                                         boost::beast::http::string_body> {
  using base =
      boost::beast::http::parser<false, boost::beast::http::string_body>;

 public:
  using error_code = boost::system::error_code;

  /// `max_header_bytes` bounds the head. The response to a HEAD request has no
  /// body, whatever its head says.
  response_parser(std::uint32_t max_header_bytes, bool is_to_head_request);

  /// Parses the bytes of `received` and removes them, except for those behind
  /// the response. Returns an error if they are no valid response; that a
  /// response is incomplete is none.
  auto parse(boost::beast::flat_buffer& received) -> error_code;

  /// Parses the end of the connection. Returns an error unless the response is
  /// complete with it.
  auto parse_end() -> error_code;

  /// True if the response is complete.
  using base::is_done;
  /// Returns the complete response.
  using base::release;

  /// True if the response has no length, so that it ends with its connection.
  [[nodiscard]] auto ends_with_connection() const -> bool {
    return is_header_done() && need_eof();
  }

 private:
  void on_field_impl(boost::beast::http::field field,
                     boost::beast::string_view name,
                     boost::beast::string_view value,
                     error_code& error) override;

  /// End of the bytes that are being parsed.
  const char* input_end_ = nullptr;
};

}  // namespace figwind
