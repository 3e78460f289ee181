#include "bench/jobs/load.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace hickoryquay::bench {

namespace {

constexpr int kWorkersPerRack = 8;
constexpr double kUsualWorkers = 48.0;
constexpr int kAccelerators = 8;  // Of a worker.
constexpr std::int64_t kMillicores = 64'000;
constexpr std::int64_t kMemoryMb = 131'072;
constexpr const char* kPool = "pool";
constexpr int kAccounts = 4;
constexpr double kGuaranteed = 0.62;  // Of all accelerators, to all accounts together.
constexpr double kBaseWorth = 0.3;    // Of a job of no work at all.
constexpr double kWorkWorth = 0.7;    // Of one of its queue's mean work.
constexpr double kLargestWorth = 4;   // Times the worth of its queue.
constexpr double kCoresPerAccelerator = 8.0;
constexpr double kWaveSeconds = 11.0;
constexpr double kStragglerFactor = 7.0;

using Random = std::mt19937_64;

bool Chance(Random* random, double share) {
  return std::uniform_real_distribution<>(0.0, 1.0)(*random) < share;
}

// Of a given mean, whatever the spread.
double LogNormal(Random* random, double mean, double spread) {
  return std::lognormal_distribution<>(std::log(mean) - spread * spread / 2.0, spread)(*random);
}

double CoreSeconds(const Resources& task, double work_ms) {
  return (static_cast<double>(task.m_millicores) / 1000.0 + kCoresPerAccelerator * task.m_accelerators) * work_ms /
         1000.0;
}

jobs::Queue MakeQueue(const std::string& name, int priority, int attempts, double stretch, Millis objective) {
  jobs::Queue queue;
  queue.m_name = jobs::QueueName{name};
  queue.m_pool = jobs::PoolName{kPool};
  queue.m_priority = priority;
  queue.m_max_attempts = attempts;
  queue.m_stretch = stretch;
  queue.m_objective = objective;
  return queue;
}

// Rates, sizes and worths as the users tell them of their own queues.
std::vector<QueueLoad> MakeQueues() {
  QueueLoad urgent;
  urgent.m_queue = MakeQueue("interactive", 0, 2, 1.5, Millis{250});
  urgent.m_per_second = 2.6;
  urgent.m_worth = 4.0;
  urgent.m_late_worth = 0.8;
  urgent.m_mean_tasks = 3.4;
  urgent.m_max_tasks = 21;
  urgent.m_mean_work_ms = 2'500.0;
  urgent.m_work_spread = 0.5;
  urgent.m_max_work_ms = 8'000.0;
  urgent.m_accelerators = {1, 2, 4, 8, 8};
  urgent.m_millicores = 7'500;
  urgent.m_memory_mb = 15'000;
  urgent.m_estimate_off = 0.5;
  urgent.m_gangs = 1.0;
  urgent.m_rack_local = 0.8;
  QueueLoad large;
  large.m_queue = MakeQueue("rebuild", 1, 2, 3.0, Millis{1'000});
  large.m_per_second = 0.86;
  large.m_worth = 3.0;
  large.m_late_worth = 0.9;
  large.m_mean_tasks = 5.0;
  large.m_max_tasks = 30;
  large.m_mean_work_ms = 6'800.0;
  large.m_accelerators = {1, 2, 4, 8, 8};
  large.m_millicores = 26'000;
  large.m_memory_mb = 53'000;
  large.m_gangs = 1.0;
  large.m_rack_local = 0.6;
  large.m_checkpoints = 0.45;
  large.m_cancelled = 0.05;
  QueueLoad batch;
  batch.m_queue = MakeQueue("sweep", 2, 3, 3.0, Millis{3'000});
  batch.m_per_second = 0.81;
  batch.m_worth = 1.0;
  batch.m_late_worth = 0.3;
  batch.m_mean_tasks = 16.0;
  batch.m_max_tasks = 94;
  batch.m_mean_work_ms = 6'100.0;
  batch.m_accelerators = {1};
  batch.m_millicores = 5'600;
  batch.m_memory_mb = 11'000;
  batch.m_checkpoints = 0.45;
  batch.m_second_step = 0.3;
  batch.m_faulty = 0.02;
  batch.m_cancelled = 0.15;
  return {urgent, large, batch};
}

std::vector<standin::SimWorkerSettings> MakeWorkers(int count) {
  constexpr double kSpeeds[] = {0.8, 1.0, 1.25};
  std::vector<standin::SimWorkerSettings> workers;
  for (int i = 0; i < count; ++i) {
    standin::SimWorkerSettings worker;
    worker.m_entry.m_id = WorkerId{"w" + std::to_string(i)};
    worker.m_entry.m_pool = jobs::PoolName{kPool};
    worker.m_entry.m_address = worker.m_entry.m_id.m_value;
    worker.m_entry.m_rack = "r" + std::to_string(i / kWorkersPerRack);
    worker.m_entry.m_domain = DomainId{"d" + std::to_string(i / kWorkersPerRack % 3)};
    worker.m_entry.m_labels = {worker.m_entry.m_rack};
    worker.m_entry.m_capacity = Resources{kAccelerators, kMillicores, kMemoryMb};
    worker.m_speed = kSpeeds[i % 3];
    workers.push_back(worker);
  }
  return workers;
}

class Draw {
 public:
  Draw(DayLoad* day, std::uint64_t seed) : m_day(day), m_random(seed) {}

  void AddArrivals(const QueueLoad& queue) {
    double at_s = static_cast<double>(m_day->m_first_arrival.m_ms) / 1000.0;
    const double until_s = static_cast<double>(m_day->m_arrivals.count()) / 1000.0;
    while (true) {
      const double wave = 1.0 + m_day->m_swing * std::sin(2.0 * M_PI * at_s / kWaveSeconds);
      at_s += std::exponential_distribution<>(queue.m_per_second * wave)(m_random);
      if (at_s >= until_s) return;
      AddJob(queue, Instant{static_cast<std::int64_t>(at_s * 1000.0)});
    }
  }

  void AddJob(const QueueLoad& queue, Instant at) {
    DayJob planned;
    jobs::AcceptedJob& job = planned.m_job;
    job.m_id = JobId{static_cast<std::uint64_t>(m_day->m_jobs.size()) + 1};
    job.m_queue = queue.m_queue.m_name;
    const double which = std::uniform_real_distribution<>(0.0, 1.0)(m_random);
    const auto accounts = static_cast<double>(m_day->m_accounts.size());
    job.m_account = m_day->m_accounts[static_cast<std::size_t>(which * which * accounts)].m_id;  // A few large ones.
    job.m_accepted = at;
    job.m_pool = queue.m_queue.m_pool;
    job.m_priority = queue.m_queue.m_priority;
    job.m_max_attempts = queue.m_queue.m_max_attempts;
    job.m_stretch = queue.m_queue.m_stretch;
    job.m_objective = queue.m_queue.m_objective;
    job.m_request.m_payload = "payload";
    const int steps = Chance(&m_random, queue.m_second_step) ? 2 : 1;
    double core_seconds = 0.0;
    Millis nominal{0};
    for (int i = 0; i < steps; ++i) {
      planned.m_truths.push_back(MakeStep(queue, i));
      const standin::StepTruth& truth = planned.m_truths.back();
      const Millis longest = *std::max_element(truth.m_work.begin(), truth.m_work.end());
      nominal += m_nominal;
      planned.m_critical_path += longest + truth.m_failing_runs * longest / 2;  // A run that fails does so halfway.
      for (const Millis work : truth.m_work) {
        core_seconds += CoreSeconds(truth.m_spec.m_task, static_cast<double>(work.count()));
      }
      job.m_request.m_steps.push_back(truth.m_spec);
    }
    const Resources usual{MeanAccelerators(queue), queue.m_millicores, queue.m_memory_mb};
    const double mean = queue.m_mean_tasks * CoreSeconds(usual, queue.m_mean_work_ms);
    const double size = std::min(kLargestWorth, kBaseWorth + kWorkWorth * core_seconds / mean);
    planned.m_worth = queue.m_worth * size;
    planned.m_late_worth = queue.m_late_worth * size;
    const Millis promised = queue.m_nominal_objective ? nominal : planned.m_critical_path;
    const auto stretched = static_cast<std::int64_t>(queue.m_queue.m_stretch * static_cast<double>(promised.count()));
    planned.m_objective = Millis{stretched} + queue.m_queue.m_objective;
    if (Chance(&m_random, queue.m_cancelled)) {
      planned.m_cancel_at = at + Millis{std::uniform_int_distribution<>(200, 6'000)(m_random)};
    }
    m_day->m_jobs.push_back(std::move(planned));
  }

  Random& Source() { return m_random; }

  std::vector<WorkerId> SomeWorkers(double share) {
    std::vector<WorkerId> ids;
    for (const auto& worker : m_day->m_workers) ids.push_back(worker.m_entry.m_id);
    std::shuffle(ids.begin(), ids.end(), m_random);
    ids.resize(static_cast<std::size_t>(std::ceil(share * static_cast<double>(ids.size()))));
    return ids;
  }

 private:
  static int MeanAccelerators(const QueueLoad& queue) {
    int sum = 0;
    for (const int accelerators : queue.m_accelerators) sum += accelerators;
    return static_cast<int>(std::lround(static_cast<double>(sum) / static_cast<double>(queue.m_accelerators.size())));
  }

  standin::StepTruth MakeStep(const QueueLoad& queue, int index) {
    standin::StepTruth truth;
    jobs::StepSpec& spec = truth.m_spec;
    const auto option = std::uniform_int_distribution<std::size_t>(0, queue.m_accelerators.size() - 1)(m_random);
    const int accelerators = queue.m_accelerators[option];
    spec.m_tasks =
        std::clamp(static_cast<int>(std::lround(LogNormal(&m_random, queue.m_mean_tasks, queue.m_task_spread))), 1,
                   queue.m_max_tasks);
    spec.m_task = Resources{accelerators, queue.m_millicores, queue.m_memory_mb};
    spec.m_gang = Chance(&m_random, queue.m_gangs) && spec.m_tasks > 1;
    spec.m_rack_local = spec.m_gang && Chance(&m_random, queue.m_rack_local);
    spec.m_checkpoints = Chance(&m_random, queue.m_checkpoints);
    if (index > 0) spec.m_after = {index - 1};
    // A rack-local gang that no rack can hold would be wider than its caller may hope for.
    const Resources& worker = m_day->m_workers.front().m_entry.m_capacity;
    const int of_worker =
        static_cast<int>(std::min({static_cast<std::int64_t>(worker.m_accelerators / accelerators),
                                   worker.m_millicores / queue.m_millicores, worker.m_memory_mb / queue.m_memory_mb}));
    if (spec.m_rack_local) spec.m_tasks = std::min(spec.m_tasks, of_worker * kWorkersPerRack);
    const double mean = std::min(queue.m_max_work_ms, LogNormal(&m_random, queue.m_mean_work_ms, queue.m_work_spread));
    m_nominal = Millis{static_cast<std::int64_t>(mean)};
    for (int i = 0; i < spec.m_tasks; ++i) {
      double own = spec.m_gang ? 1.0 : LogNormal(&m_random, 1.0, 0.15);
      if (spec.m_gang && queue.m_member_spread > 0.0) own = LogNormal(&m_random, 1.0, queue.m_member_spread);
      if (!spec.m_gang && queue.m_stragglers > 0.0 && Chance(&m_random, queue.m_stragglers)) own *= kStragglerFactor;
      truth.m_work.push_back(Millis{std::max<std::int64_t>(100, static_cast<std::int64_t>(mean * own))});
    }
    const double off = std::log(1.0 + queue.m_estimate_off);
    const double factor = std::exp(std::uniform_real_distribution<>(-off, off)(m_random));
    spec.m_estimate = Millis{static_cast<std::int64_t>(mean * factor)};
    truth.m_pool = queue.m_queue.m_pool;
    truth.m_max_attempts = queue.m_queue.m_max_attempts;
    truth.m_failing_runs = Chance(&m_random, queue.m_faulty) ? 1 : 0;
    return truth;
  }

  DayLoad* m_day;
  Random m_random;
  Millis m_nominal{0};  // Usual work of a task of the last step.
};

//-------------------------------------------------------------------------------------------------
// Patterns
//-------------------------------------------------------------------------------------------------

constexpr Millis kBurst{4'000};

void AddBurst(Draw* draw, QueueLoad queue, Instant from, double times) {
  queue.m_per_second *= times;
  const double until_s = static_cast<double>(kBurst.count()) / 1000.0;
  double at_s = 0.0;
  while ((at_s += std::exponential_distribution<>(queue.m_per_second)(draw->Source())) < until_s) {
    draw->AddJob(queue, from + Millis{static_cast<std::int64_t>(at_s * 1000.0)});
  }
}

void AddTrouble(DayLoad* day, Draw* draw, WorkerTrouble::Kind kind, double share, Instant from, Millis length) {
  for (const WorkerId& worker : draw->SomeWorkers(share)) {
    day->m_troubles.push_back({kind, worker, from, from + length});
  }
}

// Workers of 0.6, 1.0 and 1.6 of the usual speed in every rack, with room for all work: only the choice of workers
// decides whether an urgent gang meets its objective. Modelled on gan-lisboa-grown (docs/design/hard-load.md).
void PrepareUneven(DayLoad* day) {
  constexpr int kUnevenWorkers = 350;
  constexpr int kUnevenPerRack = 12;
  constexpr std::int64_t kUnevenMemoryMb = 262'144;
  constexpr double kUnevenSpeeds[] = {0.6, 1.0, 1.6};
  const double load = day->m_queues[0].m_per_second / MakeQueues()[0].m_per_second;  // As asked, times workers / 48.
  const double asked = load * kUsualWorkers / static_cast<double>(day->m_workers.size());
  day->m_workers = MakeWorkers(kUnevenWorkers);
  Random speeds(1);
  for (int i = 0; i < kUnevenWorkers; ++i) {
    standin::SimWorkerSettings& worker = day->m_workers[static_cast<std::size_t>(i)];
    worker.m_entry.m_rack = "r" + std::to_string(i / kUnevenPerRack);
    worker.m_entry.m_domain = DomainId{"d" + std::to_string(i / kUnevenPerRack % 3)};
    worker.m_entry.m_labels = {worker.m_entry.m_rack};
    worker.m_entry.m_capacity.m_memory_mb = kUnevenMemoryMb;
    worker.m_speed = kUnevenSpeeds[std::uniform_int_distribution<>(0, 2)(speeds)];
  }
  for (jobs::Account& account : day->m_accounts) {
    account.m_guaranteed_accelerators = static_cast<int>(kUnevenWorkers * kAccelerators * kGuaranteed / kAccounts);
  }
  QueueLoad& urgent = day->m_queues[0];
  urgent.m_per_second = 4.3 * asked;
  urgent.m_mean_tasks = 5.4;
  urgent.m_mean_work_ms = 2'100.0;
  urgent.m_memory_mb = 39'000;
  urgent.m_estimate_off = 0.2;
  urgent.m_member_spread = 0.25;
  QueueLoad& large = day->m_queues[1];
  large.m_per_second = 1.0 * asked;
  large.m_mean_tasks = 13.0;
  large.m_mean_work_ms = 7'200.0;
  large.m_memory_mb = 140'000;
  large.m_estimate_off = 0.5;
  large.m_member_spread = 0.25;
  QueueLoad& batch = day->m_queues[2];
  batch.m_per_second = 0.8 * asked;
  batch.m_mean_tasks = 39.0;
  batch.m_mean_work_ms = 8'100.0;
  batch.m_memory_mb = 16'000;
  batch.m_stragglers = 0.03;
  urgent.m_nominal_objective = true;
  large.m_nominal_objective = true;
  day->m_first_arrival = Instant{7'000};
  day->m_swing = 0.55;
  day->m_arrivals = Millis{41'000};
  day->m_after = Millis{70'000};  // A straggler of the batch queue takes about a minute.
}

// Lower priorities occupy workers before the first urgent job arrives.
void AddEarlyWork(DayLoad* day, Draw* draw) {
  constexpr int kEarlyJobs = 10;  // Of each of the two lower queues.
  for (int i = 0; i < kEarlyJobs; ++i) {
    draw->AddJob(day->m_queues[1], Instant{100 * i});
    draw->AddJob(day->m_queues[2], Instant{100 * i});
  }
}

// Resources of laurentine-prets-grown: two large tasks fill a worker's cores and leave most of its accelerators idle.
void MakeCoresScarce(DayLoad* day) {
  for (auto& worker : day->m_workers) worker.m_entry.m_capacity = Resources{kAccelerators, 128'000, 262'144};
  QueueLoad& urgent = day->m_queues[0];
  urgent.m_per_second *= 1.9;
  urgent.m_accelerators = {1, 2, 2, 4};
  urgent.m_millicores = 15'000;
  urgent.m_memory_mb = 20'000;
  QueueLoad& large = day->m_queues[1];
  large.m_per_second *= 2.5;
  large.m_accelerators = {1};
  large.m_millicores = 52'000;
  large.m_memory_mb = 60'000;
  QueueLoad& batch = day->m_queues[2];
  batch.m_per_second *= 1.9;
  batch.m_millicores = 11'200;
}

// Resources of gan-lisboa-grown: one large task fills most of a worker's memory.
void MakeMemoryScarce(DayLoad* day) {
  for (auto& worker : day->m_workers) worker.m_entry.m_capacity = Resources{kAccelerators, kMillicores, 262'144};
  QueueLoad& urgent = day->m_queues[0];
  urgent.m_per_second *= 1.9;
  urgent.m_accelerators = {1, 2, 2, 4};
  urgent.m_memory_mb = 39'000;
  QueueLoad& large = day->m_queues[1];
  large.m_per_second *= 1.6;
  large.m_max_tasks = 16;
  large.m_accelerators = {1, 2};
  large.m_memory_mb = 140'000;
  QueueLoad& batch = day->m_queues[2];
  batch.m_per_second *= 1.9;
  batch.m_memory_mb = 22'000;
}

// One account adds as much work of the lower priorities as all accounts together send, for half of the day.
void FloodFromOneAccount(DayLoad* day, Draw* draw) {
  const std::size_t before = day->m_jobs.size();
  for (Instant from{6'000}; from < Instant{26'000}; from = from + kBurst) {
    AddBurst(draw, day->m_queues[1], from, 1.0);
    AddBurst(draw, day->m_queues[2], from, 1.0);
  }
  for (std::size_t i = before; i < day->m_jobs.size(); ++i) day->m_jobs[i].m_job.m_account = AccountId{"account-0"};
}

void BurstFromAllAccounts(DayLoad* day, Draw* draw) {
  for (const QueueLoad& queue : day->m_queues) AddBurst(draw, queue, Instant{10'000}, 2.5);
}

// Nine tasks for each worker (10,000 at 1,100 workers) of all queues wait at once, from 24 accounts.
void FillQueueAtOnce(DayLoad* day, Draw* draw) {
  constexpr std::size_t kManyAccounts = 24;
  constexpr std::size_t kTasksPerWorker = 9;
  const int guaranteed =
      day->m_accounts.front().m_guaranteed_accelerators * kAccounts / static_cast<int>(kManyAccounts);
  day->m_accounts.resize(kManyAccounts);
  for (std::size_t i = 0; i < kManyAccounts; ++i) {
    day->m_accounts[i].m_id = AccountId{"account-" + std::to_string(i)};
    day->m_accounts[i].m_guaranteed_accelerators = guaranteed;
  }
  std::size_t tasks = 0;
  while (tasks < kTasksPerWorker * day->m_workers.size()) {
    const QueueLoad& queue = day->m_queues[day->m_jobs.size() % day->m_queues.size()];
    draw->AddJob(queue, Instant{8'000 + static_cast<std::int64_t>(tasks % 1'000)});
    for (const auto& truth : day->m_jobs.back().m_truths) tasks += truth.m_work.size();
  }
}

// As above, and 13% of the workers announce soon after that they leave.
void FillQueueAndLeave(DayLoad* day, Draw* draw) {
  FillQueueAtOnce(day, draw);
  AddTrouble(day, draw, WorkerTrouble::Kind::kDrains, 0.13, Instant{10'000}, Millis{6'500});
}

struct Pattern {
  const char* m_name;
  const char* m_summary;
  void (*m_prepare)(DayLoad*);        // Before the arrivals are drawn; nullptr: nothing.
  void (*m_finish)(DayLoad*, Draw*);  // Behind them; nullptr: nothing.
};

constexpr Pattern kPatterns[] = {
    {"steady", "nothing but a full load", nullptr, nullptr},
    {"urgent-burst", "urgent gangs come at once over a full cluster", nullptr,
     [](DayLoad* day, Draw* draw) {
       AddBurst(draw, day->m_queues[0], Instant{8'000}, 2.5);
       AddBurst(draw, day->m_queues[0], Instant{24'000}, 2.5);
     }},
    {"gang-burst", "large gangs come at once among many small tasks", nullptr,
     [](DayLoad* day, Draw* draw) { AddBurst(draw, day->m_queues[1], Instant{10'000}, 3.0); }},
    {"batch-burst", "batch steps come at once", nullptr,
     [](DayLoad* day, Draw* draw) { AddBurst(draw, day->m_queues[2], Instant{10'000}, 3.0); }},
    {"broken-racks", "gangs that need a rack where each has lost workers",
     [](DayLoad* day) {
       std::erase_if(day->m_workers, [at = 0](const auto&) mutable { return ++at % 4 == 0; });
       for (QueueLoad& queue : day->m_queues) queue.m_per_second *= 0.75;
     },
     nullptr},
    {"guarantee-called", "one client account calls on its guarantee while others borrow", nullptr,
     [](DayLoad* day, Draw* draw) {
       const std::size_t before = day->m_jobs.size();
       AddBurst(draw, day->m_queues[0], Instant{15'000}, 2.0);
       for (std::size_t i = before; i < day->m_jobs.size(); ++i)
         day->m_jobs[i].m_job.m_account = AccountId{"account-3"};
     }},
    {"never-done", "some jobs fail whatever is done", nullptr,
     [](DayLoad* day, Draw* draw) {
       for (DayJob& planned : day->m_jobs) {
         if (!Chance(&draw->Source(), 0.06)) continue;
         planned.m_can_be_done = false;
         for (auto& truth : planned.m_truths) truth.m_failing_runs = truth.m_max_attempts;
       }
     }},
    {"slow-workers", "some workers take six times as long for a while", nullptr,
     [](DayLoad* day, Draw* draw) {
       AddTrouble(day, draw, WorkerTrouble::Kind::kSlow, 0.15, Instant{10'000}, Millis{7'000});
     }},
    {"hanging-workers", "tasks on some workers stand still for a while", nullptr,
     [](DayLoad* day, Draw* draw) {
       AddTrouble(day, draw, WorkerTrouble::Kind::kHangs, 0.12, Instant{10'000}, Millis{5'000});
     }},
    {"failing-workers", "some workers fail all that they start for a while", nullptr,
     [](DayLoad* day, Draw* draw) {
       AddTrouble(day, draw, WorkerTrouble::Kind::kFails, 0.1, Instant{10'000}, Millis{6'500});
     }},
    {"draining-workers", "workers announce that they leave and are taken away", nullptr,
     [](DayLoad* day, Draw* draw) {
       AddTrouble(day, draw, WorkerTrouble::Kind::kDrains, 0.1, Instant{12'000}, Millis{4'500});
       AddTrouble(day, draw, WorkerTrouble::Kind::kDrains, 0.1, Instant{24'000}, Millis{4'500});
     }},
    {"long-tasks", "some jobs take four times as long as estimated", nullptr,
     [](DayLoad* day, Draw* draw) {
       for (DayJob& planned : day->m_jobs) {
         if (!Chance(&draw->Source(), 0.08)) continue;
         for (auto& truth : planned.m_truths) {
           for (Millis& work : truth.m_work) work *= 4;
         }
         planned.m_objective = planned.m_objective * 4;
         planned.m_critical_path *= 4;
       }
     }},
    {"uneven-workers", "350 workers of 0.6 to 1.6 of the usual speed, with room for all work", &PrepareUneven,
     &AddEarlyWork},
    {"cancel-wave", "many jobs are cancelled a moment after they came", nullptr,
     [](DayLoad* day, Draw* draw) {
       for (DayJob& planned : day->m_jobs) {
         const Instant at = planned.m_job.m_accepted;
         if (at < Instant{10'000} || at > Instant{18'000} || !Chance(&draw->Source(), 0.35)) continue;
         planned.m_cancel_at = at + Millis{std::uniform_int_distribution<>(100, 900)(draw->Source())};
       }
     }},
    {"one-account-floods", "one client account doubles the work of lower priorities", nullptr, &FloodFromOneAccount},
    {"all-accounts-burst", "all client accounts send more to all queues at once", nullptr, &BurstFromAllAccounts},
    {"scarce-cores", "workers run out of cores before accelerators", &MakeCoresScarce, nullptr},
    {"scarce-memory", "workers run out of memory before accelerators", &MakeMemoryScarce, nullptr},
    {"deep-queue", "nine tasks for each worker wait at once, from 24 client accounts", nullptr, &FillQueueAtOnce},
    {"mass-leave", "nine tasks for each worker wait while 13% of the workers leave at once", nullptr,
     &FillQueueAndLeave},
};

}  // namespace

std::map<std::string, std::string> Patterns() {
  std::map<std::string, std::string> patterns;
  for (const Pattern& pattern : kPatterns) patterns[pattern.m_name] = pattern.m_summary;
  return patterns;
}

std::optional<DayLoad> MakeDay(const std::string& name, std::uint64_t seed, double load, int workers) {
  const auto pattern = std::find_if(std::begin(kPatterns), std::end(kPatterns),
                                    [&](const Pattern& entry) { return name == entry.m_name; });
  if (pattern == std::end(kPatterns)) return std::nullopt;
  DayLoad day;
  day.m_workers = MakeWorkers(workers);
  day.m_queues = MakeQueues();
  for (QueueLoad& queue : day.m_queues) queue.m_per_second *= load * workers / kUsualWorkers;
  for (int i = 0; i < kAccounts; ++i) {
    jobs::Account account;
    account.m_id = AccountId{"account-" + std::to_string(i)};
    account.m_guaranteed_accelerators = static_cast<int>(workers * kAccelerators * kGuaranteed / kAccounts);
    day.m_accounts.push_back(account);
  }
  if (pattern->m_prepare != nullptr) pattern->m_prepare(&day);
  Draw draw(&day, seed);
  for (const QueueLoad& queue : day.m_queues) draw.AddArrivals(queue);
  if (pattern->m_finish != nullptr) pattern->m_finish(&day, &draw);
  std::stable_sort(day.m_jobs.begin(), day.m_jobs.end(),
                   [](const DayJob& a, const DayJob& b) { return a.m_job.m_accepted < b.m_job.m_accepted; });
  return day;
}

}  // namespace hickoryquay::bench
