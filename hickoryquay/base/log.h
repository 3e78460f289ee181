// Log: short sentences behind the fixed prefix of a part, written by easylogging++.
//
//   constexpr log::Part kLog{"store"};
//   log::Warn(kLog, "Table is away, degraded until it answers", {{"errors", "3"}});
//
// Text form:  2026-01-01T12:00:00.000Z W [store] Table is away, degraded until it answers. errors=3
// JSON form:  {"time":...,"level":"W","part":"store","text":"Table is away...","errors":"3"}
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace hickoryquay::log {

struct Part {
  const char* m_prefix;
};

enum class Level { kDebug, kInfo, kWarn, kError };
enum class Form { kText, kJson };

struct Settings {
  Level m_level = Level::kInfo;
  Form m_form = Form::kText;
  int m_repeats_per_s = 20;        // Lines of one part beyond this in a second are counted, not written.
  bool m_standard_output = false;  // To standard output, never blocking on it; else to standard error.
};

using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

// Call once at start. Until then: text, Info.
void Configure(const Settings& settings);

// Thread-safe.
void Write(Level level, Part part, std::string_view sentence, Fields fields = {});

inline void Debug(Part part, std::string_view sentence, Fields fields = {}) {
  Write(Level::kDebug, part, sentence, fields);
}
inline void Info(Part part, std::string_view sentence, Fields fields = {}) {
  Write(Level::kInfo, part, sentence, fields);
}
inline void Warn(Part part, std::string_view sentence, Fields fields = {}) {
  Write(Level::kWarn, part, sentence, fields);
}
inline void Error(Part part, std::string_view sentence, Fields fields = {}) {
  Write(Level::kError, part, sentence, fields);
}

}  // namespace hickoryquay::log
