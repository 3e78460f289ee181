// The one translation unit that compiles easylogging++ itself. What it writes to has to be declared first.
// clang-format off
#include "hickoryquay/base/line_output.h"
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
