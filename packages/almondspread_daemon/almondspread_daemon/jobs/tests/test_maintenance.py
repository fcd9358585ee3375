import unittest
from datetime import timedelta
from unittest.mock import patch

from attrs import evolve
from expression import Error, Ok

from almondspread.codec import encode_message
from almondspread.jobs.leases import LEADER_LEASE
from almondspread.jobs.messages import UpstreamEntry
from almondspread.jobs.ports import CallFailed, RowName, RowPut
from almondspread.jobs.waves import Machine, MachineState, MaintenanceWave, WaveRecord
from almondspread.resources.capacity import Capacity
from almondspread_daemon.jobs.maintenance import MaintenanceController
from almondspread_daemon.jobs.row_chunks import make_chunk_name
from almondspread_daemon.jobs.rows import MAINTENANCE_ROW, MaintenanceRow, decode_row
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.tests.leader_case import LeaderTestCase
from almondspread_daemon.jobs.tests.support import SECOND, make_settings

NO_ANSWER = Error(CallFailed("no answer", not_done=False))
FENCED = Error(CallFailed("fence", not_done=True, fenced=True))
WAVE = MaintenanceWave(3, ("m0", "m1"), 60 * SECOND, 1)


class FakeDirectory:
    def make_wave_row(self, number, completed):
        return RowPut(RowName("status", "", f"wave/{number}"), str(completed).encode())


