#include "adapters/response_parser.h"

#include <algorithm>
#include <functional>

#include "figwind/response_limit.h"

namespace figwind {
namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;

auto is_valid_status(unsigned status) -> bool {
  return status >= 100 && status <= 599;
}

/// True if a field line continues behind its line end. Its value is then either
/// a copy outside the input, which ends at `input_end`, or behind a line end.
auto is_folded(string_view name, string_view value, const char* input_end)
    -> bool {
  const auto* const name_end = name.data() + name.size();
  const auto is_before = std::less<const char*>{};
  if (is_before(value.data(), name_end) || is_before(input_end, value.data())) {
    return true;
  }
  return std::find(name_end, value.data(), '\r') != value.data();
}

}  // namespace

response_parser::response_parser(std::uint32_t max_header_bytes,
                                 bool is_to_head_request) {
  header_limit(max_header_bytes);
  body_limit(max_response_bytes);
  eager(true);
  skip(is_to_head_request);
}

auto response_parser::parse(boost::beast::flat_buffer& received) -> error_code {
  const auto input = received.data();
  input_end_ = static_cast<const char*>(input.data()) + input.size();
  auto error = error_code{};
  received.consume(put(input, error));
  if (error && error != http::error::need_more) return error;
  if (is_header_done() && !is_valid_status(get().result_int())) {
    return http::error::bad_status;
  }
  return {};
}

auto response_parser::parse_end() -> error_code {
  if (!got_some()) return http::error::end_of_stream;
  auto error = error_code{};
  put_eof(error);
  return error;
}

void response_parser::on_field_impl(http::field field, string_view name,
                                    string_view value, error_code& error) {
  if (is_folded(name, value, input_end_)) {
    error = http::error::bad_field;
    return;
  }
  get().insert(field, name, value);
}

}  // namespace figwind
