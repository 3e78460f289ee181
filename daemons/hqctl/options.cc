#include "daemons/hqctl/options.h"

#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "hickoryquay/settings/values.h"

namespace hickoryquay::hqctl {

namespace po = boost::program_options;

namespace {

constexpr const char* kTeaching = R"(hqctl asks and changes what hickoryquay does, through any entry instance.

  hqctl --at 10.0.1.1:8002 --token-file ~/.hqctl-token 'show jobs where state = waiting order by waited desc limit 20'
  hqctl 'why job j-0123456789abcdef'            what holds a job, what it waits for, what would have to end
  hqctl 'what if guarantee trentmere/desk/base blocks 3 of 8'
  hqctl --script open-market.hq                 a file of statements, one transaction
  hqctl --watch 2 'show racks'                  again every two seconds
  hqctl top                                     a live view
  hqctl dump, hqctl metrics                     state and metrics of one entry instance
  hqctl explain 681143a3b14eb366 --logs *.log   what the logs of all instances on the platform tell of a job
  hqctl                                         interactive, with history; "help" lists the statements

Statements: create, change, drop (market, account, guarantee, class); expect market; drain, quarantine, release
(worker, instance); cancel, retry (job); show; why; what if; begin each. docs/operator-language.md has all of them.
A script is one transaction: all of its changes are accepted together or none is. "begin each" as its first line makes
every statement a transaction of its own.

HQCTL_AT and HQCTL_TOKEN_FILE stand in for --at and --token-file.

Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no entry instance could be reached (nothing was changed),
4 a change is in doubt (it may have been made; the message says how to check).
)";

po::options_description Described() {
  po::options_description described("Options");
  described.add_options()("help,h", "this text")(
      "at,a", po::value<std::vector<std::string>>()->composing(),
      "admin address of an entry instance, ADDRESS:PORT; several: the next is tried where one can't be reached")(
      "token-file,t", po::value<std::string>(), "file whose first line is the token")(
      "logs", po::value<std::vector<std::string>>()->multitoken(), "log files in JSON, of \"explain\"")(
      "script,s", po::value<std::string>(), "file of statements; - reads standard input")(
      "format,f", po::value<std::string>()->default_value("table"), "table or json")("watch,w", po::value<double>(),
                                                                                     "repeat every so many seconds")(
      "rounds", po::value<int>()->default_value(0), "stop --watch and top after so many rounds; 0: never")(
      "timeout", po::value<std::string>()->default_value("10s"), "of one call, with its unit")("tls", "speak TLS")(
      "ca", po::value<std::string>(), "PEM file of who signs the certificates; implies --tls");
  return described;
}

std::string HelpText() {
  std::ostringstream text;
  text << kTeaching << '\n' << Described();
  return text.str();
}

std::string AddAddresses(const std::string& list, std::vector<net::Endpoint>* at) {
  std::istringstream parts(list);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const auto endpoint = net::ParseEndpoint(part);
    if (!Ok(endpoint)) return "--at: " + ErrorOf(endpoint);
    at->push_back(ValueOf(endpoint));
  }
  return "";
}

std::string ReadFirstLine(const std::string& path, std::string* line) {
  std::ifstream file(path);
  if (!file || !std::getline(file, *line) || line->empty())
    return "--token-file: " + path + " can't be read or is empty";
  return "";
}

std::string ReadScript(const std::string& path, std::string* text) {
  std::ostringstream content;
  if (path == "-") {
    content << std::cin.rdbuf();
  } else {
    std::ifstream file(path);
    if (!file) return "--script: " + path + " can't be read";
    content << file.rdbuf();
  }
  *text = content.str();
  return "";
}

std::string FillWatch(const po::variables_map& given, Options* options) {
  options->m_rounds = given["rounds"].as<int>();
  if (given.count("watch") == 0) return "";
  const double seconds = given["watch"].as<double>();
  if (!(seconds >= 0.1 && seconds <= 3600.0)) return "--watch: expected seconds from 0.1 to 3600";
  options->m_watch = Millis{static_cast<std::int64_t>(seconds * 1000)};
  return "";
}

