"""Stand-ins for the platform's store, minions and clients, and the start of the
project's own entries, all on loopback addresses. Python's standard library only."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/src/app/eelgrasspost")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
BEGIN = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - BEGIN


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))
        self.file.flush()


class Connection:
    def __init__(self, reader, writer):
        self.reader, self.writer, self.silent = reader, writer, False


class HttpServer:
    """An HTTP/1.1 server. Connections may go silent for good."""

    def __init__(self):
        self.connections, self.server = set(), None

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    def silence(self):
        """No open connection sends another byte. New ones work."""
        for it in self.connections:
            it.silent = True
        return len(self.connections)

    def close(self):
        """Ends the server and resets its connections, as a crash does."""
        if self.server:
            self.server.close()
        for it in list(self.connections):
            it.silent = True
            sock = it.writer.get_extra_info("socket")
            if sock:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                except OSError:
                    pass
            it.writer.transport.abort()

    async def serve(self, reader, writer):
        it = Connection(reader, writer)
        self.connections.add(it)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                method, target = head[0].split(" ")[:2]
                fields = {}
                for line in head[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        fields[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if it.silent:
                    await asyncio.sleep(3600)
                status, out = await self.handle(method, target, fields, body)
                if it.silent:
                    await asyncio.sleep(3600)
                if status is None:
                    return
                data = json.dumps(out).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(it)
            writer.close()


class Store(HttpServer):
    """The platform's metadata store, as the page 'What eelgrasspost speaks' has it."""

    TX_S, ROW_BYTES, CALL_BYTES, ROWS = 0.008, 65536, 1000000, 500

    def __init__(self):
        super().__init__()
        self.rows, self.log, self.version = {}, [], 0
        self.changed, self.parts, self.refused = asyncio.Event(), {}, []

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "schemaVer": version}

    def apply(self, writes, removals):
        """writes: key -> base64 text."""
        self.version += 1
        for key, value in writes.items():
            self.rows[key] = (value, self.version)
            self.log.append((self.version, dict(self.row(key))))
        for key in removals:
            if self.rows.pop(key, None):
                self.log.append((self.version, {"table": key[0], "part": key[1], "key": key[2],
                                                "schemaVer": self.version, "removed": True}))
        self.wake()

    def put(self, table, name, value):
        """A write of the operator or of a minion, with a JSON value."""
        self.apply({(table, "", name): base64.b64encode(json.dumps(value).encode()).decode()}, [])

    def drop(self, table, name):
        self.apply({}, [(table, "", name)])

    def answer(self, **more):
        return dict(more, nowMs=int(time.monotonic() * 1000), **({} if "schemaVer" in more else {"schemaVer": self.version}))

    async def handle(self, method, target, fields, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if (method, url.path) == ("POST", "/rows-tx"):
            return await self.transaction(body)
        if (method, url.path) == ("GET", "/rows-get"):
            await asyncio.sleep(0.004)
            return self.get(query)
        if (method, url.path) == ("GET", "/rows-feed"):
            return await self.feed(query)
        return 404, {}

    async def transaction(self, body):
        tx = json.loads(body)
        key = lambda it: (it["table"], it.get("part", ""), it["key"])
        expected, writes, removals = tx.get("expectedRev", []), tx.get("writes", []), tx.get("remove", [])
        parts = {key(it)[1] for it in expected + writes + removals}
        sizes = [len(base64.b64decode(it["value"])) for it in writes]
        if (len(parts) > 1 or len(expected) + len(writes) + len(removals) > 100 or len(body) > self.CALL_BYTES
                or any(it > self.ROW_BYTES for it in sizes)):
            self.refused.append((now(), max(sizes, default=0), len(body), [key(it) for it in writes]))
            return 400, {"error": "a row or the call is too large"}
        if any(it["table"] in ("op", "servers") for it in writes + removals):
            return 403, {}
        lock = self.parts.setdefault(next(iter(parts)), asyncio.Lock())
        async with lock:
            await asyncio.sleep(self.TX_S)
            if any(self.rows.get(key(it), ("", 0))[1] != it["schemaVer"] for it in expected):
                rows = [self.row(key(it)) for it in expected if key(it) in self.rows]
                return 412, self.answer(rows=rows)
            self.apply({key(it): it["value"] for it in writes}, [key(it) for it in removals])
            return 200, self.answer()

    def get(self, query):
        low, high = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", self.ROWS)), self.ROWS)
        keys = sorted(k for k in self.rows if k[:2] == (query["table"], query.get("part", ""))
                      and k[2] >= low and (high is None or k[2] < high))
        return 200, self.answer(rows=[self.row(k) for k in keys[:limit]], hasMore=len(keys) > limit)

    async def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            event = self.changed
            rows = []
            for version, row in reversed(self.log):
                if version <= after:
                    break
                if row["table"] == query["table"]:
                    rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                rows.reverse()
                more = len(rows) > self.ROWS
                rows = rows[:self.ROWS]
                return 200, self.answer(rows=rows, schemaVer=rows[-1]["schemaVer"] if more else self.version)
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass


class Minion(HttpServer):
    """One minion. A task's spec tells what its runs do: 'ms=300' how long, 'gang=N' its members."""

    GANG_S, MAX_HOLD_MS = 3.0, 6000
    gangs = {}

    def __init__(self, world, name, zone, cpu=16000, mem=64000, rack="r1", kind="a"):
        super().__init__()
        self.world, self.id, self.zone, self.rack, self.kind = world, name, zone, rack, kind
        self.cpu, self.mem = cpu, mem
        self.state, self.up, self.sequence, self.address = "ready", False, 0, None

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    async def start(self, ip):
        """A new incarnation, which knows nothing of before."""
        self.up, self.started, self.born = True, time.monotonic(), int(time.time() * 1000)
        self.token = self.deadline = self.number = self.sequence = 0
        self.running, self.finished, self.ended, self.ending = {}, [], {}, asyncio.Event()
        port = int(self.address.split(":")[1]) if self.address else 0
        await self.listen(ip, port)
        self.tasks = [asyncio.ensure_future(self.beats()), asyncio.ensure_future(self.leases())]

    def crash(self):
        self.up = False
        self.world.record("%s crashes with %d runs" % (self.id, len(self.running)))
        for it in self.tasks:
            it.cancel()
        for run in self.running.values():
            run["timer"].cancel()
        for key in self.running:
            self.world.over(self, key, "lost")
        self.running = {}
        self.close()

    def row(self):
        return {"backend": self.world.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 8, "state": self.state, "coldRemainingMs": 0, "born": self.born,
                "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpus": 0},
                "labels": [self.kind, self.rack], "clockMs": self.clock(), "sequence": self.sequence}

    async def beats(self):
        while True:
            self.sequence += 1
            self.world.store.put("servers", self.id, self.row())
            await asyncio.sleep(1.5)

    async def leases(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.deadline:
                self.world.record("%s: the lease lapses, %d runs end" % (self.id, len(self.running)))
                for key in list(self.running):
                    self.end(key, "lapsed")

    def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        run["timer"].cancel()
        self.number += 1
        self.finished.append([self.number, key[0], key[1], how, ""])
        self.ended[key[0]] = max(self.ended.get(key[0], 0), key[1])
        self.world.over(self, key, how)
        self.ending.set()
        self.ending = asyncio.Event()

    async def work(self, key, spec, job_step):
        gang = spec.get("gang") if self.world.need(job_step.split(".")[0], int(job_step.split(".")[2])).get("gang") else None
        if gang:
            members = Minion.gangs.setdefault((job_step, key[1]), {"in": set(), "all": asyncio.Event()})
            members["in"].add(key[0])
            if len(members["in"]) == gang:
                members["all"].set()
            try:
                await asyncio.wait_for(members["all"].wait(), self.GANG_S)
            except asyncio.TimeoutError:
                self.end(key, "alone")
                return
        if spec.get("ms") is not None:
            await asyncio.sleep(spec["ms"] / 1000)
            self.end(key, spec.get("how", "done"))

    def hold_until(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + self.MAX_HOLD_MS))

    async def handle(self, method, target, fields, body):
        if not self.up:
            return None, {}
        if target == "/health":
            return 200, {}
        order = json.loads(body)
        if fields.get("x-eelgrasspost-expected-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock(), "born": self.born}
        token = order.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/run-start":
            status, reason = self.start_run(order)
            return status, dict({"clockMs": self.clock(), "born": self.born}, **({"reason": reason} if reason else {}))
        if target == "/run-stop":
            key = (order["task"], order["attempt"])
            self.ended[key[0]] = max(self.ended.get(key[0], 0), key[1])
            if key in self.running:
                await asyncio.sleep(0.02)
                self.end(key, "stopped")
            return 200, {"clockMs": self.clock(), "born": self.born}
        if target == "/pace":
            return 200, {"clockMs": self.clock(), "born": self.born}
        if target == "/hold":
            self.hold_until(order.get("deadlineMs", 0))
            acked = order.get("ackCursor", 0)
            for it in self.finished:
                if it[0] <= acked:
                    self.world.noted(self, (it[1], it[2]), it[3])
            self.finished = [it for it in self.finished if it[0] > acked]
            until = time.monotonic() + min(order.get("waitMs", 0), 2000) / 1000
            while not self.finished and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.ending.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            running = [[k[0], k[1], "", self.percent(v), v["cpu"]] for k, v in self.running.items()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                         "finished": self.finished[:500]}
        return 404, {}

    def percent(self, run):
        """Of the work; 100 for a run that lasts, which is at work."""
        if run["ms"] is None:
            return 100
        return round(min(99.9, 100000 * (time.monotonic() - run["at"]) / max(1, run["ms"])), 2)

    def start_run(self, order):
        key, deadline = (order["task"], order["attempt"]), order["deadlineMs"]
        if deadline <= self.clock():
            return 409, "late"
        self.hold_until(deadline)
        if key in self.running:
            return 200, None
        if key[1] <= self.ended.get(key[0], 0):
            return 409, "old"
        spec = json.loads(order["spec"])
        job, occurrence, step, index = key[0].split(".")
        need = self.world.need(job, int(step))
        task = asyncio.ensure_future(self.work(key, spec, ".".join((job, occurrence, step))))
        self.running[key] = {"timer": task, "ms": spec.get("ms"), "at": time.monotonic(),
                             "cpu": need.get("cpu", 0), "need": need}
        self.world.begun(self, key, order)
        return 200, None


async def request(address, method, path, host, body=None, timeout=3.0, headers=()):
    """One request of a client, on a connection of its own. Returns the status (None without an
    answer) and the body."""
    writer = None
    try:
        async def run():
            nonlocal writer
            ip, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            data = json.dumps(body).encode() if body is not None else b""
            head = ["%s %s HTTP/1.1" % (method, path), "Host: " + host, "Content-Type: application/json",
                    "X-Eelgrasspost-Deadline-Ms: %d" % int(timeout * 1000), "Content-Length: %d" % len(data),
                    "Connection: close"] + list(headers)
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            raw = await reader.read()
            top, _, rest = raw.partition(b"\r\n\r\n")
            status = int(top.split(b" ")[1])
            try:
                return status, json.loads(rest)
            except ValueError:
                return status, {}
        return await asyncio.wait_for(run(), timeout)
    except (asyncio.TimeoutError, OSError, IndexError, ValueError):
        return None, {}
    finally:
        if writer:
            writer.close()


class Entry:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, world, number, zone):
        self.world, self.name, self.zone = world, "edge-%s-%d" % (zone, number), zone
        self.ip = "%s.%d" % (NET, 10 + number)
        self.http, self.process = self.ip + ":8161", None
        for port in (8161, 8167, 7720, 9464):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((self.ip, port))

    async def start(self):
        text = open(os.path.join(ROOT, "deploy/entry.ini")).read()
        bounds = self.world.bounds
        values = {"nodeName": self.name, "zone": self.zone, "limits.cpuShare": 0.1, "listen.frontend": self.http,
                  "listen.readinessAddr": self.ip + ":8167", "ip": self.ip, "portRange.0": 7720,
                  "platform.address": self.world.store.address, "platform.writesPerS": 600,
                  "platform.partitionWritesS": 150}
        values.update({"bounds." + k: v for k, v in bounds.items()})
        for key, value in values.items():
            text = text.replace("{{%s}}" % key, str(value))
        path = os.path.join(self.world.folder, self.name + ".ini")
        with open(path, "w") as out:
            out.write(text)
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "dispatch", "--settings", path, stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C"})
        log.close()
        self.world.record("%s starts" % self.name)

    def kill(self, number=signal.SIGKILL):
        self.world.record("%s gets signal %d" % (self.name, number))
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class World:
    """A small deployment with the bounds of the site sheet."""

    def __init__(self, case, zones=("za", "zb", "zc"), entries=1, minions=2, cpu=16000):
        self.case = os.path.abspath(case)
        self.record = Record(self.case)
        self.temp = tempfile.TemporaryDirectory()
        self.folder = self.temp.name
        self.service, self.host = "desk", "site.example"
        self.bounds = {"maxHoldMs": 6000, "early_ms": 250, "harmMs": 4000, "gracePeriodS": 6, "drainMs": 2000,
                       "contactMs": 3000, "status_s": 120}
        self.store = Store()
        self.zones, self.entries, self.minions, self.jobs = zones, [], [], {}
        self.starts, self.ends, self.notes, self.config_version, self.routes = [], [], [], 0, []
        number = 0
        for zone in zones:
            for _ in range(entries):
                number += 1
                self.entries.append((number, zone))
        for zone in zones:
            for i in range(minions):
                self.minions.append(Minion(self, "i-%s-%d" % (zone, i), zone, cpu, rack="r%d" % (i % 2)))

    def put_config(self, routes):
        self.config_version += 3
        self.routes = routes
        self.store.put("op", "config", {
            "version": self.config_version, "routes": routes,
            "services": [{"name": self.service, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                          "tls": False, "rejectsOverload": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.record("configuration %d is acknowledged: %s" % (self.config_version, [it["prefix"] for it in routes]))

    def route(self, prefix, **more):
        return dict({"name": "r-" + prefix.strip("/"), "host": self.host, "prefix": prefix, "type": "non_idempotent",
                     "timeoutMs": 3000, "targetDurationMs": 250, "priority": 0, "backend": self.service,
                     "maxAttempts": 3, "stretch": 1.5}, **more)

    def need(self, job, step):
        spec = self.jobs.get(job, {})
        steps = spec.get("steps", [])
        return steps[step] if step < len(steps) else {}

    def begun(self, minion, key, order):
        self.starts.append((now(), minion, key, order))
        self.record("%s begins %s run %d token %d" % (minion.id, key[0], key[1], order.get("fencingToken", 0)))

    def over(self, minion, key, how):
        self.ends.append((now(), minion, key, how))
        self.record("%s ends %s run %d: %s" % (minion.id, key[0], key[1], how))

    def noted(self, minion, key, how):
        self.notes.append((now(), minion, key, how))

    async def begin(self, routes):
        await self.store.listen("127.0.0.1")
        self.put_config(routes)
        for it in self.minions:
            await it.start("127.0.0.1")
        self.entries = [Entry(self, number, zone) for number, zone in self.entries]
        for it in self.entries:
            await it.start()
        for _ in range(100):
            await asyncio.sleep(0.2)
            ready = [(await request(it.ip + ":8167", "GET", "/readiness", "x", timeout=1.0))[0] for it in self.entries]
            if all(it == 200 for it in ready):
                break
        else:
            raise RuntimeError("the entries are not ready: %s" % ready)
        await asyncio.sleep(3.0)
        self.record("all entries are ready")

    def new_job(self, steps, spec, **more):
        job = "%016x" % random.getrandbits(64)
        self.jobs[job] = dict({"spec": json.dumps(spec), "steps": steps}, **more)
        return job

    async def submit(self, entry, prefix, job, timeout=3.0):
        status, body = await request(entry.http, "POST", prefix + job, self.host, self.jobs[job], timeout)
        self.record("%s: POST %s -> %s" % (entry.name, prefix + job, status))
        return status

    async def ask(self, entry, method, path, timeout=3.0, quiet=False):
        status, body = await request(entry.http, method, path, self.host, None, timeout)
        if not quiet:
            self.record("%s: %s %s -> %s %s" % (entry.name, method, path, status, body))
        return status, body

    async def finish(self):
        for it in self.entries:
            if isinstance(it, Entry) and it.process and it.process.returncode is None:
                it.process.kill()
                await it.process.wait()
        for it in self.minions:
            if it.up:
                for task in it.tasks:
                    task.cancel()
            it.close()
        self.store.close()


def run(case, build, play):
    """Plays a case; the exit code tells whether the rule held."""
    async def main():
        world = build(case)
        try:
            await world.begin(world.first_routes)
            broken = await play(world)
            for it in world.entries:
                if it.process.returncode not in (None, 0, -9):
                    world.record("%s ended by itself with %s" % (it.name, it.process.returncode))
            return broken
        finally:
            await world.finish()
    try:
        broken = asyncio.run(asyncio.wait_for(main(), 115))
    except Exception as error:
        print("the case could not run: %r" % error)
        sys.exit(2)
    print("broken: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
