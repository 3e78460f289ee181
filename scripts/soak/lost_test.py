#!/usr/bin/env python3
"""Tests of the soak's own check of LOST, on clocks of their own."""
import random
import types
import unittest

import jobs
from lost import Watch
from stand_ins import Farm, Worker

KIND = {kind.name: kind for kind in jobs.KINDS}
STEP_S = 0.1


class WatchTest(unittest.TestCase):
    def setUp(self):
        self.farm = Farm(random.Random(1))
        self.farm.workers = [Worker(self.farm, number) for number in range(4)]
        self.watch = Watch(self.farm)
        self.watch.calm_at = 0.0
        self.now = 100.0

    def add(self, kind, tasks=2, gpu=8):
        job = jobs.Job(f"{len(self.farm.jobs):016x}", KIND[kind], random.Random(1))
        job.tasks, job.gpu, job.accepted_at = tasks, gpu, self.now
        self.farm.jobs[job.id] = job
        return job

    def run_task(self, worker, task):
        self.farm.workers[worker].runs[task] = {"run": 1}
        self.farm.last_run[task] = None

    def passes(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.watch.look(self.now, STEP_S)

    def test_idle_job_is_lost_from_finish_and_three_seconds_on(self):
        job = self.add("gang")
        self.watch.traffic_ended = self.now
        self.passes(16.8)
        self.assertEqual(self.farm.wrong, [])
        self.passes(0.4)
        self.assertEqual(len(self.farm.wrong), 1)
        self.assertIn(job.id, self.farm.wrong[0])
        self.assertIn(f"{job.id}.0.0.0 waits, room for 4, twice over is 4", self.farm.wrong[0])

    def test_gang_needs_room_for_all_members_twice(self):
        self.add("whole-rack", tasks=3)
        self.watch.traffic_ended = self.now
        self.passes(30)
        self.assertEqual(self.farm.wrong, [])

    def test_half_in_use_is_no_loss(self):
        job, other = self.add("tasks", tasks=1, gpu=1), self.add("tasks", tasks=2)
        for index in range(2):
            self.run_task(index, other.names(0)[index])
        self.watch.traffic_ended = self.now
        self.passes(30)
        self.assertEqual(self.farm.wrong, [])
        del self.farm.workers[1].runs[other.names(0)[1]]
        self.passes(3.3)
        self.assertIn(job.id, self.farm.wrong[0])

    def test_running_task_and_done_job_are_no_loss(self):
        running, done = self.add("steps", gpu=1), self.add("gang", gpu=1)
        self.run_task(0, running.names(1)[0])
        self.farm.done[self.farm.unit_of(done.names(0)[0])] += 1
        self.watch.traffic_ended = self.now
        self.passes(30)
        self.assertEqual(self.farm.wrong, [])

    def test_window_begins_anew_with_each_run_and_fault(self):
        job = self.add("tasks", tasks=1, gpu=1)
        self.watch.traffic_ended = self.now
        self.passes(16.5)
        self.run_task(0, job.names(0)[0])
        self.passes(1)
        self.farm.workers[0].runs.clear()
        self.passes(2.5)
        self.assertEqual(self.farm.wrong, [])
        self.watch.active, self.watch.calm_at = 0, self.now
        self.passes(6.8)
        self.assertEqual(self.farm.wrong, [])
        self.passes(0.5)
        self.assertEqual(len(self.farm.wrong), 1)

    def test_each_lasting_task_is_judged_during_the_traffic(self):
        job = self.add("lasting", gpu=1)
        self.run_task(0, job.names(0)[0])
        self.farm.last_run[job.names(0)[1]] = self.now
        self.passes(8.8)
        self.assertEqual(self.farm.wrong, [])
        self.passes(0.4)
        self.assertEqual(len(self.farm.wrong), 1)
        self.assertIn(job.names(0)[1], self.farm.wrong[0])

    def test_nothing_is_judged_during_faults(self):
        self.add("lasting", gpu=1)
        self.watch.active = 1
        self.passes(30)
        self.assertEqual(self.farm.wrong, [])

    def test_workers_that_take_no_starts_have_no_room(self):
        self.add("tasks", tasks=1)
        for worker in self.farm.workers:
            worker.takes_starts = types.MethodType(lambda worker: worker is self.farm.workers[0], worker)
        self.watch.traffic_ended = self.now
        self.passes(30)
        self.assertEqual(self.farm.wrong, [])


if __name__ == "__main__":
    unittest.main()
