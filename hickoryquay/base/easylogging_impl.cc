// The one translation unit that compiles easylogging++ itself.
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)

#include "hickoryquay/base/line_output.h"  // What it writes to.
