// Crash isolation: units that are placed alone because workers crashed under them, and units that are given up. Pure.
//
// A task may crash each worker that starts it, and all that runs beside it is lost as well. A worker may also crash for
// other reasons. So a crash counts against every unit that had begun on the worker shortly before, and proves nothing
// by itself. A unit with several crashes is placed alone: there, a crash right after the start is evidence against it.
// A unit that runs on for longer than it took to crash is cleared.
//
// Index of this file:
//   [SECTION] Judgement
//   [SECTION] Placement
#pragma once

#include <vector>

#include "hickoryquay/jobs/units.h"
#include "hickoryquay/jobs/worker_table.h"

namespace hickoryquay::jobs {

//-------------------------------------------------------------------------------------------------
// [SECTION] Judgement
//-------------------------------------------------------------------------------------------------

struct CrashSettings {
  int m_isolate_at = 2;          // Crashes from which on the unit is placed alone.
  int m_give_up_at_evident = 3;  // Crashes that are evidence against the unit, at which it is given up.
  // Without such evidence it is given up m_starts_left starts after its m_limit_at-th crash, however these end.
  int m_limit_at = 3;
  int m_starts_left = 2;
  Millis m_evident_within{500};  // Of the answer to the start, until the worker stopped answering.
  Millis m_sound_after{2'000};   // A unit that still runs this long after its start is sound, if no crash came later.
  Millis m_longest_suspicion{15'000};  // Crashes later than this after the start count against no unit.
  double m_outlasts = 2.0;             // A run of so many times the longest time to a crash clears its unit.
  // If the other workers were lost this often on average for each crash under the unit, late crashes prove nothing.
  double m_usual_losses = 0.75;
  Millis m_longest_wait{2'500};   // For workers without other work. Then the unit is placed beside others.
  double m_max_held_share = 0.1;  // Of a pool's workers, that are held for units that wait to be placed alone.
};

enum class CrashVerdict { kNone, kIsolate, kGiveUp };
// Of the member that is worst. `run`: the last one that was placed.
CrashVerdict Judge(const std::vector<CrashedRun>& crashes, RunNumber run, const CrashSettings& settings);

// Whether the loss of the member's worker counts as a crash under it. Not if the worker had announced that it leaves,
// if the start was not sent, or if the unit is done or has run on for m_longest_suspicion. A worker whose lease ended
// may be cut off: it counts if it fell silent soon after the start, or if it is not known when the run began, but not
// if its failure domain fell silent with it. The platform no longer lists a worker that crashed before its lease ends.
bool CountsAsCrash(const Unit& unit, const Member& member, const LostWorker& lost, const CrashSettings& settings);

// From the member's start to the first sign of the loss; 0 if it is not known when the run began.
Millis RanUntil(const Member& member, const LostWorker& lost);

// How long a run must last to clear the unit of the crashes before it.
Millis SoundAfter(const Unit& unit, const CrashSettings& settings);

// Whether workers are lost as often without the unit: `losses` of `workers` since its first crash, that one left out.
bool AreLossesUsual(const Unit& unit, int losses, int workers, const CrashSettings& settings);

// Whether the crash is evidence against the unit: it was alone and had just begun.
bool IsEvident(const Member& member, const LostWorker& lost, const CrashSettings& settings);

// Whether all members were seen running `sound_after` after their start.
bool HasRunOn(const Unit& unit, Millis sound_after);

//-------------------------------------------------------------------------------------------------
// [SECTION] Placement
//-------------------------------------------------------------------------------------------------

bool NeedsIsolation(const Unit& unit, const CrashSettings& settings);  // In its next or present run.

// Whether the unit may be placed on the worker, given what runs there and for what the worker is held or reserved.
bool MayShare(const WorkerSlot& slot, const Unit& unit, const CrashSettings& settings);

// The workers of `candidates` to keep free of new work so that the unit can be placed alone there: those with the
// fewest other units. Empty if there are not enough, or too many are held already.
std::vector<WorkerSlot*> ChooseWorkersToHold(const Unit& unit, const std::vector<WorkerSlot*>& candidates,
                                             const CrashSettings& settings);

}  // namespace hickoryquay::jobs
