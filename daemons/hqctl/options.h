// Options: the command line of hqctl.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/net/http.h"

namespace hickoryquay::hqctl {

enum class Format { kTable, kJson };

enum class Mode {
  kStatements,   // From the command line, or from a file.
  kInteractive,  // Line by line, with history.
  kTop,          // A live view.
  kDump,         // State of one process.
  kMetrics,
  kExplainLogs,  // The story of one job out of log files; asks no instance.
};

struct Options {
  Mode m_mode = Mode::kInteractive;
  std::string m_statements;         // Of kStatements.
  std::string m_job;                // Of kExplainLogs: sixteen hexadecimal digits.
  std::vector<std::string> m_logs;  // Of kExplainLogs: files.
  std::vector<net::Endpoint> m_at;  // Entry instances' admin addresses, tried in order.
  std::string m_token;              // Bearer token.
  bool m_tls = false;
  std::string m_ca_file;  // PEM of who signs the instances' certificates; empty: the system's.
  Format m_format = Format::kTable;
  Millis m_timeout{10'000};  // Of one call.
  Millis m_watch{0};         // Repeats at this period; 0: once.
  int m_rounds = 0;          // Repeats at most; 0: until interrupted.
};

// Asked for with --help; not an error.
struct HelpWanted {
  std::string m_text;
};

struct UsageError {
  std::string m_message;
};

// `environment` gives HQCTL_AT and HQCTL_TOKEN_FILE where the command line does not.
struct Environment {
  std::string m_at;
  std::string m_token_file;
};

std::variant<Options, HelpWanted, UsageError> ParseOptions(const std::vector<std::string>& arguments,
                                                           const Environment& environment);

}  // namespace hickoryquay::hqctl
