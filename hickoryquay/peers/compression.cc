#include "hickoryquay/peers/compression.h"

#include <zstd.h>

#include <cstdint>

namespace hickoryquay::peers {

std::string Compress(std::string_view text) {
  std::string bytes(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress(bytes.data(), bytes.size(), text.data(), text.size(), ZSTD_CLEVEL_DEFAULT);
  bytes.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return bytes;
}

Result<std::string, std::string> Decompress(std::string_view bytes, std::size_t max_bytes) {
  using Text = Result<std::string, std::string>;
  const std::uint64_t announced = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (announced == ZSTD_CONTENTSIZE_ERROR || announced == ZSTD_CONTENTSIZE_UNKNOWN)
    return Text(std::in_place_index<1>, "no Zstandard frame of a known size");
  if (announced > max_bytes) return Text(std::in_place_index<1>, "too large: " + std::to_string(announced) + " bytes");
  std::string text(static_cast<std::size_t>(announced), '\0');
  const std::size_t size = ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(size) != 0) return Text(std::in_place_index<1>, ZSTD_getErrorName(size));
  if (size != text.size()) return Text(std::in_place_index<1>, "shorter than announced");
  return Text(std::in_place_index<0>, std::move(text));
}

}  // namespace hickoryquay::peers
