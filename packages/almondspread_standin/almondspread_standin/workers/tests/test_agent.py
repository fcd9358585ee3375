import unittest
from datetime import timedelta

from almondspread.clock import ManualClock
from almondspread.interfaces import AttemptStart, WorkerExchange
from almondspread.resources import Capacity
from almondspread_standin.workers import Ledger, WorkerAgent

SIZE = Capacity(1_000, 1_000)
LEASE_SECONDS = 10.0


class AgentTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.ledger = Ledger()
        self.agent = self.add_agent("w-1")

    def add_agent(self, name):
        return WorkerAgent(name, Capacity(2_000, 2_000), self.clock, self.ledger)

    def start(self, attempt, *command, agent=None, **fields):
        fields.setdefault("start_before", self.clock.now().timestamp() + 5)
        start = AttemptStart(
            attempt, SIZE, command or ("serve",), LEASE_SECONDS, **fields
        )
        return self.tell(agent=agent, starts=(start,))

    def tell(self, agent=None, **fields):
        agent = agent or self.agent
        now = self.clock.now().timestamp()
        fields.setdefault("expires", now + 5)
        if "incarnation" not in fields:
            asked = agent.exchange(WorkerExchange(expires=now))
            fields["incarnation"] = asked.incarnation
        return agent.exchange(WorkerExchange(**fields))

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    def test_lease_lapses_at_its_own_time_unless_renewed(self):
        self.start("a/1")
        self.start("b/1")
        self.advance(6)
        self.tell(renewals=("a/1",), lease_seconds=LEASE_SECONDS)
        self.advance(9)
        report = self.tell()
        self.assertEqual([usage.attempt for usage in report.running], ["a/1"])
        end = report.ended[0]
        self.assertEqual((end.attempt, end.outcome), ("b/1", "lapsed"))
        self.assertEqual(end.run_seconds, LEASE_SECONDS)

    def test_renewal_does_not_revive_a_lapsed_attempt(self):
        self.start("a/1")
        self.advance(LEASE_SECONDS)
        report = self.tell(renewals=("a/1",), lease_seconds=LEASE_SECONDS)
        self.assertEqual(report.running, ())

    def test_l1_exchange_is_refused_after_its_expiry(self):
        self.start("a/1")
        now = self.clock.now().timestamp()
        start = AttemptStart("b/1", SIZE, ("serve",), LEASE_SECONDS, now + 60)
        asked = {"renewals": ("a/1",), "starts": (start,), "stops": ("c/1",)}
        self.advance(6)
        late = self.tell(expires=now + 5, lease_seconds=LEASE_SECONDS, **asked)
        self.assertIn("expiry", late.refused)
        self.assertEqual(late.ended, ())
        self.advance(4)
        self.assertEqual(self.agent.running, ())
        self.assertEqual(self.ledger.count().started, 1)

    def test_l1_expiry_is_by_the_wall_clock_of_the_worker(self):
        self.agent.set_faults(clock_offset_seconds=-0.5)
        now = self.clock.now().timestamp()
        self.advance(5.4)
        self.assertEqual(self.tell(expires=now + 5).refused, "")
        self.advance(0.2)
        self.assertIn("expiry", self.tell(expires=now + 5).refused)

    def test_l6_start_from_before_a_restart_is_refused(self):
        incarnation = self.start("a/1").incarnation
        self.tell(stops=("a/1",))
        self.agent.restart()
        start = AttemptStart("a/1", SIZE, ("serve",), LEASE_SECONDS, 4e9)
        delayed = self.tell(starts=(start,), incarnation=incarnation)
        self.assertIn("start of the agent", delayed.refused)
        self.assertEqual(self.agent.running, ())

    def test_l6_renewal_of_an_attempt_lost_in_a_restart_is_its_end(self):
        self.start("a/1")
        self.agent.restart()
        report = self.tell(renewals=("a/1",), lease_seconds=LEASE_SECONDS)
        self.assertEqual(report.ended[0].outcome, "lost")
        self.assertEqual(self.start("a/1").running, ())
        self.assertEqual(self.ledger.find_committed("w-1"), Capacity(0, 0))

    def test_expired_start_is_refused_for_good(self):
        expiry = self.clock.now().timestamp() + 5
        self.advance(5.001)
        self.assertEqual(
            self.start("a/1", start_before=expiry).ended[0].outcome, "refused"
        )
        self.tell(acknowledged=("a/1",))
        self.assertEqual(self.start("a/1").ended[0].outcome, "refused")
        self.assertEqual(self.ledger.count().started, 0)

    def test_repeated_start_is_the_same_attempt(self):
        self.start("a/1")
        self.advance(6)
        report = self.start("a/1", start_before=0.0)
        self.assertEqual((len(report.running), report.ended), (1, ()))
        self.advance(4)
        self.assertEqual(self.tell().ended[0].outcome, "lapsed")
        self.assertEqual(self.ledger.count().started, 1)

    def test_start_after_its_stop_is_refused_also_once_acknowledged(self):
        self.assertEqual(self.tell(stops=("a/1",)).ended[0].outcome, "refused")
        self.assertEqual(self.start("a/1").running, ())
        self.tell(acknowledged=("a/1",))
        self.assertEqual(self.start("a/1").running, ())
        self.assertEqual(self.ledger.count().started, 0)

    def test_stop_and_start_in_one_exchange_does_not_start(self):
        start = AttemptStart("a/1", SIZE, ("serve",), LEASE_SECONDS, 4e9)
        report = self.tell(starts=(start,), stops=("a/1",))
        self.assertEqual(report.running, ())
        self.assertEqual(self.ledger.count().started, 0)

    def test_late_start_of_an_ended_attempt_reports_its_true_end(self):
        self.start("a/1", "sleep", "1")
        self.advance(1)
        self.assertEqual(self.tell().ended[0].outcome, "finished")
        self.assertEqual(self.tell(acknowledged=("a/1",)).ended, ())
        self.assertEqual(self.start("a/1").ended[0].outcome, "finished")
        self.assertEqual(self.ledger.repeated_attempts, [])

    def test_ends_are_reported_until_acknowledged(self):
        self.start("a/1", "fail", "1")
        self.advance(2)
        self.assertEqual(self.tell().ended, self.tell().ended)
        self.assertEqual(self.tell().ended[0].run_seconds, 1)
        self.assertEqual(self.tell(acknowledged=("a/1",)).ended, ())

    def test_crashed_attempt_restarts_in_place(self):
        self.start("a/1", "crash-loop", "2", restart=True)
        self.advance(9)
        self.assertEqual(self.agent.running, ("a/1",))
        self.assertEqual(self.ledger.find_committed("w-1"), SIZE)
        self.advance(1)
        self.assertEqual(self.tell().ended[0].outcome, "lapsed")
        self.assertEqual(self.ledger.find_committed("w-1"), Capacity(0, 0))

    def test_checkpoint_carries_progress_to_the_next_attempt(self):
        self.start("a/1", "sleep", "5")
        self.advance(2)
        end = self.tell(checkpoints=("a/1",)).ended[0]
        self.assertEqual(end.outcome, "stopped")
        self.start("a/2", "sleep", "5", checkpoint=end.checkpoint)
        self.advance(3)
        outcomes = {end.attempt: end.outcome for end in self.tell().ended}
        self.assertEqual(outcomes["a/2"], "finished")

    def test_throttled_attempt_runs_at_half_speed_within_its_memory(self):
        self.agent.set_faults(memory_factor=2.0, usage_lag_seconds=0.0)
        report = self.start("a/1", "sleep", "4")
        self.assertEqual(report.running[0].memory_mib, 2 * SIZE.memory_mib)
        self.advance(2)
        report = self.tell(throttles=("a/1",))
        self.assertEqual(report.running[0].memory_mib, SIZE.memory_mib)
        self.advance(3)
        self.assertEqual(self.agent.running, ("a/1",))
        self.advance(1)
        self.assertEqual(self.tell().ended[0].outcome, "finished")

    def test_usage_comes_with_a_lag(self):
        self.assertEqual(self.start("a/1").running[0].memory_mib, 0)
        self.advance(2)
        self.assertEqual(self.tell().running[0].memory_mib, 800)

    def test_worker_that_fails_everything(self):
        self.agent.set_faults(crash_all=True)
        self.start("a/1", "sleep", "60")
        self.advance(1)
        self.assertEqual(self.tell().ended[0].outcome, "failed")

    def test_unknown_command_fails_without_running(self):
        for command in (("explode",), ("sleep", "x"), ("sleep", "-1")):
            report = self.start(f"{command[-1]}/1", *command)
            self.assertEqual(report.ended[-1].outcome, "failed")
        self.assertEqual(self.ledger.count().started, 0)

    def test_frozen_worker_makes_no_progress_but_its_leases_lapse(self):
        self.start("a/1", "sleep", "5")
        self.start("b/1", "sleep", "9")
        self.advance(1)
        self.agent.set_faults(frozen=True)
        self.advance(4)
        self.agent.set_faults(frozen=False)
        self.advance(3.9)
        self.assertEqual(self.agent.running, ("a/1", "b/1"))
        self.advance(0.1)
        self.assertEqual(self.agent.running, ("b/1",))
        self.agent.set_faults(frozen=True)
        self.advance(1)
        self.assertEqual(self.agent.running, ())

    def test_dead_worker_runs_nothing(self):
        self.start("a/1")
        self.agent.die()
        self.assertEqual(self.ledger.count().running, 0)

    def test_overcommitment_is_recorded_and_not_refused(self):
        for attempt in ("a/1", "b/1"):
            self.start(attempt)
        self.assertEqual(self.ledger.over_commitments, [])
        report = self.start("c/1")
        self.assertEqual(len(report.running), 3)
        self.assertEqual(self.ledger.over_commitments[0].committed, SIZE.times(3))

    def test_double_run_is_detected(self):
        other = self.add_agent("w-2")
        self.start("batch/x/7/1")
        self.start("batch/x/7/2", agent=other)
        run = self.ledger.double_runs[0]
        self.assertEqual(
            (run.task, run.first_worker, run.second_worker),
            ("batch/x/7", "w-1", "w-2"),
        )

    def test_same_attempt_on_two_workers_is_a_double_run(self):
        self.start("a/1")
        self.start("a/1", agent=self.add_agent("w-2"))
        self.assertEqual(len(self.ledger.double_runs), 1)

    def test_run_that_was_due_to_end_is_no_double_run(self):
        other = self.add_agent("w-2")
        self.start("a/1")
        self.advance(LEASE_SECONDS)
        self.start("a/2", agent=other)
        self.assertEqual(self.ledger.double_runs, [])
        self.assertEqual(self.ledger.count().running, 1)

    def test_attempt_run_again_elsewhere_after_its_end_is_recorded(self):
        other = self.add_agent("w-2")
        self.start("a/1", "sleep", "1")
        self.advance(2)
        self.start("a/1", "sleep", "1", agent=other)
        self.assertEqual(self.ledger.double_runs, [])
        self.assertEqual(len(self.ledger.repeated_attempts), 1)


if __name__ == "__main__":
    unittest.main()
