// Idle jobs: accepted jobs of which nothing runs, and what each of them waits for. Pure.
//
// The causes are the rules of placement, in the order in which they are applied: whoever adds a rule that holds work
// back adds its cause here and what ends it in docs/design/placement.md.
#pragma once

#include <optional>
#include <string>

#include "hickoryquay/jobs/units.h"
#include "hickoryquay/jobs/worker_choice.h"
#include "hickoryquay/jobs/worker_table.h"

namespace hickoryquay::jobs {

// Members of a unit for which there is room, by which rules are applied. Counts of members end at the unit's size.
struct RoomCensus {
  int m_workers = 0;          // Listed, of the unit's pool and label.
  int m_usable = 0;           // Of these, the ones that may get work at all.
  int m_resting = 0;          // Of the usable ones, those that get nothing of the unit for a while.
  int m_if_empty = 0;         // Members that would fit if nothing ran on any worker.
  int m_if_usable_empty = 0;  // As above, on usable workers.
  int m_free = 0;             // Members that fit into what is free on usable workers.
  int m_takeable = 0;         // Of these, where no reservation, rest or isolation is in the way.
  int m_best_rack = 0;        // Most of these in a single rack.
};
// Of `input`, the unit, its guarantee, the time, and whether resting workers are used.
RoomCensus CountRoom(const ChoiceInput& input, const std::vector<WorkerSlot*>& slots, const CrashSettings& crashes);

// Ascending by how little they explain: of several steps of a job, the one with the last cause is reported.
enum class IdleCause {
  kNotDue,           // A timed job between two occurrences.
  kUnreadRow,        // Its row can't be read.
  kSetAside,         // Its row can't be stored.
  kNoWorker,         // All workers together are too small.
  kWorkersUnusable,  // Enough workers are listed, too few of them answer and take work.
  kNoRoom,           // The workers are full.
  kStopping,         // An earlier run is being stopped.
  kUnconfirmed,      // It may run: nobody can tell yet.
  kUnanswered,       // The start was sent.
  kPlanned,          // Placed, the start is not sent yet.
  kWithheldRoom,     // There is room on workers that rest, or are reserved or held for others.
  kAlone,            // It waits for workers without other work.
  kRack,             // It waits for room in a single rack.
  kDataRack,         // It waits for room in the rack of its data.
  kFreeShare,        // It would leave too few accelerators free.
  kUnexplained,      // No rule is known to hold it back.
};
const char* ToString(IdleCause cause);

struct IdleJob {
  JobId m_job{};
  IdleCause m_cause = IdleCause::kUnexplained;
  TaskKey m_task;     // The first one that waits.
  int m_members = 0;  // Of its unit.
  RunNumber m_run{};  // Its last start; 0: never started.
  WorkerId m_worker;  // That holds it back; empty: none does.
  RoomCensus m_room;  // For a unit that waits.
};

// What an active unit of which nothing runs waits for, by its least certain member; empty if a member runs.
std::optional<IdleCause> CauseOfActive(const Unit& unit, WorkerId* worker);

}  // namespace hickoryquay::jobs
