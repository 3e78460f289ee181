#include "hickoryquay/base/ids.h"

#include <charconv>
#include <cstdio>

namespace hickoryquay {

namespace {
constexpr std::size_t kHexDigits = 16;
constexpr char kPrefix[] = "j-";
constexpr std::size_t kPrefixLength = sizeof(kPrefix) - 1;
}  // namespace

std::string ToString(JobId job) {
  char text[kHexDigits + 1];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(Raw(job)));  // NOLINT(google-runtime-int)
  return std::string(kPrefix) + text;
}

bool ParseJobId(const std::string& text, JobId* job) {
  if (text.size() != kPrefixLength + kHexDigits || text.compare(0, kPrefixLength, kPrefix) != 0) return false;
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + kPrefixLength, end, value, 16);
  if (error != std::errc{} || stop != end) return false;
  *job = JobId{value};
  return true;
}

}  // namespace hickoryquay
