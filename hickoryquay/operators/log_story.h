// Log story: what the log lines of all instances tell of one job, in order, with what is missing named.
//
//   std::vector<LogLine> lines;
//   AddLines("front-1.log", input, &lines);
//   const Story story = TellStory(job, std::move(lines));
#pragma once

#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"

namespace hickoryquay::operators {

struct LogLine {
  std::string m_source;  // The file it comes from.
  Instant m_at;          // Unix time by the instance's own clock.
  std::string m_level;
  std::string m_part;
  std::string m_text;
  std::map<std::string, std::string> m_fields;  // The others.
};

// Lines of a process's log. What is in front of the first brace of a line is passed over, since collectors put names
// and times there. Returns how many lines were no log lines in JSON.
int AddLines(const std::string& source, std::istream& input, std::vector<LogLine>* lines);

struct StoryLine {
  LogLine m_line;
  Millis m_since{0};     // The first line of the story.
  bool m_of_job = true;  // Else it tells of a worker, of the store or of the leader meanwhile.
};

struct Story {
  std::vector<StoryLine> m_lines;
  std::vector<std::string> m_gaps;  // What the lines do not tell, one sentence each.
};

// `job` as sixteen hexadecimal digits. No lines where none names the job.
Story TellStory(std::string_view job, std::vector<LogLine> lines);

}  // namespace hickoryquay::operators
