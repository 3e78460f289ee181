// VersionTimes: tells whether a feed leaves changes out, by the versions of writes that were stored meanwhile. Pure: no
// I/O, no clock.
//
// Every transaction raises the version of the whole store, so an answer to a feed that was given after a write was
// acknowledged must name a version no older than that write's. One that doesn't is behind, however recent it looks.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <iterator>
#include <optional>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"

namespace hickoryquay::store {

// Not thread-safe. Times are those of our steady clock.
class VersionTimes {
 public:
  // A write with this version was stored between `from` and `until`. Call in order of versions.
  void Add(Version version, Instant from, Instant until) {
    m_writes.push_back({version, from, until});
    if (m_writes.size() > kKept) m_writes.pop_front();
  }

  // Up to when a feed that has reached `version`, and was answered at `answered`, holds all changes. Empty: it has been
  // behind for longer than writes are kept.
  std::optional<Instant> CompleteAt(Version version, Instant answered) const {
    const auto newer = std::partition_point(m_writes.begin(), m_writes.end(),
                                            [version](const Write& write) { return write.m_version <= version; });
    if (newer == m_writes.end() || newer->m_until > answered) return answered;
    if (newer == m_writes.begin()) return std::nullopt;
    return std::min(answered, std::prev(newer)->m_from);
  }

 private:
  static constexpr std::size_t kKept = 1'024;

  struct Write {
    Version m_version;
    Instant m_from;
    Instant m_until;
  };
  std::deque<Write> m_writes;
};

}  // namespace hickoryquay::store
