// ShareKeeper: this entry instance's part of every backend server, over a list of instances that lags.
#pragma once

#include <deque>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/routing/adaptive_limit.h"
#include "hickoryquay/routing/backend.h"

namespace hickoryquay::routing {

struct ServerShare {
  LimitBounds m_limit;
  int m_connections = 0;
};

// Takes the least share of all lists seen within the lag: instances that have any one list of that time in common hold
// the limits together, whichever lists each of them saw besides. Pure: time comes with each call. Not thread-safe.
class ShareKeeper {
 public:
  ShareKeeper(InstanceId self, Millis list_lag, bool beyond_share)
      : m_self(std::move(self)), m_list_lag(list_lag), m_beyond_share(beyond_share) {}

  void OnList(std::vector<InstanceId> instances, Instant now);

  // A server nobody has listed instances for belongs to this one alone.
  ServerShare ShareOf(const BackendServer& server, Instant now) const;

 private:
  struct List {
    std::vector<InstanceId> m_instances;
    Instant m_last_seen;
  };

  InstanceId m_self;
  Millis m_list_lag;
  bool m_beyond_share;
  std::deque<List> m_lists;  // The last one is in force; no two neighbours are the same.
};

}  // namespace hickoryquay::routing
