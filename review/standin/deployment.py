"""A small deployment on loopback: the platform's stand-ins and nodes started as in deploy/system.toml."""

import asyncio
import base64
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http_server import call, free_ports
from runners import Platform
from store import Store

ROOT = Path(__file__).resolve().parents[2]
CAPACITY = {"cpu": 32000, "memMb": 131072, "gpu": 0}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "bookings.example"


class Record:
    """Writes one line for each event, with the milliseconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lines = []

    def now_s(self):
        return time.monotonic() - self.started

    def __call__(self, event, **fields):
        line = {"ms": int(self.now_s() * 1000), "event": event, **fields}
        self.lines.append(line)
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()

    def of(self, event):
        return [it for it in self.lines if it["event"] == event]


class Node:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, name, folder, store, cloud):
        self.name = name
        callers, health, metrics, relay = free_ports(4)
        self.address = f"127.0.0.1:{callers}"
        self.health = f"127.0.0.1:{health}"
        settings = {
            "member": name,
            "zone": "z0",
            "listen": {
                "callers": self.address,
                "health": self.health,
                "metrics": f"127.0.0.1:{metrics}",
                "relay": f"127.0.0.1:{relay}",
            },
            "services": {"store": store, "machines": cloud, "advice": ""},
            "processor_share": 0.25,
            "link_mbps": 1000.0,
            "machine_orders_per_second": 64.0,
            "timing": {
                "longest_runner_lease_ms": 10000,
                "stop_bound_s": 6,
                "longest_stop_ms": 200,
            },
            "policy": {"moves": True},
            "conditions": CONTRACTS,
        }
        self.file = Path(folder) / f"{name}.json"
        self.file.write_text(json.dumps(settings), encoding="utf-8")
        self.log = open(Path(folder) / f"{name}.log", "w", encoding="utf-8")
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        words = deploy["roles"]["entry"]["run"].split(" ")
        words[words.index("--settings") + 1] = str(self.file)
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=self.log, stderr=self.log)

    def send_signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


class Deployment:
    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.nodes = []

    async def start(self, pools, queues, nodes=3):
        """pools: name -> machines. queues: prefix -> the queue's fields in the configuration."""
        self.store = await Store().start()
        self.platform = Platform(self.store, self.record, CAPACITY)
        await self.platform.start(pools)
        routes = [
            {
                "name": f"r{i}",
                "host": HOST,
                "prefix": prefix,
                "kind": "unsafe",
                "timeoutMs": 3000,
                "targetDurationMs": 600,
                "priority": 0,
                "maxAttempts": 3,
                "stretch": 1.6,
                **fields,
            }
            for i, (prefix, fields) in enumerate(queues.items())
        ]
        services = [{"name": it, "enforcesCapacity": False, "standby": False} for it in pools]
        limits = {"maxBodyBytes": 262144}
        config = {"version": 1, "routes": routes, "services": services, "limits": limits}
        self.platform.write_operator("op/config", config)
        for i in range(nodes):
            node = Node(f"front-{i}", self.folder, self.store.server.address, self.platform.cloud.address)
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await self.wait_until_ready(node)
        await asyncio.sleep(5.0)  # traffic starts some seconds after the nodes

    async def wait_until_ready(self, node):
        for _ in range(200):
            status, _ = await call(node.health, "GET", "/api/readyz", timeout=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{node.name} did not become ready")

    async def request(self, node, method, path, body=None, timeout=3.0):
        self.record("sent", node=node.name, method=method, path=path)
        fields = {"Host": HOST, "X-Request-Deadline": "3000"}
        status, value = await call(node.address, method, path, body, fields, timeout)
        self.record("answered", node=node.name, method=method, path=path, status=status, body=value)
        return status, value

    def leader(self):
        """Returns the node that leads, by the key that it holds in the store, or None."""
        item = self.store.items.get("coord/leader")
        name = "" if item is None else base64.b64decode(item["value"]).decode()
        return next((it for it in self.nodes if it.name == name), None)

    def end(self):
        for node in self.nodes:
            node.end()


def run_case(folder, case):
    """Runs the coroutine case(deployment, record, trouble) and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (ROOT / "target/bin/camphorhitchd").exists():
        print("target/bin/camphorhitchd is missing: run the build of deploy/system.toml")
        sys.exit(NOT_RUN)

    async def run():
        record = Record(Path(folder) / "record.txt")
        with tempfile.TemporaryDirectory() as work:
            deployment = Deployment(record, work)
            try:
                result = await asyncio.wait_for(case(deployment, record, trouble), 110)
            except (RuntimeError, OSError, asyncio.TimeoutError) as e:
                record("not_run", why=repr(e))
                result = NOT_RUN
            finally:
                for node in deployment.nodes:
                    code = node.process.poll() if node.process is not None else None
                    record("node_state", node=node.name, exit_code=code)
                deployment.end()
                if os.environ.get("KEEP_LOGS"):
                    for node in deployment.nodes:
                        text = (Path(work) / f"{node.name}.log").read_text(encoding="utf-8")
                        (Path(os.environ["KEEP_LOGS"]) / f"{node.name}.log").write_text(text)
            record("result", code=result)
            return result

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # ends the nodes too
    code = asyncio.run(run())
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
