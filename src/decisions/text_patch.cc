#include "figwind/text_patch.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <stdexcept>

namespace figwind {
namespace {

// A fast level: most of a patch refers to the old text.
constexpr int compression_level = 1;
// Range of the window that decoders accept by default.
constexpr int min_window_log = 10;
constexpr int max_window_log = 27;

struct context_deleter {
  void operator()(ZSTD_CCtx* x) const { ZSTD_freeCCtx(x); }
  void operator()(ZSTD_DCtx* x) const { ZSTD_freeDCtx(x); }
};

/// The window must reach from the end of the new text to the begin of the old
/// one.
auto window_log(std::size_t size) -> int {
  return std::clamp(static_cast<int>(std::bit_width(size)), min_window_log,
                    max_window_log);
}

}  // namespace

auto make_patch(const std::string& base, const std::string& text)
    -> std::string {
  const auto context =
      std::unique_ptr<ZSTD_CCtx, context_deleter>{ZSTD_createCCtx()};
  const auto set = [&](ZSTD_cParameter which, int to) {
    ZSTD_CCtx_setParameter(context.get(), which, to);
  };
  set(ZSTD_c_compressionLevel, compression_level);
  set(ZSTD_c_checksumFlag, 1);
  set(ZSTD_c_windowLog, window_log(base.size() + text.size()));
  // Finds long equal parts anywhere in the old text.
  set(ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  auto out = std::string(ZSTD_compressBound(text.size()), '\0');
  const auto size = ZSTD_compress2(context.get(), out.data(), out.size(),
                                   text.data(), text.size());
  if (ZSTD_isError(size) != 0U)
    throw std::runtime_error{ZSTD_getErrorName(size)};
  out.resize(size);
  return out;
}

auto apply_patch(const std::string& base, const std::string& patch,
                 std::size_t max_size) -> result<std::string> {
  const auto refuse = [](const std::string& reason) {
    return findings{{{}, "the patch cannot be applied: " + reason}};
  };
  const auto size = ZSTD_getFrameContentSize(patch.data(), patch.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    return refuse("no size");
  if (size > max_size) return refuse("the text is too long");
  const auto context =
      std::unique_ptr<ZSTD_DCtx, context_deleter>{ZSTD_createDCtx()};
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  auto out = std::string(size, '\0');
  const auto restored = ZSTD_decompressDCtx(
      context.get(), out.data(), out.size(), patch.data(), patch.size());
  if (ZSTD_isError(restored) != 0U) return refuse(ZSTD_getErrorName(restored));
  out.resize(restored);
  return out;
}

}  // namespace figwind
