// Zstandard for documents that instances send to each other.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "hickoryquay/base/result.h"

namespace hickoryquay::peers {

std::string Compress(std::string_view text);

// The error says what is wrong with the bytes. A text of more than `max_bytes` is refused before it is unpacked.
Result<std::string, std::string> Decompress(std::string_view bytes, std::size_t max_bytes);

}  // namespace hickoryquay::peers
