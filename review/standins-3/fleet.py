"""Stand-ins for the scripts of this review: the platform's store, minions and
clients in one process; the entries are processes of the project's program.

They follow SYSTEM, PROTOCOL and DEPLOY. Everything listens on loopback.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import shutil
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target/src/app/eelgrasspost")
TEMPLATE = os.path.join(ROOT, "deploy/entry.ini")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_MS = 200
GANG_MS = 3000


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- HTTP ------------------------------------------------------------------

async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def encode_response(status, body, close=False):
    data = json.dumps(body, separators=(",", ":")).encode()
    connection = "Connection: close\r\n" if close else ""
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"{connection}Content-Length: {len(data)}\r\n\r\n").encode() + data


class HttpServer:
    """Calls handle(method, target, headers, body), which returns a status and
    an object, or None to leave the call unanswered."""

    def __init__(self, ip, handle):
        self.ip = ip
        self.port = 0
        self.handle = handle
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, reuse_address=True, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                out = await self.handle(method, target, headers, body)
                if out is None:
                    await asyncio.sleep(60)
                    return
                writer.write(encode_response(*out))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def abort(self):
        """Ends like a killed process: nothing listens, connections reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


async def call(address, method, target, host=None, body=None, timeout_s=3.0,
               source=None):
    """Returns (status, object); (None, reason) without an answer."""
    ip, port = address.rsplit(":", 1)
    data = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(
                (f"{method} {target} HTTP/1.1\r\nHost: {host or address}\r\n"
                 f"Content-Type: application/json\r\n"
                 f"X-Eelgrasspost-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                 f"Connection: close\r\n"
                 f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
            line, _, answer = await read_message(reader)
            status = int(line.split(" ")[1])
            return status, (json.loads(answer) if answer else {})
    except (TimeoutError, ConnectionError, OSError,
            asyncio.IncompleteReadError) as error:
        return None, type(error).__name__
    finally:
        if writer:
            writer.close()


# --- the platform's store ----------------------------------------------------

class Store:
    """Rows in tables, linearizable. The tables `op` and `servers` are written
    by the operator and the minions, in this process."""

    TX_S = 0.008

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.history = []
        self.changed = asyncio.Condition()
        self.parts = {}
        self.server = HttpServer("127.0.0.1", self.handle)

    async def start(self):
        await self.server.listen()

    @property
    def address(self):
        return self.server.address

    def row(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2],
                "value": value, "schemaVer": version}

    async def apply(self, writes, removals):
        self.version += 1
        for key, value in writes:
            self.rows[key] = (value, self.version)
            self.history.append((self.version, key, False))
        for key in removals:
            if self.rows.pop(key, None):
                self.history.append((self.version, key, True))
        async with self.changed:
            self.changed.notify_all()

    async def write_text(self, table, key, text):
        value = base64.b64encode(text.encode()).decode()
        await self.apply([((table, "", key), value)], [])

    async def write(self, table, key, body):
        await self.write_text(table, key, json.dumps(body))

    async def remove(self, table, key):
        await self.apply([], [(table, "", key)])

    def base(self):
        return {"schemaVer": self.version, "nowMs": int(time.monotonic() * 1000)}

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-tx":
            return await self.commit(json.loads(body))
        if path == "/rows-get":
            return self.read(args)
        if path == "/rows-feed":
            return await self.feed(args)
        return 404, {}

    async def commit(self, body):
        key_of = lambda r: (r["table"], r.get("part", ""), r["key"])
        expected = body.get("expectedRev", [])
        writes = body.get("writes", [])
        removals = body.get("remove", [])
        if len(expected) + len(writes) + len(removals) > 100:
            return 400, {"reason": "more than 100 entries"}
        parts = {r.get("part", "") for r in expected + writes + removals}
        if len(parts) > 1:
            return 400, {"reason": "several parts"}
        for r in writes + removals:
            if r["table"] in ("op", "servers"):
                return 403, {}
        for r in expected + writes + removals:
            if any(len(text.encode()) > 200 for text in key_of(r)):
                return 400, {"reason": "a text is too long"}
        for r in writes:
            if len(base64.b64decode(r["value"])) > 65536:
                return 400, {"reason": "the value is too large"}
        lock = self.parts.setdefault(next(iter(parts), ""), asyncio.Lock())
        async with lock:
            await asyncio.sleep(self.TX_S)
            isMet = all(
                (self.rows[key_of(r)][1] if key_of(r) in self.rows else 0)
                == r["schemaVer"] for r in expected)
            if not isMet:
                rows = [self.row(key_of(r)) for r in expected
                        if key_of(r) in self.rows]
                return 412, {**self.base(), "rows": rows}
            await self.apply([(key_of(r), r["value"]) for r in writes],
                             [key_of(r) for r in removals])
            return 200, self.base()

    def read(self, args):
        table, part = args["table"], args.get("part", "")
        start, before = args.get("from", ""), args.get("target", "")
        limit = min(500, int(args.get("limit", 500)))
        keys = sorted(k for k in self.rows
                      if k[0] == table and k[1] == part and k[2] >= start
                      and (not before or k[2] < before))
        out = self.base()
        out["rows"] = [self.row(k) for k in keys[:limit]]
        out["hasMore"] = len(keys) > limit
        return 200, out

    async def feed(self, args):
        table, after = args["table"], int(args["after"])
        until = time.monotonic() + int(args.get("waitMs", 0)) / 1000

        def changes():
            latest = {}
            for version, key, removed in reversed(self.history):
                if version <= after:
                    break
                if key[0] == table and key not in latest:
                    latest[key] = (version, removed)
            out = []
            for key, (version, removed) in sorted(
                    latest.items(), key=lambda item: item[1][0]):
                if removed:
                    out.append({"table": key[0], "part": key[1], "key": key[2],
                                "removed": True, "schemaVer": version})
                else:
                    out.append(self.row(key))
            return out

        rows = changes()
        while not rows:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                pass
            rows = changes()
        return 200, {**self.base(), "rows": rows}


# --- minions -------------------------------------------------------------------

class Run:
    def __init__(self, task, attempt, spec, at):
        self.task, self.attempt, self.spec, self.at = task, attempt, spec, at
        self.stops_at = None
        self.works_since = at


class Minion:
    """A sound minion. What a task does is in its `spec`: "ms=N" ends done after
    N ms of work, "fail=N" fails, "last" lasts. `gangs` gives the width of the
    gang of a job's step."""

    def __init__(self, fleet, name, zone, backend="rackdesk", cpu=16000,
                 mem=62500, labels=("a", "r1")):
        self.fleet, self.name, self.zone, self.backend = (
            fleet, name, zone, backend)
        self.cpu, self.mem, self.labels = cpu, mem, list(labels)
        self.state = "ready"
        self.up = False
        self.sequence = 0
        self.server = HttpServer("127.0.0.1", self.handle)
        self.tasks = []

    async def start(self):
        self.born = int(time.time() * 1000)
        self.clock_at = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.settled = {}
        self.ends = []
        self.last_end = 0
        self.acked = 0
        self.ended = asyncio.Condition()
        await self.server.listen()
        self.up = True
        self.fleet.log(f"minion {self.name} up at {self.server.address}")
        self.tasks = [asyncio.create_task(self.advance()),
                      asyncio.create_task(self.heartbeat())]

    def crash(self):
        """Like SIGKILL: what ran is gone, connections are reset."""
        self.up = False
        for it in self.tasks:
            it.cancel()
        self.server.abort()
        for run in self.runs.values():
            self.fleet.on_end(self, run, "crashed", None)
        self.runs = {}
        self.fleet.log(f"minion {self.name} crashed")

    def clock(self):
        return int((time.monotonic() - self.clock_at) * 1000) + 1

    def entry(self):
        self.sequence += 1
        return {"backend": self.backend, "address": self.server.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born,
                "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpus": 0},
                "labels": self.labels}

    async def register(self):
        await self.fleet.store.write("servers", self.name, self.entry())

    async def heartbeat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self):
        self.state = "draining"
        await self.register()
        self.fleet.log(f"minion {self.name} reports draining")

    async def leave(self):
        self.crash()
        await self.fleet.store.remove("servers", self.name)
        self.fleet.log(f"minion {self.name} has left")

    def used_cpu(self):
        return sum(self.fleet.cpu_of(run.task) for run in self.runs.values())

    async def advance(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            ended = []
            for run in self.runs.values():
                what, _, figure = run.spec.partition("=")
                gang = self.fleet.gang_of(run)
                if gang is not None and not gang.is_complete():
                    if self.clock() >= self.lease_ms:
                        ended.append((run, "lapsed"))
                    elif run.stops_at and now >= run.stops_at:
                        ended.append((run, "stopped"))
                    elif now - run.at > GANG_MS / 1000:
                        ended.append((run, "alone"))
                    continue
                since = run.at if gang is None else gang.complete_at
                if self.clock() >= self.lease_ms:
                    ended.append((run, "lapsed"))
                elif run.stops_at and now >= run.stops_at:
                    ended.append((run, "stopped"))
                elif what == "ms" and now - since >= int(figure) / 1000:
                    ended.append((run, "done"))
                elif what == "fail" and now - since >= int(figure) / 1000:
                    ended.append((run, "failed"))
            for run, how in ended:
                await self.end(run, how)

    async def end(self, run, how):
        del self.runs[run.task]
        self.settled[run.task] = max(self.settled.get(run.task, 0), run.attempt)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.attempt, how, ""])
        self.fleet.on_end(self, run, how, self.last_end)
        async with self.ended:
            self.ended.notify_all()

    def reply(self, **fields):
        return {"clockMs": self.clock(), "born": self.born, **fields}

    async def handle(self, method, target, headers, body):
        if headers.get("x-eelgrasspost-expected-instance") != self.name:
            return 421, self.reply()
        request = json.loads(body)
        token = request.get("fencingToken", 0)
        if token < self.token:
            return 409, self.reply(reason="fence")
        self.token = token
        if target == "/run-start":
            return self.run_start(request)
        if target == "/run-stop":
            return self.run_stop(request)
        if target == "/hold":
            return await self.hold(request)
        if target == "/pace":
            return 200, self.reply()
        return 404, self.reply()

    def extend(self, deadline):
        self.lease_ms = max(self.lease_ms,
                            min(deadline, self.clock() + MAX_HOLD_MS))

    def run_start(self, request):
        task, attempt = request["task"], request["attempt"]
        deadline = request["deadlineMs"]
        if deadline <= self.clock():
            return 409, self.reply(reason="late")
        self.extend(deadline)
        known = self.runs.get(task)
        if known and known.attempt == attempt:
            return 200, self.reply()
        if known or attempt <= self.settled.get(task, 0):
            return 409, self.reply(reason="old")
        run = Run(task, attempt, request["spec"], time.monotonic())
        self.runs[task] = run
        self.fleet.on_start(self, run)
        return 200, self.reply()

    def run_stop(self, request):
        task, attempt = request["task"], request["attempt"]
        self.settled[task] = max(self.settled.get(task, 0), attempt)
        run = self.runs.get(task)
        if run and run.attempt <= attempt and not run.stops_at:
            run.stops_at = time.monotonic() + STOP_MS / 2000
        return 200, self.reply()

    async def hold(self, request):
        cursor = request.get("ackCursor", 0)
        if cursor > self.acked:
            self.acked = cursor
            for end in self.ends:
                if end[0] <= cursor:
                    self.fleet.on_noted(self, end)
            self.ends = [end for end in self.ends if end[0] > cursor]
        if request.get("deadlineMs"):
            self.extend(request["deadlineMs"])
        until = time.monotonic() + request.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    async with self.ended:
                        await self.ended.wait()
            except TimeoutError:
                pass
        running = []
        for run in self.runs.values():
            what, _, figure = run.spec.partition("=")
            ran = (time.monotonic() - run.at) * 1000
            percent = (100 if what == "last"
                       else min(99, int(100 * ran / max(1, int(figure)))))
            running.append([run.task, run.attempt, "", percent,
                            self.fleet.cpu_of(run.task)])
        return 200, self.reply(running=running, finished=self.ends[:500])


