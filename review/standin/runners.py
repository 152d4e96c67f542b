"""Stand-in for the platform's runners and machines.

Every run that a runner begins or ends is written to the record. The work of a task takes the time
that the case has set for its job. A runner checks fencing tokens, run numbers and leases.
"""

import asyncio
import base64
import itertools
import json
import random
import time

from http_server import HttpServer

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10000
GANG_TIMEOUT_S = 3.0
STOP_S = 0.05
SAVE_S = 0.5
MOVE_S = 1.5
UPKEEP_S = 2.0


class Run:
    def __init__(self, task, number, saved):
        self.task = task
        self.number = number
        self.saved = saved
        self.work = None  # the asyncio task that ends the run
        self.begun_work_at = None
        self.stopping = False


class Runner:
    """One life of a machine."""

    def __init__(self, platform, machine, port):
        self.platform = platform
        self.machine = machine
        self.id = f"i-{random.getrandbits(40):010x}"
        self.server = HttpServer(self.handle, port)
        self.clock_base = random.randint(100000, 900000)
        self.started = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.running = {}
        self.highest_over = {}  # task -> highest run that was stopped or has ended here
        self.ended = []
        self.last_end = 0
        self.end_listed = asyncio.Event()
        self.up = True

    def clock_ms(self):
        return self.clock_base + int((time.monotonic() - self.started) * 1000)

    def clock(self):
        return {"clockMs": self.clock_ms()}

    def refuse(self, reason):
        return 409, {**self.clock(), "reason": reason}

    async def handle(self, r):
        expected = r.fields.get("x-expected-instance", self.id)
        if expected != self.id:
            return 421, self.clock()
        body = r.json()
        if body.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("fence", 0)
        if r.path == "/api/run-start":
            return self.start_run(body)
        if r.path == "/api/run-stop":
            return self.stop_run(body["task"], body["run"])
        if r.path == "/api/hold":
            return await self.hold(body)
        if r.path == "/api/pace":
            return 200, self.clock()
        return 404, {}

    def extend_lease(self, body):
        until = min(body.get("untilMs", 0), self.clock_ms() + MAX_HOLD_MS)
        self.until_ms = max(self.until_ms, until)

    def start_run(self, body):
        task, number = body["task"], body["run"]
        self.extend_lease(body)
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, self.clock()
        if known is not None or number <= self.highest_over.get(task, 0):
            return self.refuse("old")
        if self.until_ms <= self.clock_ms():
            return self.refuse("late")
        run = Run(task, number, body.get("saved", ""))
        self.running[task] = run
        self.platform.record("run_begins", task=task, run=number, runner=self.id, saved=run.saved)
        self.platform.begin_work(self, run)
        return 200, self.clock()

    def stop_run(self, task, number):
        self.highest_over[task] = max(self.highest_over.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.end_run, run, "stopped")
        return 200, self.clock()

    async def hold(self, body):
        self.extend_lease(body)
        acked = body.get("ackedUpto", 0)
        self.ended = [it for it in self.ended if it[0] > acked]
        if not self.ended and body.get("waitMs", 0) > 0:
            listed = self.end_listed
            try:
                await asyncio.wait_for(listed.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [
            [it.task, it.number, it.saved, self.platform.percent_of(it), 0]
            for it in self.running.values()
        ]
        return 200, {**self.clock(), "running": running, "ended": self.ended[:500]}

    def end_run(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.work is not None:
            run.work.cancel()
        self.highest_over[run.task] = max(self.highest_over.get(run.task, 0), run.number)
        self.platform.record("run_ends", task=run.task, run=run.number, runner=self.id, how=how)
        if how != "gone":
            self.last_end += 1
            self.ended.append([self.last_end, run.task, run.number, how, run.saved])
            self.end_listed.set()
            self.end_listed = asyncio.Event()
        self.platform.on_run_end(run, how)

    async def watch_lease(self):
        while self.up:
            await asyncio.sleep(0.02)
            if self.running and self.until_ms <= self.clock_ms():
                for it in list(self.running.values()):
                    self.end_run(it, "lapsed")

    def end(self):
        """The runner ends at once, and all that runs on it."""
        self.up = False
        self.server.stop()
        for it in list(self.running.values()):
            self.end_run(it, "gone")


class Machine:
    def __init__(self, name, pool, rack, zone, port):
        self.name = name
        self.pool = pool
        self.rack = rack
        self.zone = zone
        self.port = port
        self.state = "down"
        self.runner = None
        self.fence = 0
        self.waves = set()


class Platform:
    """The runners, the machines' service and what the operator writes to the store."""

    def __init__(self, store, record, capacity):
        self.store = store
        self.record = record
        self.capacity = capacity
        self.machines = {}
        self.work_s = {}  # job id -> seconds of work of each of its tasks
        self.gangs = {}  # "ID.K.STEP" -> number of members
        self.lasting = set()  # ids of jobs whose tasks last
        self.saving = set()  # ids of jobs whose tasks save their progress
        self.sequence = itertools.count(1)

    async def start(self, pools):
        """pools: name -> number of machines."""
        self.cloud = await HttpServer(self.handle_cloud).start()
        for pool, count in pools.items():
            for i in range(count):
                rack, zone = f"r-{pool}-{i // 4}", f"z{i % 2}"
                machine = Machine(f"m-{pool}-{i}", pool, rack, zone, 0)
                self.machines[machine.name] = machine
                await self.begin_runner(machine)

    async def begin_runner(self, machine):
        runner = Runner(self, machine, machine.port)
        await runner.server.start()
        machine.port = runner.server.port
        machine.runner = runner
        machine.state = "up"
        loop = asyncio.get_running_loop()
        runner.lease_watch = loop.create_task(runner.watch_lease())
        self.write_entry(runner, "ready")
        self.record("runner_up", runner=runner.id, machine=machine.name)

    def write_entry(self, runner, state):
        machine = runner.machine
        entry = {
            "service": machine.pool,
            "address": runner.server.address,
            "zone": machine.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": ["a", machine.rack],
            "clockMs": runner.clock_ms(),
            "seq": next(self.sequence),
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        self.store.apply([{"key": f"servers/{runner.id}", "value": value}], [])

    def end_runner(self, machine, state):
        """A runner ends without a word; its entry expires after three heartbeat intervals."""
        runner = machine.runner
        machine.runner = None
        machine.state = state
        if runner is None:
            return
        self.record("runner_down", runner=runner.id, machine=machine.name, why=state)
        runner.end()
        key = f"servers/{runner.id}"
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.store.apply, [], [key])

    async def crash(self, machine, for_s):
        self.end_runner(machine, "down")
        await asyncio.sleep(for_s)
        await self.begin_runner(machine)

    def write_operator(self, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.store.apply([{"key": key, "value": data}], [])

    # ---- work ----

    def percent_of(self, run):
        return 0 if run.begun_work_at is None else 100 if run.task.split(".")[0] in self.lasting else 50

    def begin_work(self, runner, run):
        loop = asyncio.get_running_loop()
        job, occurrence, step, _ = run.task.split(".")
        gang = f"{job}.{occurrence}.{step}"
        if gang in self.gangs:
            run.work = loop.create_task(self.time_out_gang(runner, run))
            self.begin_gang_if_present(gang, run.number)
            return
        run.begun_work_at = time.monotonic()
        if job not in self.lasting:
            run.work = loop.create_task(self.finish_later(runner, run, self.work_s[job]))

    async def finish_later(self, runner, run, seconds):
        await asyncio.sleep(seconds)
        runner.end_run(run, "done")

    async def time_out_gang(self, runner, run):
        await asyncio.sleep(GANG_TIMEOUT_S)
        if run.begun_work_at is None:
            runner.end_run(run, "alone")

    def members_of(self, gang, number):
        return [
            (m.runner, it)
            for m in self.machines.values()
            if m.runner is not None
            for it in m.runner.running.values()
            if it.task.startswith(gang + ".") and it.number == number
        ]

    def begin_gang_if_present(self, gang, number):
        """A gang works when all its tasks are there and begin at the same saved progress."""
        members = self.members_of(gang, number)
        if len(members) < self.gangs[gang]:
            return
        saved = sorted({it.saved for _, it in members})
        if len(saved) > 1:
            self.record("gang_cannot_work", gang=gang, run=number, saved=saved)
            return
        self.record("gang_works", gang=gang, run=number, saved=saved[0])
        for _, it in members:
            it.begun_work_at = time.monotonic()
        asyncio.get_running_loop().create_task(self.work_as_gang(gang, number, saved[0]))

    async def work_as_gang(self, gang, number, saved):
        job = gang.split(".")[0]
        steps = int(saved, 16) & 0xFFFF if saved else 0
        while steps * SAVE_S < self.work_s[job]:
            await asyncio.sleep(SAVE_S)
            steps += 1
            members = self.members_of(gang, number)
            if len(members) < self.gangs[gang]:
                return
            for _, it in members:
                it.saved = f"{job[:8]}{steps:08x}" if job in self.saving else ""
        for runner, it in members:
            runner.end_run(it, "done")

    def on_run_end(self, run, how):
        gang = run.task.rsplit(".", 1)[0]
        if gang in self.gangs and run.begun_work_at is not None and how not in ("done", "broken"):
            for runner, it in self.members_of(gang, run.number):
                runner.end_run(it, "broken")

    # ---- the machines' service ----

    async def handle_cloud(self, r):
        if r.path == "/api/machines":
            return 200, {"machines": [self.describe(m) for m in self.machines.values()]}
        body = r.json()
        machine = self.machines.get(body.get("machine"))
        if machine is None:
            return 400, {}
        fence = int(r.fields.get("x-fencing-token", 0))
        self.record("machine_order", path=r.path, machine=machine.name, fence=fence,
                    holder=r.fields.get("x-lease-holder"))
        if fence < machine.fence:
            return 409, {"reason": "fence"}
        machine.fence = fence
        if r.path == "/api/machine-move":
            return self.move(machine, body["pool"])
        return self.begin_upkeep(machine, body["wave"])

    def describe(self, m):
        out = {
            "machine": m.name,
            "pool": m.pool,
            "state": m.state,
            "zone": m.zone,
            "labels": ["a", m.rack],
            "capacity": self.capacity,
        }
        if m.runner is not None:
            out["id"] = m.runner.id
        return out

    def move(self, machine, pool):
        if machine.pool == pool:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.pool = pool
        self.end_runner(machine, "moving")
        asyncio.get_running_loop().create_task(self.return_later(machine, MOVE_S))
        return 200, {}

    def begin_upkeep(self, machine, wave):
        if wave in machine.waves:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.waves.add(wave)
        self.end_runner(machine, "upkeep")
        asyncio.get_running_loop().create_task(self.return_later(machine, UPKEEP_S))
        return 200, {}

    async def return_later(self, machine, seconds):
        await asyncio.sleep(seconds)
        await self.begin_runner(machine)
