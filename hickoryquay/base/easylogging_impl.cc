// The one translation unit that compiles easylogging++ itself.
#include "hickoryquay/base/line_output.h"  // What it writes to.

#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