class Gang:
    def __init__(self, width):
        self.width, self.members, self.complete_at = width, set(), None

    def is_complete(self):
        return self.complete_at is not None


# --- entries ---------------------------------------------------------------------

def free_ports(ip, count):
    """Ports that are free for TCP and UDP."""
    out, held = [], []
    while len(out) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind((ip, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            udp.bind((ip, port))
        except OSError:
            continue
        out.append(port)
    for it in held:
        it.close()
    return out


def render(template, fields):
    """The placeholders and sections of DEPLOY that deploy/entry.ini uses."""
    def value_of(path, current):
        if path == ".":
            return current
        value = fields
        for name in path.split("."):
            if isinstance(value, list):
                value = value[int(name)] if int(name) < len(value) else None
            else:
                value = value.get(name) if isinstance(value, dict) else None
        return value

    def section(match):
        value = value_of(match.group(1), None)
        if value in (None, False, "", []):
            return ""
        return placeholders(match.group(2), value)

    def placeholders(text, current):
        def replace(match):
            value = value_of(match.group(1), current)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([^#/^}]+)\}\}", replace, text)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return placeholders(text, None)


class Entry:
    def __init__(self, fleet, name, zone, ip):
        self.fleet, self.name, self.zone, self.ip = fleet, name, zone, ip
        self.process = None

    async def start(self):
        if not self.process:
            ports = free_ports(self.ip, 4)
            self.http = f"{self.ip}:{ports[0]}"
            self.readiness = f"{self.ip}:{ports[1]}"
            self.peers, self.metrics = ports[2], ports[3]
        with open(TEMPLATE) as file:
            text = render(file.read(), {
                "nodeName": self.name, "zone": self.zone, "ip": self.ip,
                "limits": {"cpuShare": 0.25},
                "listen": {"frontend": self.http,
                           "readinessAddr": self.readiness},
                "portRange": [self.peers, self.peers],
                "platform": {"address": self.fleet.store.address,
                             "writesPerS": 600, "partitionWritesS": 150},
                "bounds": self.fleet.bounds,
            })
        # Each entry would have its metrics on a machine of its own.
        text = text.replace(f"{self.ip}:9464", f"{self.ip}:{self.metrics}")
        path = os.path.join(self.fleet.folder, f"{self.name}.ini")
        with open(path, "w") as file:
            file.write(text)
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        # The command of the deploy file, with the settings of this entry.
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "dispatch", "--settings", path, cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.fleet.log(f"entry {self.name} started (pid {self.process.pid})")

    def is_running(self):
        return self.process and self.process.returncode is None

    def send(self, number):
        self.fleet.log(f"entry {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.is_running():
            self.process.kill()
        if self.process:
            await self.process.wait()


# --- the whole -------------------------------------------------------------------

class Fleet:
    """Checks the rules on what its stand-ins see."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(folder)
        self.log = self.record.add
        self.store = Store()
        self.minions, self.entries = {}, {}
        self.jobs = {}
        # By task: (time, minion, attempt); (time, how, attempt, is noted).
        self.starts, self.ends = {}, {}
        self.end_numbers = {}
        self.running = {}
        self.gangs = {}
        self.broken = []
        self.bounds = {
            "maxHoldMs": MAX_HOLD_MS, "early_ms": 250, "harmMs": 4000,
            "gracePeriodS": 6, "drainMs": 2000, "contactMs": 3000,
            "status_s": 120, "checkpointS": 1, "restoreMs": 600}
        self.on_start_hooks = []

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.log(f"BROKEN {rule}: {text}")

    # Jobs and what runs.

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        known = self.jobs.get(job)
        return known["steps"][int(step)] if known else {}

    def cpu_of(self, task):
        return self.step_of(task).get("cpu", 0)

    def gang_of(self, run):
        if not self.step_of(run.task).get("gang"):
            return None
        return self.gangs[(run.task.rsplit(".", 1)[0], run.attempt)]

    def on_start(self, minion, run):
        self.log(f"{minion.name} starts {run.task} attempt {run.attempt}")
        others = self.running.setdefault(run.task, {})
        self.starts.setdefault(run.task, []).append(
            (self.record.now(), minion.name, run.attempt))
        for hook in self.on_start_hooks:
            hook(minion, run, dict(others))
        others[minion.name] = run.attempt
        step = self.step_of(run.task)
        if step.get("gang"):
            key = (run.task.rsplit(".", 1)[0], run.attempt)
            gang = self.gangs.setdefault(key, Gang(step["count"]))
            gang.members.add(run.task)
            if len(gang.members) == gang.width:
                gang.complete_at = time.monotonic()

    def on_end(self, minion, run, how, number):
        self.log(f"{minion.name} ends {run.task} attempt {run.attempt}: {how}"
                 + (f" (end {number})" if number else ""))
        self.running.get(run.task, {}).pop(minion.name, None)
        end = {"at": self.record.now(), "how": how, "attempt": run.attempt,
               "minion": minion.name, "noted": None}
        self.ends.setdefault(run.task, []).append(end)
        if number:
            self.end_numbers[(minion.name, minion.born, number)] = end

    def on_noted(self, minion, end):
        self.log(f"{minion.name} end {end[0]} of {end[1]} attempt {end[2]} "
                 f"({end[3]}) is taken note of")
        self.end_numbers[(minion.name, minion.born, end[0])]["noted"] = (
            self.record.now())

    # Setting up.

    async def configure(self, version, routes, services):
        await self.store.write("op", "config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxBodyBytes": 262144}})
        self.log(f"configuration {version} is acknowledged")

    async def add_minion(self, name, zone, **options):
        minion = Minion(self, name, zone, **options)
        self.minions[name] = minion
        await minion.start()
        return minion

    async def add_entry(self, name, zone):
        entry = Entry(self, name, zone, f"127.0.{50 + len(self.entries)}.1")
        self.entries[name] = entry
        await entry.start()
        return entry

    async def wait_ready(self, cells, timeout_s=20):
        """Waits until so many cells have holders and all entries are ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            await asyncio.sleep(0.2)
            ready = 0
            for entry in self.entries.values():
                status, _ = await call(entry.readiness, "GET", "/readiness",
                                       timeout_s=1)
                ready += status == 200
            held = 0
            for key in self.store.rows:
                if key[0] == "control" and key[2].startswith("cell/"):
                    held += 1
            if ready == len(self.entries) and held >= cells:
                await asyncio.sleep(1.5)
                return
        raise CaseError("the entries did not become ready")

    # Clients.

    async def submit(self, entry, prefix, job, spec, steps, tries=5, host=None):
        """Returns whether the job was accepted."""
        self.jobs[job] = {"spec": spec, "steps": steps}
        for _ in range(tries):
            status, body = await call(
                entry.http, "POST", prefix + job, host=host,
                body={"spec": spec, "steps": steps})
            self.log(f"POST {job} at {entry.name}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, entry, prefix, job, host=None):
        status, body = await call(entry.http, "GET", prefix + job, host=host)
        state = body.get("state") if status == 200 else status
        self.log(f"GET {job} at {entry.name}: {state}")
        return state

    async def pending(self, entry, prefix, host=None):
        status, body = await call(entry.http, "GET", prefix, host=host)
        count = body.get("pending") if status == 200 else None
        self.log(f"GET {prefix} at {entry.name}: {status} pending {count}")
        return count

    async def cancel(self, entry, prefix, job, host=None):
        status, _ = await call(entry.http, "DELETE", prefix + job, host=host)
        self.log(f"DELETE {job} at {entry.name}: {status}")
        return status

    async def stop(self):
        for entry in self.entries.values():
            await entry.end()
        for minion in self.minions.values():
            if minion.up:
                for it in minion.tasks:
                    it.cancel()
                minion.server.abort()
        self.store.server.abort()


def run_case(folder, body, limit_s=115):
    """Runs a case and exits: 1 if a rule was broken, 0 if not, 2 if the case
    could not run."""
    async def main():
        if not os.path.exists(PROGRAM):
            print("build first, as the deploy file says")
            return 2
        fleet = Fleet(folder)
        fleet.log(f"TROUBLE={1 if TROUBLE else 0}")
        try:
            async with asyncio.timeout(limit_s):
                await fleet.store.start()
                await body(fleet)
            code = 1 if fleet.broken else 0
        except (CaseError, TimeoutError) as error:
            fleet.log(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            code = 2
        finally:
            await fleet.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(fleet.folder, keep, dirs_exist_ok=True)
            shutil.rmtree(fleet.folder, ignore_errors=True)
        for rule, text in fleet.broken[:5]:
            print(f"{rule}: {text}")
        fleet.log(f"exit {code}")
        print({0: "held", 1: "broken", 2: "could not run"}[code])
        return code
    sys.exit(asyncio.run(main()))
