#include "adapters/response_parser.h"

#include "figwind/response_limit.h"

namespace figwind {
namespace {

namespace http = boost::beast::http;

auto is_valid_status(unsigned status) -> bool {
  return status >= 100 && status <= 599;
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
  auto error = error_code{};
  received.consume(put(received.data(), error));
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

}  // namespace figwind
