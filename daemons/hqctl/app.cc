#include "daemons/hqctl/app.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <thread>

#include "daemons/hqctl/render.h"
#include "hickoryquay/base/result.h"
#include "hickoryquay/model/json.h"
#include "hickoryquay/operators/log_story.h"
#include "hickoryquay/operators/parser.h"

namespace hickoryquay::hqctl {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpGatewayTimeout = 504;
constexpr Millis kTopPeriod{2000};
constexpr const char* kClearScreen = "\x1b[H\x1b[2J";

constexpr const char* kTopScript =
    "show instances order by instance; show racks order by domain, position; show accounts order by market, account; "
    "show jobs where state = waiting order by waited desc limit 10; "
    "show jobs where state = running order by ran desc limit 10";

// Only what provably changes nothing may be sent twice. What can't be parsed here may be known to the instance.
Repeat RepeatOf(const std::string& statements) {
  const auto script = operators::ParseScript(statements);
  if (!Ok(script)) return Repeat::kUnsafe;
  for (const operators::Line& line : ValueOf(script).m_lines) {
    if (operators::Changes(line.m_statement)) return Repeat::kUnsafe;
  }
  return Repeat::kSafe;
}

Exit Report(const CallError& error, std::ostream& errors) {
  return std::visit(Overloaded{[&](const Unreachable& e) {
                                 errors << "unreachable: " << e.m_why << "; nothing was changed\n";
                                 return Exit::kUnreachable;
                               },
                               [&](const AnswerLost& e) {
                                 errors << "in doubt: the answer of " << e.m_why
                                        << "; the change may have been made. Check with: show changes order by at "
                                           "desc limit 5\n";
                                 return Exit::kInDoubt;
                               }},
                    error);
}

Exit ExitFor(int status) {
  if (status == kHttpOk) return Exit::kDone;
  return status == kHttpGatewayTimeout ? Exit::kInDoubt : Exit::kRefused;
}

// The story of one job, a line each, and what is missing in it.
Exit ExplainLogs(const Options& options, const Streams& streams) {
  std::vector<operators::LogLine> lines;
  for (const std::string& path : options.m_logs) {
    std::ifstream file(path);
    if (!file) {
      streams.m_errors << "hqctl: --logs: " << path << " can't be read\n";
      return Exit::kUsage;
    }
    const int others = operators::AddLines(path, file, &lines);
    if (others > 0) streams.m_errors << path << ": " << others << " lines are no log lines in JSON\n";
  }
  const operators::Story story = operators::TellStory(options.m_job, std::move(lines));
  if (story.m_lines.empty()) {
    streams.m_errors << "no line names job " << options.m_job << '\n';
    return Exit::kRefused;
  }
  for (const operators::StoryLine& told : story.m_lines) {
    const operators::LogLine& line = told.m_line;
    const std::int64_t ms = told.m_since.count();
    streams.m_out << (ms < 0 ? '-' : '+') << std::abs(ms) / 1'000 << '.' << std::setw(3) << std::setfill('0')
                  << std::abs(ms) % 1'000 << " s  " << line.m_source << "  " << (told.m_of_job ? "" : "(meanwhile) ")
                  << line.m_part << ": " << line.m_text;
    for (const auto& [name, value] : line.m_fields) {
      if (!value.empty() && value != options.m_job) streams.m_out << ' ' << name << '=' << value;
    }
    streams.m_out << '\n';
  }
  for (const std::string& gap : story.m_gaps) streams.m_out << "missing: " << gap << '\n';
  return Exit::kDone;
}

// GET of a path, written as it comes.
Exit Fetch(AdminClient* client, const std::string& path, const Streams& streams) {
  const auto answer = client->Send({"GET", path, {}, ""}, Repeat::kSafe);
  if (!Ok(answer)) return Report(ErrorOf(answer), streams.m_errors);
  const bool good = ValueOf(answer).m_status == kHttpOk;
  (good ? streams.m_out : streams.m_errors) << ValueOf(answer).m_body << '\n';
  return ExitFor(ValueOf(answer).m_status);
}

Exit Once(AdminClient* client, const Options& options, const Streams& streams) {
  switch (options.m_mode) {
    case Mode::kStatements:
      return RunStatements(client, options.m_statements, options.m_format, streams);
    case Mode::kInteractive:
      return RunInteractive(client, options.m_format, streams);
    case Mode::kTop:
      return RunTop(client, options, streams);
    case Mode::kDump:
      return Fetch(client, "/dump", streams);
    case Mode::kMetrics:
      return Fetch(client, "/metrics", streams);
    case Mode::kExplainLogs:
      break;  // Needs no instance.
  }
  return Exit::kUsage;
}

// Rounds until interrupted, out of rounds, or refused. A round that nobody answers is reported and tried again.
template <typename Round>
Exit Repeatedly(Millis period, int rounds, Round round) {
  for (int done = 1;; ++done) {
    const Exit exit = round();
    const bool last = rounds > 0 && done >= rounds;
    if (last || (exit != Exit::kDone && exit != Exit::kUnreachable)) return exit;
    std::this_thread::sleep_for(period);
  }
}

}  // namespace

