#include "hickoryquay/routing/wait_queue.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::routing {

std::optional<Waiting> WaitQueue::Push(Waiting waiting) {
  Level& level = m_levels.at(static_cast<std::size_t>(waiting.m_urgency));
  level.m_lanes[waiting.m_account].push_back(std::move(waiting));
  ++level.m_size;
  ++m_size;
  if (m_size <= m_capacity) return std::nullopt;
  const auto least = std::find_if(m_levels.rbegin(), m_levels.rend(), [](const Level& l) { return l.m_size > 0; });
  return TakeNewestOfLongest(&*least);
}

Waiting WaitQueue::TakeNewestOfLongest(Level* level) {
  const auto longest = std::max_element(level->m_lanes.begin(), level->m_lanes.end(),
                                        [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
  Waiting newest = std::move(longest->second.back());
  longest->second.pop_back();
  if (longest->second.empty()) level->m_lanes.erase(longest);
  --level->m_size;
  --m_size;
  return newest;
}

std::optional<Waiting> WaitQueue::Pop() {
  const auto found = std::find_if(m_levels.begin(), m_levels.end(), [](const Level& l) { return l.m_size > 0; });
  if (found == m_levels.end()) return std::nullopt;
  auto lane = found->m_lanes.upper_bound(found->m_last);
  if (lane == found->m_lanes.end()) lane = found->m_lanes.begin();
  found->m_last = lane->first;
  Waiting first = std::move(lane->second.front());
  lane->second.pop_front();
  if (lane->second.empty()) found->m_lanes.erase(lane);
  --found->m_size;
  --m_size;
  return first;
}

void WaitQueue::PutBack(Waiting waiting) {
  Level& level = m_levels.at(static_cast<std::size_t>(waiting.m_urgency));
  const AccountId account = waiting.m_account;
  level.m_lanes[account].push_front(std::move(waiting));
  ++level.m_size;
  ++m_size;
  // The turn goes back to the account by naming the one before it as served last.
  const auto lane = level.m_lanes.find(account);
  level.m_last = lane == level.m_lanes.begin() ? AccountId{} : std::prev(lane)->first;
}

bool WaitQueue::Remove(std::uint64_t id) {
  for (Level& level : m_levels) {
    for (auto& [account, lane] : level.m_lanes) {
      if (std::erase_if(lane, [id](const Waiting& w) { return w.m_id == id; }) == 0) continue;
      --level.m_size;
      --m_size;
      if (lane.empty()) level.m_lanes.erase(AccountId(account));
      return true;
    }
  }
  return false;
}

std::size_t WaitQueue::SizeUpTo(int urgency) const {
  std::size_t size = 0;
  for (int i = 0; i <= urgency; ++i) size += m_levels.at(static_cast<std::size_t>(i)).m_size;
  return size;
}

}  // namespace hickoryquay::routing
