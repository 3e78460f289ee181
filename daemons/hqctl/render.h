// Render: the admin API's JSON answers as text for people.
#pragma once

#include <boost/json/value.hpp>
#include <ostream>
#include <string>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::hqctl {

// Everything a script answered, and its error. Anything that is no such JSON is written as it is.
void RenderOutcome(const boost::json::value& outcome, std::ostream& out, std::ostream& errors);

// "250ms", "12.3s", "5m03s", "2h05m", "3d04h"; negative ones with a sign.
std::string ShortDuration(Millis duration);

}  // namespace hickoryquay::hqctl
