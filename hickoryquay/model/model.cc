#include "hickoryquay/model/model.h"

#include <array>
#include <utility>

namespace hickoryquay {

namespace {

constexpr std::array<std::pair<Adjacency, const char*>, 4> kAdjacencies = {
    {{Adjacency::kWorker, "worker"},
     {Adjacency::kRack, "rack"},
     {Adjacency::kNeighbourRacks, "neighbour-racks"},
     {Adjacency::kAny, "any"}}};

constexpr std::array<std::pair<JobState, const char*>, 7> kJobStates = {{{JobState::kWaiting, "waiting"},
                                                                         {JobState::kStarting, "starting"},
                                                                         {JobState::kRunning, "running"},
                                                                         {JobState::kDone, "done"},
                                                                         {JobState::kRefused, "refused"},
                                                                         {JobState::kCancelled, "cancelled"},
                                                                         {JobState::kUncertain, "uncertain"}}};

template <typename Table, typename Value>
const char* TextOf(const Table& table, Value value) {
  for (const auto& [known, text] : table) {
    if (known == value) return text;
  }
  return "?";
}

template <typename Table, typename Value>
bool ValueOfText(const Table& table, const std::string& text, Value* value) {
  for (const auto& [known, name] : table) {
    if (text != name) continue;
    *value = known;
    return true;
  }
  return false;
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  m_accelerators += other.m_accelerators;
  m_millicores += other.m_millicores;
  m_memory_mb += other.m_memory_mb;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  m_accelerators -= other.m_accelerators;
  m_millicores -= other.m_millicores;
  m_memory_mb -= other.m_memory_mb;
  return *this;
}

Resources Resources::operator*(int times) const {
  return Resources{m_accelerators * times, m_millicores * times, m_memory_mb * times};
}

bool Resources::FitsIn(const Resources& room) const {
  return m_accelerators <= room.m_accelerators && m_millicores <= room.m_millicores && m_memory_mb <= room.m_memory_mb;
}

const ClassOfWork* Market::FindClass(const ClassId& id) const {
  const auto found = m_classes.find(id);
  return found == m_classes.end() ? nullptr : &found->second;
}

const ClientAccount* Market::FindAccount(const AccountId& id) const {
  const auto found = m_accounts.find(id);
  return found == m_accounts.end() ? nullptr : &found->second;
}

const Market* Configuration::FindMarket(const MarketId& id) const {
  const auto found = m_markets.find(id);
  return found == m_markets.end() ? nullptr : found->second.get();
}

bool Ended(JobState state) {
  return state != JobState::kWaiting && state != JobState::kStarting && state != JobState::kRunning;
}

bool RunsOnce(const JobSpec& spec, const ClassOfWork& work) {
  return spec.m_once || !work.m_repeatable;
}

const char* ToString(Adjacency adjacency) {
  return TextOf(kAdjacencies, adjacency);
}
const char* ToString(JobState state) {
  return TextOf(kJobStates, state);
}
bool ParseAdjacency(const std::string& text, Adjacency* adjacency) {
  return ValueOfText(kAdjacencies, text, adjacency);
}
bool ParseJobState(const std::string& text, JobState* state) {
  return ValueOfText(kJobStates, text, state);
}

}  // namespace hickoryquay
