// The interactive mode: line editing, history and completion by libedit.
#include <editline/readline.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <ostream>

#include "daemons/hqctl/app.h"
#include "hickoryquay/operators/words.h"

namespace hickoryquay::hqctl {

namespace {

constexpr const char* kPrompt = "hq> ";
constexpr int kHistoryLines = 1000;

constexpr const char* kHelp =
    "create|change market M domains D, D weight W      drop market M\n"
    "create|change account M/A accelerators N waiting N\n"
    "create|change guarantee M/A/G blocks N of N adjacent worker|rack|neighbour-racks|any split D N, D N\n"
    "create|change class M/C urgency N deadline T repeatable yes|no checkpointable yes|no preemptible yes|no\n"
    "expect market M version N                         refuse the rest unless it stands there\n"
    "drain|quarantine|release worker W                 drain|release instance I\n"
    "cancel job J, J     cancel jobs where ...         retry job J\n"
    "show jobs|requests|workers|backends|racks|markets|accounts|guarantees|classes|instances|versions|changes\n"
    "     where COLUMN = VALUE and ... or ... order by COLUMN desc limit N\n"
    "why job J           why account M/A               why not worker W\n"
    "what if CHANGE      begin each                    quit\n"
    "One line is one transaction; ';' separates its statements.\n";

std::string HistoryFile() {
  const char* home = std::getenv("HOME");
  return home == nullptr ? "" : std::string(home) + "/.hqctl_history";
}

// Called by the library with 0 for the first match of a word, then again until it gets nullptr.
char* NextMatch(const char* start, int state) {
  static std::size_t position = 0;
  if (state == 0) position = 0;
  const auto& words = operators::Keywords();
  while (position < words.size()) {
    const std::string& word = words[position++];
    if (word.rfind(start, 0) == 0) return strdup(word.c_str());
  }
  return nullptr;
}

char** Complete(const char* start, int, int) {
  rl_attempted_completion_over = 1;  // No names of files.
  return rl_completion_matches(start, &NextMatch);
}

class History {
 public:
  History() : m_file(HistoryFile()) {
    using_history();
    stifle_history(kHistoryLines);
    if (!m_file.empty()) read_history(m_file.c_str());
  }
  ~History() {
    if (!m_file.empty()) write_history(m_file.c_str());
  }
  History(const History&) = delete;
  History& operator=(const History&) = delete;

 private:
  std::string m_file;
};

}  // namespace

Exit RunInteractive(AdminClient* client, Format format, const Streams& streams) {
  rl_readline_name = const_cast<char*>("hqctl");
  rl_attempted_completion_function = &Complete;
  const History history;
  Exit last = Exit::kDone;
  while (char* read = readline(kPrompt)) {
    const std::string line = read;
    std::free(read);
    if (line == "quit" || line == "exit") break;
    if (line.find_first_not_of(" \t") == std::string::npos) continue;
    add_history(line.c_str());
    if (line == "help") {
      streams.m_out << kHelp;
      continue;
    }
    last = RunStatements(client, line, format, streams);
  }
  return last;
}

}  // namespace hickoryquay::hqctl
