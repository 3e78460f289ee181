// Loss ledger: which workers fell silent or were lost lately, and what had runs there. Pure.
//
// It tells the loss of a failure domain, or of many workers, from crashes under the tasks of one job: those are lost
// with workers that had none of the job's tasks.
#pragma once

#include <set>
#include <vector>

#include "hickoryquay/jobs/units.h"
#include "hickoryquay/jobs/worker_table.h"

namespace hickoryquay::jobs {

struct LossLedgerSettings {
  Millis m_together{250};  // Workers that fall silent within this time of each other may have one cause.
  int m_fewest = 3;        // Workers without the job that must fall together.
  Millis m_same{10'000};   // A worker that is lost again so soon is still going down, or coming back.
  Millis m_keep{30'000};   // Longer than it takes to prove a loss.
};

class LossLedger {
 public:
  explicit LossLedger(const LossLedgerSettings& settings = {}) : m_settings(settings) {}

  void OnSilent(const WorkerSlot& slot, Instant now);
  // Runs are gone from a worker that answers: it may be on its way down.
  void OnRunVanished(const WorkerSlot& slot, Instant now);
  // The same incarnation answers. Call after the reply is processed.
  void OnAnswer(const WorkerId& worker);
  // Call while the runs are still members of the slot. Returns whether the loss may be due to the worker: no unit that
  // a worker had crashed under before had runs there.
  bool OnLost(const WorkerSlot& slot, Instant now);

  // Whether all workers of the slot's failure domain fell silent or were lost with it, some without a task of the job.
  bool FellWithDomain(const WorkerSlot& slot, JobId job, Instant at, const std::vector<WorkerSlot*>& slots) const;

 private:
  struct Fall {
    WorkerId m_worker;
    DomainId m_domain;
    Instant m_at;
    std::set<JobId> m_jobs;
    bool m_suspect = false;  // A unit that a worker had crashed under before had runs there.
    bool m_vanished = false;
    bool m_proved = false;
  };

  Fall* Open(const WorkerSlot& slot, Instant now);  // The present fall of the worker, with what runs there.
  bool Together(const Fall& fall, Instant at) const;

  LossLedgerSettings m_settings;
  std::vector<Fall> m_falls;
};

bool HasTaskOf(const WorkerSlot& slot, JobId job);
bool HasSuspect(const WorkerSlot& slot);  // A unit that a worker has crashed under.

}  // namespace hickoryquay::jobs
