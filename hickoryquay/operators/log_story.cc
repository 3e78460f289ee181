#include "hickoryquay/operators/log_story.h"

#include <algorithm>
#include <array>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json/parse.hpp>
#include <set>

namespace hickoryquay::operators {

namespace {

namespace json = boost::json;
namespace posix = boost::posix_time;

constexpr Millis kAround{2'000};   // Lines of others count from this long before the job's first line.
constexpr Millis kSilence{5'000};  // A pause between two of its lines that is worth naming.

// "2026-02-12T23:49:20.541Z"; false where it isn't one.
bool ReadTime(std::string text, Instant* at) {
  if (text.empty() || text.back() != 'Z') return false;
  text.pop_back();
  try {
    const posix::ptime time = posix::from_iso_extended_string(text);
    const posix::ptime epoch(boost::gregorian::date(1970, 1, 1));
    at->m_ms = (time - epoch).total_milliseconds();
    return true;
  } catch (const std::exception&) {  // Boost throws several kinds for what is no time.
    return false;
  }
}

bool ReadLine(const std::string& source, std::string_view text, LogLine* line) {
  const std::size_t brace = text.find('{');
  if (brace == std::string_view::npos) return false;
  boost::system::error_code error;
  const json::value value = json::parse(text.substr(brace), error);
  if (error || !value.is_object()) return false;
  line->m_source = source;
  std::string time;
  const std::array<std::pair<std::string_view, std::string*>, 4> named = {
      {{"time", &time}, {"level", &line->m_level}, {"part", &line->m_part}, {"text", &line->m_text}}};
  for (const auto& field : value.get_object()) {
    if (!field.value().is_string()) continue;
    const std::string_view content = field.value().get_string();
    const auto slot =
        std::find_if(named.begin(), named.end(), [&](const auto& entry) { return entry.first == field.key(); });
    if (slot != named.end()) {
      *slot->second = content;
    } else {
      line->m_fields[field.key()] = content;
    }
  }
  return ReadTime(time, &line->m_at) && !line->m_text.empty();
}

std::string Field(const LogLine& line, const std::string& name) {
  const auto found = line.m_fields.find(name);
  return found == line.m_fields.end() ? std::string() : found->second;
}

bool OfJob(const LogLine& line, std::string_view job) {
  if (Field(line, "job") == job) return true;
  for (const char* name : {"task", "step"}) {
    const std::string value = Field(line, name);
    if (value.size() > job.size() && value.starts_with(job) && value[job.size()] == '.') return true;
  }
  return false;
}

// What concerns everybody at that time.
bool OfAll(const LogLine& line) {
  static const std::set<std::string> parts = {"leadership", "driver", "relay", "node", "service", "configuration"};
  return parts.contains(line.m_part) || line.m_text.starts_with("Store ");
}

bool IsLeftOut(const LogLine& line) {
  return line.m_text.starts_with("Lines were left out");
}

std::string Seconds(Millis span) {
  return std::to_string(span.count() / 1'000) + "." + std::to_string(span.count() % 1'000 / 100) + " s";
}

std::vector<std::string> FindGaps(const std::vector<LogLine>& of_job, const std::vector<LogLine>& left_out) {
  std::vector<std::string> gaps;
  const auto has = [&](std::string_view text) {
    return std::any_of(of_job.begin(), of_job.end(), [&](const LogLine& line) { return line.m_text == text; });
  };
  const auto outcome = [&](std::string_view value) {
    return std::any_of(of_job.begin(), of_job.end(), [&](const LogLine& line) {
      return line.m_text == "Submission answered" && Field(line, "outcome") == value;
    });
  };
  const bool accepted = outcome("stored") || has("Job taken in");
  if (!has("Submission answered")) gaps.emplace_back("No line tells what its caller was answered.");
  if (accepted && !has("Job taken in")) gaps.emplace_back("No line tells that a leader took it in.");
  if (accepted && !has("Job ended")) gaps.emplace_back("No line tells how it ended.");
  for (std::size_t i = 1; i < of_job.size(); ++i) {
    const Millis pause = of_job[i].m_at - of_job[i - 1].m_at;
    if (pause < kSilence) continue;
    gaps.push_back("Nothing is told of it for " + Seconds(pause) + " before \"" + of_job[i].m_text + "\".");
  }
  std::map<std::pair<std::string, std::string>, int> counts;  // By source and part.
  for (const LogLine& line : left_out) {
    const std::string lines = Field(line, "lines");
    counts[{line.m_source, line.m_part}] += lines.empty() ? 1 : std::atoi(lines.c_str());
  }
  for (const auto& [where, count] : counts) {
    gaps.push_back(std::to_string(count) + " lines of part " + where.second + " were left out by " + where.first +
                   " meanwhile.");
  }
  return gaps;
}

}  // namespace

int AddLines(const std::string& source, std::istream& input, std::vector<LogLine>* lines) {
  int others = 0;
  std::string text;
  while (std::getline(input, text)) {
    LogLine line;
    if (ReadLine(source, text, &line)) {
      lines->push_back(std::move(line));
    } else if (!text.empty()) {
      ++others;
    }
  }
  return others;
}

Story TellStory(std::string_view job, std::vector<LogLine> lines) {
  std::stable_sort(lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) { return a.m_at < b.m_at; });
  std::vector<LogLine> of_job;
  std::set<std::string> workers;
  for (const LogLine& line : lines) {
    if (!OfJob(line, job)) continue;
    of_job.push_back(line);
    if (const std::string worker = Field(line, "worker"); !worker.empty()) workers.insert(worker);
  }
  Story story;
  if (of_job.empty()) return story;
  const Instant first = of_job.front().m_at;
  const Instant last = of_job.back().m_at;
  std::vector<LogLine> left_out;
  for (LogLine& line : lines) {
    if (line.m_at < first - kAround || line.m_at > last) continue;
    if (IsLeftOut(line)) {
      left_out.push_back(line);
      continue;
    }
    const bool mine = OfJob(line, job);
    const bool of_worker = line.m_part == "workers" && workers.contains(Field(line, "worker"));
    if (!mine && !of_worker && !OfAll(line)) continue;
    story.m_lines.push_back({std::move(line), Millis{0}, mine});
    story.m_lines.back().m_since = story.m_lines.back().m_line.m_at - first;
  }
  story.m_gaps = FindGaps(of_job, left_out);
  return story;
}

}  // namespace hickoryquay::operators
