#include "hickoryquay/jobs/worker_choice.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace hickoryquay::jobs {

namespace {

constexpr int kProbeRank = -1;  // An unknown worker that a single task measures.

struct Option {
  WorkerSlot* m_slot = nullptr;
  int m_times = 0;
  int m_rank = 0;
  int m_speed = 0;
  bool m_cold = false;
};

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
  const Unit& unit = *input.m_unit;
  // At equal rank and room, urgent work prefers fast workers, batch work slow ones.
  const double sign = input.m_priority == 0 ? -1.0 : input.m_priority == 1 ? 0.0 : 1.0;
  const bool probes = input.m_pace.m_probes > 0 && input.m_priority > 0 && unit.m_members.size() == 1;
  const Resources& task = unit.m_step->m_spec->m_task;
  // Where all ranks are equal and no speed is preferred, it decides nothing.
  const bool asks_speed = sign != 0.0 || input.m_pace.m_uneven;
  std::vector<Option> options;
  for (WorkerSlot* slot : candidates) {
    if (!task.FitsIn(slot->m_free)) continue;  // The cheapest rule first: most workers are full.
    if (!MayHost(*slot, unit, settings.m_crashes, input.m_now)) continue;
    const Resources room = RoomFor(*slot, unit, input.m_guaranteed);
    const int times = LimitPerWorker(*slot, unit, CountFitting(room, task));
    if (times <= 0) continue;
    const bool probe = probes && slot->m_members.empty() && !slot->m_speed.IsMeasured(input.m_now, settings.m_speed);
    if (probe) {
      options.push_back({slot, 1, kProbeRank, 0, false});
      continue;
    }
    const LogBelief speed = asks_speed ? slot->m_speed.At(input.m_now, settings.m_speed) : LogBelief{};
    options.push_back({slot, times, RankOf(input, speed, settings),
                       static_cast<int>(std::lround(sign * speed.m_mean / settings.m_speed_step)),
                       input.m_now < slot->m_cold_until});
  }
  const bool urgent = input.m_priority == 0;
  const auto key = [urgent](const Option& option) {
    const WorkerSlot& slot = *option.m_slot;
    return std::tuple(urgent && option.m_cold, slot.m_failures, option.m_rank, slot.m_free.m_accelerators,
                      option.m_speed, option.m_cold);
  };
  const auto before = [&](const Option& a, const Option& b) { return key(a) < key(b); };
  if (unit.m_members.size() == 1 && !options.empty()) {
    const Option& best = *std::min_element(options.begin(), options.end(), before);
    return {{best.m_slot}, best.m_rank, urgent && best.m_cold};
  }
  const auto room = std::accumulate(
      options.begin(), options.end(), std::size_t{0},
      [](std::size_t sum, const Option& option) { return sum + static_cast<std::size_t>(option.m_times); });
  if (room < unit.m_members.size()) return {};
  std::stable_sort(options.begin(), options.end(), before);
  Choice choice;
  for (const Option& option : options) {
    for (int i = 0; i < option.m_times && choice.m_slots.size() < unit.m_members.size(); ++i) {
      choice.m_slots.push_back(option.m_slot);
      choice.m_rank = choice.m_slots.size() == 1 ? option.m_rank : std::max(choice.m_rank, option.m_rank);
      choice.m_cold = choice.m_cold || (urgent && option.m_cold);
    }
  }
  return choice;
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
    const bool better =
        best.m_slots.empty() || std::tie(chosen.m_cold, chosen.m_rank) < std::tie(best.m_cold, best.m_rank);
    if (better) best = std::move(chosen);
    if (!uneven && !best.m_cold) break;  // All others are of the same rank.
  }
  return best;
}

}  // namespace hickoryquay::jobs
