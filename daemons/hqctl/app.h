// App: hqctl behind its command line.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "daemons/hqctl/client.h"
#include "daemons/hqctl/options.h"

namespace hickoryquay::hqctl {

// Exit codes.
enum class Exit : int {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kUnreachable = 3,  // Nothing was changed.
  kInDoubt = 4,      // A change may have been made.
};

struct Streams {
  std::ostream& m_out;
  std::ostream& m_errors;
};

// Runs the statements once and writes what they answered.
Exit RunStatements(AdminClient* client, const std::string& statements, Format format, const Streams& streams);

// Line by line until the end of input.
Exit RunInteractive(AdminClient* client, Format format, const Streams& streams);

// A live view of racks, accounts and jobs.
Exit RunTop(AdminClient* client, const Options& options, const Streams& streams);

int RunHqctl(const std::vector<std::string>& arguments, const Environment& environment, const Streams& streams);

}  // namespace hickoryquay::hqctl