Exit RunStatements(AdminClient* client, const std::string& statements, Format format, const Streams& streams) {
  const net::HttpRequest request{"POST", "/v1/operate", {{"Content-Type", "text/plain"}}, statements};
  const auto answer = client->Send(request, RepeatOf(statements));
  if (!Ok(answer)) return Report(ErrorOf(answer), streams.m_errors);
  const net::HttpResponse& response = ValueOf(answer);
  const auto parsed = ParseJson(response.m_body);
  if (format == Format::kJson || !Ok(parsed)) {
    streams.m_out << response.m_body << '\n';
  } else {
    RenderOutcome(ValueOf(parsed), streams.m_out, streams.m_errors);
  }
  return ExitFor(response.m_status);
}

Exit RunTop(AdminClient* client, const Options& options, const Streams& streams) {
  const Millis period = options.m_watch.count() > 0 ? options.m_watch : kTopPeriod;
  return Repeatedly(period, options.m_rounds, [&] {
    streams.m_out << kClearScreen;
    const Exit exit = RunStatements(client, kTopScript, options.m_format, streams);
    streams.m_out.flush();
    return exit;
  });
}

int RunHqctl(const std::vector<std::string>& arguments, const Environment& environment, const Streams& streams) {
  const auto parsed = ParseOptions(arguments, environment);
  if (const auto* help = std::get_if<HelpWanted>(&parsed)) {
    streams.m_out << help->m_text;
    return static_cast<int>(Exit::kDone);
  }
  if (const auto* error = std::get_if<UsageError>(&parsed)) {
    streams.m_errors << "hqctl: " << error->m_message << "\nTry hqctl --help.\n";
    return static_cast<int>(Exit::kUsage);
  }
  const Options& options = std::get<Options>(parsed);
  if (options.m_mode == Mode::kExplainLogs) return static_cast<int>(ExplainLogs(options, streams));
  AdminClient client(options);
  const bool watches = options.m_watch.count() > 0 && options.m_mode != Mode::kTop;
  if (!watches) return static_cast<int>(Once(&client, options, streams));
  if (options.m_mode == Mode::kInteractive || RepeatOf(options.m_statements) == Repeat::kUnsafe) {
    streams.m_errors << "hqctl: --watch takes questions only\n";
    return static_cast<int>(Exit::kUsage);
  }
  return static_cast<int>(Repeatedly(options.m_watch, options.m_rounds, [&] {
    streams.m_out << kClearScreen;
    const Exit exit = Once(&client, options, streams);
    streams.m_out.flush();
    return exit;
  }));
}

}  // namespace hickoryquay::hqctl
