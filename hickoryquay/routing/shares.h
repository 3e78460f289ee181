// Shares: how the slots and connections of a backend server are divided between entry instances that do not talk to
// each other. docs/design/requests.md has the argument.
#pragma once

#include <string>
#include <vector>

#include "hickoryquay/base/ids.h"

namespace hickoryquay::routing {

// The part of `total` that belongs to `self`. Instances with the same list get parts that sum up to at most `total`:
// everyone gets the whole quotient, and the remainder goes to those that rank highest by a hash with `salt`, so that
// different backend servers favour different instances. 0 where `self` is not listed. O(instances).
int ExactShare(int total, const std::vector<InstanceId>& instances, const InstanceId& self, const std::string& salt);

// The part of `total` that any one of `instances` may take, with room left for `newcomers` whom nobody has listed yet.
// 0 where `total` is too small for one each.
int EvenShare(int total, int instances, int newcomers);

}  // namespace hickoryquay::routing
