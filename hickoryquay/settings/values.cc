#include "hickoryquay/settings/values.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>
#include <utility>

namespace hickoryquay::settings {

namespace {

constexpr std::size_t kMaxNameLength = 200;

struct Unit {
  std::string_view m_name;
  std::int64_t m_factor;
};

// Largest first, so that the first one that divides a value prints it shortest.
constexpr std::array<Unit, 4> kTimeUnits{{{"h", 3'600'000}, {"min", 60'000}, {"s", 1000}, {"ms", 1}}};
constexpr std::array<Unit, 3> kSizeUnits{{{"MB", 1024 * 1024}, {"KB", 1024}, {"B", 1}}};

template <std::size_t kCount>
const Unit* FindUnit(const std::array<Unit, kCount>& units, std::string_view name) {
  const auto found = std::find_if(units.begin(), units.end(), [&](const Unit& u) { return u.m_name == name; });
  return found == units.end() ? nullptr : &*found;
}

// Reads a number and its unit; false where either is wrong or the product is too large.
template <std::size_t kCount>
bool ReadWithUnit(std::string_view text, const std::array<Unit, kCount>& units, std::int64_t* value) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, failed] = std::from_chars(text.data(), end, number);
  if (failed != std::errc{} || number < 0) return false;
  const Unit* unit = FindUnit(units, std::string_view(rest, static_cast<std::size_t>(end - rest)));
  if (unit == nullptr || number > std::numeric_limits<std::int64_t>::max() / unit->m_factor) return false;
  *value = number * unit->m_factor;
  return true;
}

template <std::size_t kCount>
std::string WithUnit(std::int64_t value, const std::array<Unit, kCount>& units) {
  for (const Unit& unit : units) {
    if (value != 0 && value % unit.m_factor == 0)
      return std::to_string(value / unit.m_factor) + std::string(unit.m_name);
  }
  return "0" + std::string(units.back().m_name);
}

std::string Quoted(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

}  // namespace

std::string ParseDuration(std::string_view text, Millis low, Millis high, Millis* duration) {
  std::int64_t value = 0;
  const bool read = ReadWithUnit(text, kTimeUnits, &value);
  if (read && value >= low.count() && value <= high.count()) {
    *duration = Millis{value};
    return "";
  }
  const std::string range = "from " + DurationText(low) + " to " + DurationText(high);
  if (read) return Quoted(text) + " is not " + range;
  return Quoted(text) + " is not a duration with a unit (ms, s, min, h), such as 250ms or 3s, " + range;
}

std::string DurationText(Millis duration) {
  return WithUnit(duration.count(), kTimeUnits);
}

std::string ParseBytes(std::string_view text, std::size_t low, std::size_t high, std::size_t* bytes) {
  std::int64_t value = 0;
  const bool read = ReadWithUnit(text, kSizeUnits, &value);
  const auto size = static_cast<std::size_t>(value);
  if (read && size >= low && size <= high) {
    *bytes = size;
    return "";
  }
  const std::string range = "from " + WithUnit(static_cast<std::int64_t>(low), kSizeUnits) + " to " +
                            WithUnit(static_cast<std::int64_t>(high), kSizeUnits);
  if (read) return Quoted(text) + " is not " + range;
  return Quoted(text) + " is not a size with a unit (B, KB, MB), such as 64KB, " + range;
}

std::string ParseCount(std::string_view text, std::int64_t low, std::int64_t high, std::int64_t* count) {
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, failed] = std::from_chars(text.data(), end, value);
  if (failed == std::errc{} && rest == end && value >= low && value <= high) {
    *count = value;
    return "";
  }
  return Quoted(text) + " is not a whole number from " + std::to_string(low) + " to " + std::to_string(high);
}

std::string ParseAddress(std::string_view text, net::Endpoint* endpoint) {
  auto parsed = net::ParseEndpoint(text);
  if (!Ok(parsed)) return ErrorOf(parsed);
  *endpoint = TakeValue(std::move(parsed));
  return "";
}

std::string ParseName(std::string_view text, std::string* name) {
  const auto fits = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
  if (text.empty() || text.size() > kMaxNameLength || !std::all_of(text.begin(), text.end(), fits)) {
    return Quoted(text) + " is not a name of letters, digits, '-', '_' and '.'";
  }
  *name = std::string(text);
  return "";
}

}  // namespace hickoryquay::settings
