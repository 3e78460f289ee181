#include "hickoryquay/jobs/worker_choice.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>

namespace hickoryquay::jobs {

namespace {

constexpr int kProbeRank = -1;  // An unknown worker that a single task measures.

// Lower ranks are preferred. Urgent work takes the best chance. Other work leaves fast workers free: it takes those
// that are too slow for urgent work first, then unknown ones, if its own objective allows that; where it does not, the
// best chance.
int RankOf(const ChoiceInput& input, const LogBelief& speed, const ChoiceSettings& settings) {
  if (!input.m_pace.m_uneven) return 0;
  const double chance =
      ChanceToMeet(input.m_estimate, input.m_budget, speed, settings.m_duration_spread, settings.m_duration_bias);
  if (input.m_priority == 0) return static_cast<int>(std::lround((1.0 - chance) / settings.m_chance_step));
  enum Tier { kTooSlowForUrgent, kUnknown, kFast, kMayMiss };
  if (chance < settings.m_enough_chance && input.m_budget > Millis{0})
    return kMayMiss + static_cast<int>(std::lround((settings.m_enough_chance - chance) / settings.m_chance_step));
  if (speed.m_mean < input.m_pace.m_too_slow) return kTooSlowForUrgent;
  const double known = settings.m_speed.m_known_spread * settings.m_speed.m_known_spread;
  return speed.m_variance >= known ? kUnknown : kFast;
}

bool IsBetter(const WorkerOption& a, const WorkerOption& b) {
  const auto key = [](const WorkerOption& option) {
    return std::tie(option.m_rests, option.m_avoid_cold, option.m_failures, option.m_rank, option.m_free,
                    option.m_speed, option.m_cold, option.m_index);
  };
  return key(a) < key(b);
}

bool IsWorse(const WorkerOption& a, const WorkerOption& b) {
  return IsBetter(b, a);
}

// Empty if the worker can't take a member of the unit now.
std::optional<WorkerOption> OptionOn(WorkerSlot* slot, std::size_t index, const ChoiceInput& input,
                                     const ChoiceSettings& settings) {
  const Unit& unit = *input.m_unit;
  const Resources& task = unit.m_step->m_spec->m_task;
  if (!task.FitsIn(slot->m_free)) return std::nullopt;  // The cheapest rule first: most workers are full.
  if (!IsOpenTo(*slot, unit, settings.m_crashes, input.m_now)) return std::nullopt;
  WorkerOption option;
  option.m_rests = input.m_now < slot->m_avoid_until;
  if (option.m_rests && !input.m_uses_resting) return std::nullopt;
  option.m_times = LimitPerWorker(*slot, unit, CountFitting(RoomFor(*slot, unit, input.m_guaranteed), task));
  if (option.m_times <= 0) return std::nullopt;
  option.m_slot = slot;
  option.m_index = index;
  option.m_failures = slot->m_failures;
  option.m_free = slot->m_free.m_accelerators;
  const bool probes = input.m_pace.m_probes > 0 && input.m_priority > 0 && unit.m_members.size() == 1;
  if (probes && slot->m_members.empty() && !slot->m_speed.IsMeasured(input.m_now, settings.m_speed)) {
    option.m_times = 1;
    option.m_rank = kProbeRank;
    return option;
  }
  option.m_cold = input.m_now < slot->m_cold_until;
  option.m_avoid_cold = input.m_priority == 0 && option.m_cold;
  // At equal rank and room, urgent work prefers fast workers, batch work slow ones.
  const double sign = input.m_priority == 0 ? -1.0 : input.m_priority == 1 ? 0.0 : 1.0;
  // Where all ranks are equal and no speed is preferred, it decides nothing.
  if (sign == 0.0 && !input.m_pace.m_uneven) return option;
  const LogBelief speed = slot->m_speed.At(input.m_now, settings.m_speed);
  option.m_rank = RankOf(input, speed, settings);
  option.m_speed = static_cast<int>(std::lround(sign * speed.m_mean / settings.m_speed_step));
  return option;
}

std::vector<WorkerOption> OptionsAmong(const ChoiceInput& input, const std::vector<WorkerSlot*>& candidates,
                                       const ChoiceSettings& settings) {
  std::vector<WorkerOption> options;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (const auto option = OptionOn(candidates[i], i, input, settings)) options.push_back(*option);
  }
  return options;
}

}  // namespace

