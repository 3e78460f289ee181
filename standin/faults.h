// Faults: what is wrong with the platform and what stands behind it, set through POST /control/faults.
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::standin {

enum class TableFault { kNone, kDown, kLostAnswer };

// Thread-safe.
class Faults {
  template <typename Body>
  auto Locked(Body body) const {
    const std::scoped_lock lock(m_mutex);
    return body();
  }

 public:
  void SetTable(TableFault fault) {
    Locked([&] { m_table = fault; });
  }
  TableFault Table() const {
    return Locked([&] { return m_table; });
  }
  void SetTableDelay(Millis delay) {
    Locked([&] { m_table_delay = delay; });
  }
  Millis TableDelay() const {
    return Locked([&] { return m_table_delay; });
  }

  // A cut goes both ways. The platform is one of the names.
  void SetCut(const std::string& a, const std::string& b, bool on) {
    Locked([&] { on ? void(m_cuts.insert(Ordered(a, b))) : void(m_cuts.erase(Ordered(a, b))); });
  }
  bool IsCut(const std::string& a, const std::string& b) const {
    return Locked([&] { return m_cuts.contains(Ordered(a, b)); });
  }

 private:
  static std::pair<std::string, std::string> Ordered(const std::string& a, const std::string& b) {
    return a < b ? std::pair{a, b} : std::pair{b, a};
  }
  mutable std::mutex m_mutex;
  TableFault m_table = TableFault::kNone;
  Millis m_table_delay{0};
  std::set<std::pair<std::string, std::string>> m_cuts;
};

constexpr char kPlatform[] = "platform";  // Its name in cuts, beside those of the failure domains.

}  // namespace hickoryquay::standin
