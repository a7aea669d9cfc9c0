// Guard for the handlers of cpp-httplib servers.

#pragma once

#include <httplib.h>

#include <utility>

namespace figwind {

constexpr int status_length_required = 411;

/// Wraps a handler so that a request without a Content-Length is answered 411
/// and never handled. The reader of cpp-httplib 0.11 takes a chunked body that
/// breaks off behind the data of a chunk for complete.
template <class Handler>
auto with_content_length(Handler handler) {
  return [handler = std::move(handler)](const httplib::Request& in,
                                        httplib::Response& out) {
    if (in.has_header("Transfer-Encoding")) {
      out.status = status_length_required;
      return;
    }
    handler(in, out);
  };
}

}  // namespace figwind
