"""Stand-in for the platform's metadata store: items, watches, transactions, leases."""

import asyncio
import time

from http_server import HttpServer

PAGE_ITEMS = 500


class Store:
    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 70000
        self.changed = asyncio.Event()
        self.before_call = None  # hook: coroutine (Request) -> answer, or None to serve the call

    async def start(self):
        self.server = await HttpServer(self.handle).start()
        asyncio.get_running_loop().create_task(self.expire_leases())
        return self

    async def handle(self, r):
        if self.before_call is not None:
            answer = await self.before_call(r)
            if answer is not None:
                return answer
        return await self.serve(r)

    async def serve(self, r):
        if r.path == "/api/kv-key":
            return self.get(r.query["key"])
        if r.path == "/api/kv-range":
            return self.range(r.query["prefix"], r.query.get("after", ""))
        if r.path == "/api/kv-watch":
            return await self.watch(r.query["prefix"], int(r.query["after"]), int(r.query["waitMs"]))
        if r.path == "/api/kv-txn":
            return self.transact(r.json())
        if r.path == "/api/kv-lease":
            return self.grant(r.json()["ttlMs"])
        if r.path.startswith("/api/kv-keep/"):
            return self.keep(int(r.path.rsplit("/", 1)[1]))
        if r.path.startswith("/api/kv-lease-end/"):
            return self.end_lease(int(r.path.rsplit("/", 1)[1]))
        return 400, {}

    def get(self, key):
        item = self.items.get(key)
        if item is None:
            return 404, {"storeRevision": self.revision}
        return 200, {**item, "storeRevision": self.revision}

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[k] for k in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "morePages": more, "storeRevision": self.revision}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            found = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, t):
        expected = t.get("expectedRev", [])
        for it in expected:
            current = self.items.get(it["key"])
            if (current["revision"] if current else 0) != it["revision"]:
                found = [self.items[e["key"]] for e in expected if e["key"] in self.items]
                return 412, {"items": found}
        puts = t.get("put", [])
        if any(it.get("lease", 0) and it["lease"] not in self.leases for it in puts):
            return 404, {}
        keys = [it["key"] for it in puts] + t.get("remove", [])
        if any(k.startswith(("op/", "servers/")) for k in keys):
            return 403, {}
        self.apply(puts, t.get("remove", []))
        return 200, {"revision": self.revision}

    def apply(self, puts, removals):
        """Makes one change, also for the operator and the runners."""
        self.revision += 1
        for it in puts:
            before = self.items.get(it["key"])
            item = {
                "key": it["key"],
                "value": it["value"],
                "revision": self.revision,
                "created": before["created"] if before else self.revision,
                "lease": it.get("lease", 0),
            }
            self.items[it["key"]] = item
            self.events.append(item)
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.events.append({"key": key, "revision": self.revision, "removed": True})
        self.changed.set()
        self.changed = asyncio.Event()

    def grant(self, ttl_ms):
        self.next_lease += 1
        ttl_ms = max(ttl_ms, 1000)
        self.leases[self.next_lease] = [ttl_ms, time.monotonic() + ttl_ms / 1000]
        return 200, {"lease": self.next_lease, "ttlMs": ttl_ms}

    def keep(self, lease):
        it = self.leases.get(lease)
        if it is None:
            return 404, {}
        it[1] = time.monotonic() + it[0] / 1000
        return 200, {"ttlMs": it[0]}

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return 404, {}
        self.apply([], [k for k, it in self.items.items() if it["lease"] == lease])
        return 200, {}

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, it in self.leases.items() if it[1] <= now]:
                self.end_lease(lease)
