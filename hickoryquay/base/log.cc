#include "hickoryquay/base/log.h"

#include <easylogging++.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <csignal>
#include <ctime>
#include <map>
#include <mutex>

#include "hickoryquay/base/line_output.h"  // What easylogging++ writes to.

INITIALIZE_EASYLOGGINGPP

namespace hickoryquay::log {

namespace {

struct Window {
  std::int64_t m_second = 0;
  int m_lines = 0;
  int m_dropped = 0;
};

struct State {
  std::mutex m_mutex;
  Settings m_settings;
  std::map<std::string, Window, std::less<>> m_windows;  // By part.
};

State& Shared() {
  static State* state = new State;  // Never destroyed: logging works until the process ends.
  return *state;
}

el::Logger* Sink() {
  static el::Logger* sink = [] {
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Logger* logger = el::Loggers::getLogger("hickoryquay");
    el::Loggers::reconfigureLogger(logger, configuration);
    return logger;
  }();
  return sink;
}

char Letter(Level level) {
  return "DIWE"[static_cast<int>(level)];
}

std::string Timestamp() {
  const auto now = std::chrono::system_clock::now();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  const std::time_t seconds = static_cast<std::time_t>(ms / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + length, sizeof(text) - length, ".%03dZ", static_cast<int>(ms % 1000));
  return text;
}

std::string AsText(Level level, Part part, std::string_view sentence, Fields fields) {
  std::string line = Timestamp() + ' ' + Letter(level) + " [" + part.m_prefix + "] ";
  line += sentence;
  line += '.';
  for (const auto& [key, value] : fields) {
    line += ' ';
    line += key;
    line += '=' + value;
  }
  return line;
}

std::string AsJson(Level level, Part part, std::string_view sentence, Fields fields) {
  boost::json::object line;
  line["time"] = Timestamp();
  line["level"] = std::string(1, Letter(level));
  line["part"] = part.m_prefix;
  line["text"] = std::string(sentence);
  for (const auto& [key, value] : fields) line[std::string(key)] = value;
  return boost::json::serialize(line);
}

// Counts the line against its part's limit. Returns false where it is dropped; `missed` is what the last second
// dropped.
bool Admit(State* state, Part part, int* missed) {
  const std::int64_t second = std::time(nullptr);
  Window& window = state->m_windows[part.m_prefix];
  if (window.m_second != second) {
    *missed = window.m_dropped;
    window = Window{second, 0, 0};
  }
  if (window.m_lines++ < state->m_settings.m_repeats_per_s) return true;
  ++window.m_dropped;
  return false;
}

}  // namespace

void Configure(const Settings& settings) {
  State& state = Shared();
  const std::scoped_lock lock(state.m_mutex);
  state.m_settings = settings;
  std::signal(SIGPIPE, SIG_IGN);  // A log without a reader must not end the process.
  if (settings.m_standard_output) UseStandardOutput();
}

void Write(Level level, Part part, std::string_view sentence, Fields fields) {
  State& state = Shared();
  const std::scoped_lock lock(state.m_mutex);
  if (level < state.m_settings.m_level) return;
  int missed = 0;
  if (!Admit(&state, part, &missed)) return;
  const auto form = state.m_settings.m_form == Form::kJson ? &AsJson : &AsText;
  if (missed > 0) Sink()->info(form(Level::kWarn, part, "Lines were left out", {{"lines", std::to_string(missed)}}));
  Sink()->info(form(level, part, sentence, fields));
}

}  // namespace hickoryquay::log