PoolPace JudgePool(const std::vector<const WorkerSlot*>& workers, double tightest_stretch, Instant now,
                   const ChoiceSettings& settings) {
  PoolPace pace;
  pace.m_too_slow = -std::log(std::max(1.0, tightest_stretch));
  int measured = 0;
  int slow = 0;
  int free = 0;
  int probed = 0;
  for (const WorkerSlot* slot : workers) {
    if (slot->m_members.empty()) ++free;
    if (!slot->m_speed.IsMeasured(now, settings.m_speed)) {
      if (slot->m_members.size() == 1) ++probed;
      continue;
    }
    ++measured;
    if (slot->m_speed.At(now, settings.m_speed).m_mean < pace.m_too_slow) ++slow;
  }
  pace.m_uneven = slow >= settings.m_min_slow_workers && slow >= settings.m_min_slow_share * measured;
  const bool measures = pace.m_uneven && measured < settings.m_enough_measured * static_cast<double>(workers.size());
  if (measures) pace.m_probes = std::max(0, static_cast<int>(settings.m_max_probed_share * free) - probed);
  return pace;
}

Choice ChooseWorkers(const ChoiceInput& input, const std::vector<WorkerSlot*>& candidates,
                     const ChoiceSettings& settings) {
  const std::size_t members = input.m_unit->m_members.size();
  std::vector<WorkerOption> options = OptionsAmong(input, candidates, settings);
  if (members == 1 && !options.empty()) {
    const WorkerOption& best = *std::min_element(options.begin(), options.end(), &IsBetter);
    return {{best.m_slot}, best.m_rank, best.m_avoid_cold, best.m_rests};
  }
  const auto room = std::accumulate(
      options.begin(), options.end(), std::size_t{0},
      [](std::size_t sum, const WorkerOption& option) { return sum + static_cast<std::size_t>(option.m_times); });
  if (room < members) return {};
  std::sort(options.begin(), options.end(), &IsBetter);
  Choice choice;
  for (const WorkerOption& option : options) {
    for (int i = 0; i < option.m_times && choice.m_slots.size() < members; ++i) {
      choice.m_slots.push_back(option.m_slot);
      choice.m_rank = choice.m_slots.size() == 1 ? option.m_rank : std::max(choice.m_rank, option.m_rank);
      choice.m_cold = choice.m_cold || option.m_avoid_cold;
      choice.m_rests = choice.m_rests || option.m_rests;
    }
  }
  return choice;
}

RankedWorkers::RankedWorkers(const ChoiceInput& input, const std::vector<WorkerSlot*>& candidates,
                             const ChoiceSettings& settings)
    : m_input(input), m_settings(settings), m_options(OptionsAmong(input, candidates, settings)) {
  std::make_heap(m_options.begin(), m_options.end(), &IsWorse);
}

Choice RankedWorkers::Best() const {
  if (m_options.empty()) return {};
  const WorkerOption& best = m_options.front();
  return {{best.m_slot}, best.m_rank, best.m_avoid_cold, best.m_rests};
}

void RankedWorkers::OnPlaced() {
  std::pop_heap(m_options.begin(), m_options.end(), &IsWorse);
  const auto option = OptionOn(m_options.back().m_slot, m_options.back().m_index, m_input, m_settings);
  m_options.pop_back();
  if (!option) return;
  m_options.push_back(*option);
  std::push_heap(m_options.begin(), m_options.end(), &IsWorse);
}

Choice ChooseGroup(const WorkerGroups& groups, GroupOrder order, bool uneven,
                   const std::function<Choice(const std::vector<WorkerSlot*>&)>& choose) {
  std::vector<std::pair<int, const std::vector<WorkerSlot*>*>> by_room;
  for (const auto& [name, slots] : groups) {
    int free = 0;
    for (const WorkerSlot* slot : slots) free += slot->m_free.m_accelerators;
    by_room.emplace_back(order == GroupOrder::kPack ? free : -free, &slots);
  }
  std::stable_sort(by_room.begin(), by_room.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  Choice best;
  for (const auto& [free, slots] : by_room) {
    Choice chosen = choose(*slots);
    if (chosen.m_slots.empty()) continue;
    const bool better = best.m_slots.empty() || std::tie(chosen.m_rests, chosen.m_cold, chosen.m_rank) <
                                                    std::tie(best.m_rests, best.m_cold, best.m_rank);
    if (better) best = std::move(chosen);
    if (!uneven && !best.m_cold && !best.m_rests) break;  // All others are of the same rank.
  }
  return best;
}

}  // namespace hickoryquay::jobs
