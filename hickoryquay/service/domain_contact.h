// DomainContact: which failure domains have lost contact as a whole, judged by calls to some of their workers.
//
// An idle worker is sent nothing until it gets a start, so a cut does not show there: each start that is sent to it
// holds its job up until a lease is over. Therefore the silence of several workers speaks for their failure domain. A
// call counts only if no worker of the domain has answered anything since it was sent, so a few crashed workers among
// others that answer never do. A call that ended long after its time limit shows that this process was late: its answer
// may be unread, so it counts for nothing. The first answer restores contact.
//
// Pure: no I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"

namespace hickoryquay::service {

struct DomainContactSettings {
  std::size_t m_silent_workers = 3;  // That make a domain lost.
  Millis m_least_silence{300};       // Without an answer. Calls to many workers that leave fail at the same moment.
  Millis m_longest_late{300};        // Between the time limit of a call and its end.
  Millis m_probe_interval{300};      // Between probes of the idle workers of a lost domain.
  std::size_t m_probes_at_once = 2;  // Of each lost domain.
};

struct UnansweredCall {
  WorkerId m_worker;
  Instant m_sent;
  Millis m_limit{0};  // Time that it was given for its answer.
};

// Not thread-safe.
class DomainContact {
 public:
  explicit DomainContact(const DomainContactSettings& settings) : m_settings(settings) {}

  // A worker of the domain answered. Returns true if contact is restored by it.
  bool OnAnswer(const DomainId& domain, Instant now) {
    Domain& state = m_domains[domain];
    state.m_last_answer = std::max(state.m_last_answer, now);
    state.m_silent.clear();
    return m_lost.erase(domain) > 0;
  }

  // The call got no answer until now. Returns true if the domain is lost by it.
  bool OnSilence(const DomainId& domain, const UnansweredCall& call, Instant now) {
    if (domain.m_value.empty()) return false;
    Domain& state = m_domains[domain];
    if (call.m_sent <= state.m_last_answer) return false;
    if (now - call.m_sent > call.m_limit + m_settings.m_longest_late) return false;
    state.m_silent.insert(call.m_worker);
    const bool lost =
        state.m_silent.size() >= m_settings.m_silent_workers && now - state.m_last_answer >= m_settings.m_least_silence;
    return lost && m_lost.insert(domain).second;
  }

  bool IsLost(const DomainId& domain) const { return m_lost.contains(domain); }
  const std::set<DomainId>& Lost() const { return m_lost; }

 private:
  struct Domain {
    Instant m_last_answer;
    std::set<WorkerId> m_silent;  // Since the last answer.
  };

  DomainContactSettings m_settings;
  std::map<DomainId, Domain> m_domains;
  std::set<DomainId> m_lost;
};

}  // namespace hickoryquay::service