std::string FillExplain(const po::variables_map& given, Options* options) {
  constexpr std::size_t kDigits = 16;
  options->m_mode = Mode::kExplainLogs;
  options->m_logs = given["logs"].as<std::vector<std::string>>();
  std::vector<std::string> words;
  if (given.count("statement") > 0) words = given["statement"].as<std::vector<std::string>>();
  const bool good = words.size() == 2 && words[0] == "explain" && words[1].size() == kDigits &&
                    words[1].find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!good) return "--logs takes \"explain\" and the sixteen hexadecimal digits of a job";
  options->m_job = words[1];
  return "";
}

std::string FillMode(const po::variables_map& given, Options* options) {
  static const std::map<std::string, Mode> modes = {
      {"top", Mode::kTop}, {"dump", Mode::kDump}, {"metrics", Mode::kMetrics}};
  if (given.count("logs") > 0) return FillExplain(given, options);
  if (given.count("script") > 0) {
    options->m_mode = Mode::kStatements;
    if (given.count("statement") > 0) return "--script and statements on the command line exclude each other";
    return ReadScript(given["script"].as<std::string>(), &options->m_statements);
  }
  if (given.count("statement") == 0) return "";
  for (const std::string& word : given["statement"].as<std::vector<std::string>>()) {
    options->m_statements += (options->m_statements.empty() ? "" : " ") + word;
  }
  const auto mode = modes.find(options->m_statements);
  options->m_mode = mode == modes.end() ? Mode::kStatements : mode->second;
  return "";
}

std::string FillConnection(const po::variables_map& given, const Environment& environment, Options* options) {
  if (options->m_mode == Mode::kExplainLogs) return "";
  std::vector<std::string> lists = {environment.m_at};
  if (given.count("at") > 0) lists = given["at"].as<std::vector<std::string>>();
  for (const std::string& list : lists) {
    std::string wrong = AddAddresses(list, &options->m_at);
    if (!wrong.empty()) return wrong;
  }
  if (options->m_at.empty()) return "--at ADDRESS:PORT is missing";
  options->m_tls = given.count("tls") > 0 || given.count("ca") > 0;
  if (given.count("ca") > 0) options->m_ca_file = given["ca"].as<std::string>();
  const std::string timeout = given["timeout"].as<std::string>();
  std::string wrong = settings::ParseDuration(timeout, Millis{10}, Millis{600'000}, &options->m_timeout);
  if (!wrong.empty()) return "--timeout: " + wrong;
  const std::string token_file =
      given.count("token-file") > 0 ? given["token-file"].as<std::string>() : environment.m_token_file;
  if (token_file.empty()) return "--token-file is missing";
  return ReadFirstLine(token_file, &options->m_token);
}

std::string FillFormat(const po::variables_map& given, Options* options) {
  const std::string format = given["format"].as<std::string>();
  if (format != "table" && format != "json") return "--format: expected table or json";
  options->m_format = format == "json" ? Format::kJson : Format::kTable;
  return "";
}

}  // namespace

std::variant<Options, HelpWanted, UsageError> ParseOptions(const std::vector<std::string>& arguments,
                                                           const Environment& environment) {
  po::options_description all = Described();
  all.add_options()("statement", po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add("statement", -1);
  po::variables_map given;
  try {
    po::store(po::command_line_parser(arguments).options(all).positional(positional).run(), given);
  } catch (const po::error& error) {
    return UsageError{error.what()};
  }
  if (given.count("help") > 0) return HelpWanted{HelpText()};
  Options options;
  for (const std::string& wrong : {FillMode(given, &options), FillFormat(given, &options), FillWatch(given, &options),
                                   FillConnection(given, environment, &options)}) {
    if (!wrong.empty()) return UsageError{wrong};
  }
  return options;
}

}  // namespace hickoryquay::hqctl
