// Values of settings: texts to durations, sizes, counts, addresses. Each returns what was expected, empty where it
// fits.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/net/http.h"

namespace hickoryquay::settings {

// "250ms", "3s", "10min", "8h": a whole number with its unit, within the limits.
std::string ParseDuration(std::string_view text, Millis low, Millis high, Millis* duration);

// The shortest text that ParseDuration reads as this duration.
std::string DurationText(Millis duration);

// "16KB", "4MB": a whole number with its unit (1024 based), or "512B".
std::string ParseBytes(std::string_view text, std::size_t low, std::size_t high, std::size_t* bytes);

std::string ParseCount(std::string_view text, std::int64_t low, std::int64_t high, std::int64_t* count);
std::string ParseAddress(std::string_view text, net::Endpoint* endpoint);

// A name as the model takes it: letters, digits, '-', '_' and '.'.
std::string ParseName(std::string_view text, std::string* name);

}  // namespace hickoryquay::settings