class FakeMachines:
    """Two machines; ``orders`` records if each order was stored when it arrived."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.orders = []
        self.return_times = {}
        self.answer = Ok(None)

    async def list_machines(self, timeout):
        machines = []
        for name in ("m0", "m1"):
            return_time = self.return_times.get(name)
            if return_time is not None and self.clock.monotonic() < return_time:
                machines.append(Machine(name, "service", MachineState.MAINTENANCE))
                continue
            upstream = f"{name}-{return_time is not None}"
            machines.append(Machine(name, "service", MachineState.UP, upstream))
        return Ok(machines)

    async def start_maintenance(self, call, wave, timeout):
        row = decode_row(self.store.rows[MAINTENANCE_ROW], MaintenanceRow)
        stored = {record.number: record.ordered for record in row.waves}
        self.orders.append((call, wave, call.machine in stored.get(wave, ())))
        if self.answer.is_ok():
            self.return_times.setdefault(
                call.machine, self.clock.monotonic() + 2 * SECOND
            )
        return self.answer


class KeptIdentityMachines(FakeMachines):
    """Machines whose upstreams keep their identity across a maintenance."""

    async def list_machines(self, timeout):
        listed = await super().list_machines(timeout)
        machines = []
        for machine in listed.ok:
            machines.append(evolve(machine, upstream=machine.upstream.split("-")[0]))
        return Ok(machines)


class MaintenanceControllerTest(LeaderTestCase):
    async def lead(self, epoch=1, incarnation="one"):
        await self.claim(epoch, incarnation)
        parts = self.parts
        parts.access = StoreAccess(
            parts.store, FakeDirectory(), parts.clock, parts.metrics
        )
        self.machines = FakeMachines(parts.store, parts.clock)
        controller = MaintenanceController(
            self.committer,
            self.scheduler,
            make_settings(),
            parts.access,
            parts.store_clock,
            self.machines,
            parts.clock,
        )
        controller.waves = (WAVE,)
        return controller

    async def run_steps(self, controller, count):
        for _ in range(count):
            await self.committer.commit()
            await controller.step()
            self.parts.clock.advance(timedelta(milliseconds=300))

    def read_status(self):
        return self.store.rows[RowName("status", "", "wave/3")].value

    async def test_wave_is_completed_and_its_status_is_published(self):
        controller = await self.lead()
        await self.run_steps(controller, 2)
        self.assertEqual(self.read_status(), b"False")
        await self.run_steps(controller, 40)
        self.assertEqual(self.read_status(), b"True")
        self.assertEqual(len(self.machines.orders), 2)

    async def test_records_of_large_waves_are_spread_over_rows(self):
        """Guards against waves whose orders are never sent, as no row holds them."""
        records = []
        for number in range(4, 16):
            done = tuple(f"machine-{machine:04d}" for machine in range(1_000))
            records.append(WaveRecord(number, 50.0, ("m0",), done))
        controller = await self.lead()
        self.assertTrue(await controller._take_over())
        self.assertTrue(await controller._write(tuple(records)))
        self.assertEqual(self.store.excesses, [])
        controller = await self.lead(2, "two")
        self.assertTrue(await controller._take_over())
        self.assertEqual(controller._planner.list_records(), tuple(records))
        completed = tuple(evolve(record, completed=True) for record in records)
        controller._planner.restore_records(completed)
        self.assertTrue(await controller._store_records())
        rows = [name for name in self.store.rows if "maintenance" in name.key]
        self.assertEqual(rows, [MAINTENANCE_ROW])
        self.assertLess(len(self.store.rows[MAINTENANCE_ROW].value), 1_000)

    async def test_rows_of_waves_that_were_completed_are_removed_at_a_takeover(self):
        records = []
        for number in range(2):
            done = tuple(f"machine-{machine:04d}" for machine in range(1_000))
            records.append(WaveRecord(number, 50.0, (), done, completed=True))
        for number, record in enumerate(records):
            name = make_chunk_name(MAINTENANCE_ROW, number)
            await self.put(name, encode_message(MaintenanceRow(0, (record,))))
        controller = await self.lead()
        self.assertTrue(await controller._take_over())
        rows = [name for name in self.store.rows if "maintenance" in name.key]
        self.assertEqual(rows, [MAINTENANCE_ROW])
        row = decode_row(self.store.rows[MAINTENANCE_ROW], MaintenanceRow)
        self.assertEqual([record.completed for record in row.waves], [True, True])

    async def test_wave_is_completed_where_upstreams_keep_their_identity(self):
        controller = await self.lead()
        controller._machines = KeptIdentityMachines(self.store, self.parts.clock)
        await self.run_steps(controller, 40)
        self.assertEqual(self.read_status(), b"True")

    async def test_leaving_upstream_is_the_one_that_runs_now(self):
        """The platform's list has the identity, not the name, of an upstream."""
        controller = await self.lead()
        controller._machines = KeptIdentityMachines(self.store, self.parts.clock)
        entry = UpstreamEntry(
            "m0@1500", "service", "10.0.0.1:1", "umea", Capacity(1, 1), identity="m0"
        )
        self.scheduler.update_upstreams([entry], self.parts.clock.monotonic())
        await self.run_steps(controller, 1)
        upstream = self.scheduler.cell_state.upstreams["m0@1500"]
        self.assertTrue(upstream.is_leaving)

    async def list_ended(self, controller, steps):
        """Return the upstreams that a controller takes for ended in some steps."""
        ended = []
        with patch.object(
            self.scheduler, "record_machine_down", lambda name, _: ended.append(name)
        ):
            await self.run_steps(controller, steps)
        return ended

    async def test_upstream_that_started_again_under_its_id_has_not_ended(self):
        """Guards against TWICE on arci-sched: its tasks ran on while others began.

        A leader was lost in a maintenance, and its order was given again: done already.
        """
        first = await self.lead()
        await self.run_steps(first, 1)
        [(order, _, _)] = self.machines.orders
        self.parts.clock.advance(2 * SECOND)
        second = await self.lead(2, "two")
        second._machines = KeptIdentityMachines(self.store, self.parts.clock)
        second._machines.return_times[order.machine] = self.parts.clock.monotonic()
        entry = UpstreamEntry(
            f"{order.machine}@2500",
            "service",
            "10.0.0.1:1",
            "umea",
            Capacity(1, 1),
            identity=order.machine,
        )
        self.scheduler.update_upstreams([entry], self.parts.clock.monotonic())
        ended = await self.list_ended(second, 10)
        self.assertIn(
            order.machine, [each[0].machine for each in second._machines.orders]
        )
        self.assertNotIn(entry.name, ended)

    async def test_upstream_ends_with_the_first_answer_to_an_own_order(self):
        controller = await self.lead()
        ended = await self.list_ended(controller, 1)
        [(order, _, _)] = self.machines.orders
        self.assertEqual(ended, [f"{order.machine}-False"])

    async def test_tasks_are_kept_off_inherited_machines_before_the_handover_is_over(
        self,
    ):
        """A new leader placed tasks there, and then had the machines taken down."""
        first = await self.lead()
        self.machines.answer = Error(CallFailed("no answer", not_done=False))
        await self.run_steps(first, 1)
        [(_, _, _)] = self.machines.orders
        ordered = self.machines.orders[0][0].machine
        second = await self.lead(2, "two")
        listed = (await self.machines.list_machines(SECOND)).ok
        [name] = [each.upstream for each in listed if each.name == ordered]
        entry = UpstreamEntry(name, "service", "10.0.0.1:1", "umea", Capacity(1, 1))
        self.scheduler.update_upstreams([entry], self.parts.clock.monotonic())
        await self.committer.commit()
        await second.step(may_order=False)
        self.assertTrue(self.scheduler.cell_state.upstreams[name].is_leaving)
        self.assertEqual(self.machines.orders, [])

    async def test_order_is_stored_before_it_is_sent(self):
        controller = await self.lead()
        await self.run_steps(controller, 40)
        self.assertTrue(all(stored for _, _, stored in self.machines.orders))
        call = self.machines.orders[0][0]
        self.assertEqual((call.holder, call.epoch), ("entry-1", 1))

    async def test_no_order_is_sent_while_the_store_refuses_it(self):
        controller = await self.lead()
        self.store.refuses = lambda part: part == MAINTENANCE_ROW.partition
        await self.run_steps(controller, 5)
        self.assertEqual(self.machines.orders, [])

    async def test_later_leader_fences_an_earlier_one(self):
        first = await self.lead()
        await self.run_steps(first, 1)
        machines = self.machines
        self.assertEqual(len(machines.orders), 1)
        second = await self.lead(2, "two")
        await self.run_steps(second, 1)
        self.parts.clock.advance(10 * SECOND)
        await first.step()
        await first.step()
        self.assertTrue(first.is_fenced)
        self.assertEqual(len(machines.orders), 1)
        # The machine that the first leader may have stopped is ordered again, not the
        # other one.
        self.assertEqual(
            [call.machine for call, _, _ in self.machines.orders],
            [machines.orders[0][0].machine],
        )

    async def test_own_write_with_a_lost_answer_does_not_fence(self):
        controller = await self.lead()
        await self.run_steps(controller, 1)
        losses = [True]
        self.store.loses_answer = lambda: bool(losses and losses.pop())
        await self.run_steps(controller, 40)
        self.assertFalse(controller.is_fenced)
        self.assertEqual(self.read_status(), b"True")

    async def test_rejected_epoch_fences_the_controller(self):
        controller = await self.lead()
        self.machines.answer = FENCED
        await self.run_steps(controller, 1)
        self.assertTrue(controller.is_fenced)

    async def test_unanswered_order_keeps_the_other_machine_up(self):
        controller = await self.lead()
        self.machines.answer = NO_ANSWER
        await self.run_steps(controller, 20)
        self.assertEqual(len({call.machine for call, _, _ in self.machines.orders}), 1)
        self.assertGreater(len(self.machines.orders), 1)

    async def test_no_order_is_sent_without_a_valid_lease(self):
        controller = await self.lead()
        self.parts.clock.advance(2 * LEADER_LEASE)
        await controller.step()
        self.assertEqual(self.machines.orders, [])

    async def test_no_order_is_sent_after_a_pause_in_any_earlier_call(self):
        """A pause between the check of the lease and the send must not matter."""
        for paused in ("read", "list_machines", "transact"):
            with self.subTest(paused):
                await self.asyncSetUp()
                controller = await self.lead()
                with self.pause_after(paused):
                    await controller.step()
                self.assertEqual(self.machines.orders, [])

    def pause_after(self, name):
        """Have the lease run out before the answer to one kind of call arrives."""
        target = type(self.machines if name == "list_machines" else self.store)
        call = getattr(target, name)
        clock = self.parts.clock

        async def call_and_pause(*arguments):
            answer = await call(*arguments)
            clock.advance(2 * LEADER_LEASE)
            return answer

        return patch.object(target, name, call_and_pause)


if __name__ == "__main__":
    unittest.main()
