"""Stand-ins for the platform's store, its machine list, workers and clients, for the scripts of this review.

They follow PROTOCOL.md: one HTTP/1.1 server each on a loopback address, on the real clock, in one process.
The programs under test run as processes of their own, with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

HEARTBEAT_S = 1.5  # HeartbeatMs
TTL_MIN_MS = 1000  # TtlMinMs
PARTS = 24
HOLD_MAX_MS = 6000  # HoldMaxMs
STOP_S = 0.05  # within StopTimeoutMs
GANG_TIMEOUT_S = 3.0  # GangTimeoutMs


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(it) for it in words)
        print(line, file=self.file, flush=True)


class NoAnswer(Exception):
    """Raised by a handler to leave the request unanswered; the connection returns nothing further."""


class HttpServer:
    """handler(method, path, query, headers, body) -> (status, body bytes); query is a dict."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()
        self.silent = set()  # connections of an earlier life: what arrives on them is reset
        self.is_cut = False  # peers get no answer; nothing that they send arrives

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self):
        """As when the process ends: no listener, open connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for it in list(self.writers):
            it.transport.abort()

    async def fall_silent(self):
        """As when the process ends without a word: open connections say nothing, new ones find no listener."""
        if self.server:
            self.server.close()
            self.server = None
        self.silent |= self.writers

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if writer in self.silent:
                    return
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                try:
                    if self.is_cut:
                        raise NoAnswer
                    status, answer = await self.handler(
                        method, path, dict(urllib.parse.parse_qsl(query)), headers, body)
                    if self.is_cut or writer in self.silent:
                        raise NoAnswer
                except NoAnswer:
                    await asyncio.sleep(3600)  # nothing further on this connection; the peer closes it
                    return
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.transport.abort()


def encoded(value):
    return json.dumps(value).encode()


class Partition:
    def __init__(self):
        self.records = []  # (key, value or None, raw)
        self.producers = {}
        self.changed = asyncio.Event()

    def append(self, raws, keyed):
        offset = len(self.records)
        for raw in raws:
            key = value = None
            if keyed:
                length = raw[0]
                key = raw[1:1 + length].decode()
                value = raw[1 + length:] or None
            self.records.append((key, value, raw))
        self.changed.set()
        self.changed = asyncio.Event()
        return {"Offset": offset, "End": len(self.records)}

    def newest(self):
        found = {}
        for offset, (key, value, _) in enumerate(self.records):
            if value is None:
                found.pop(key, None)
            else:
                found[key] = (value, offset)
        return found


class Group:
    """Members and the partitions of one topic."""

    def __init__(self, record):
        self.record = record
        self.members = {}  # name -> (ttl_s, last join)
        self.generation = 0
        self.target = {}
        self.held = {}
        self.target_since = {}

    def deal(self):
        self.generation += 1
        names = sorted(self.members)
        if not names:
            self.target = {}
            return
        counts = {it: 0 for it in names}
        free = []
        most = -(-PARTS // len(names))
        for part in range(PARTS):
            owner = self.target.get(part)
            if owner in counts and counts[owner] < most:
                counts[owner] += 1
            else:
                free.append(part)
        for part in free:
            owner = min(names, key=lambda it: (counts[it], it))
            counts[owner] += 1
            self.target[part] = owner
            self.target_since[part] = self.generation
        self.record("store: generation", self.generation, "of", len(names), "members")

    def reassign(self):
        """All partitions are reassigned at once without any request: each to the next member."""
        names = sorted(self.members)
        self.generation += 1
        for part, name in self.target.items():
            self.target[part] = names[(names.index(name) + 1) % len(names)]
            self.target_since[part] = self.generation
        self.record("store: all partitions are reassigned, generation", self.generation)

    def expire(self):
        now = time.monotonic()
        gone = [it for it, (ttl, at) in self.members.items() if now - at > ttl]
        for it in gone:
            self.remove(it)
        if gone:
            self.deal()

    def remove(self, name):
        self.members.pop(name, None)
        for part in [p for p, m in self.held.items() if m == name]:
            del self.held[part]

    def join(self, name, ttl_ms, generation):
        self.expire()
        is_new = name not in self.members
        self.members[name] = (max(ttl_ms, TTL_MIN_MS) / 1000, time.monotonic())
        if is_new:
            self.deal()
        mine = []
        for part in range(PARTS):
            if self.held.get(part) == name and self.target.get(part) != name:
                if generation >= self.target_since.get(part, 0):
                    del self.held[part]
            if self.target.get(part) == name and self.held.get(part, name) == name:
                self.held[part] = name
                mine.append(part)
        return mine


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.groups = {}
        self.server = HttpServer(self.handle)
        self.loses = lambda path, body: False  # whether a write that is done gets no answer
        self.writes = 0
        self.lost = 0

    def part(self, topic, number):
        return self.topics.setdefault(topic, {}).setdefault(int(number), Partition())

    def put(self, topic, key, value):
        """A write by the operator or a worker."""
        raw = bytes([len(key)]) + key.encode() + (b"" if value is None else encoded(value))
        self.part(topic, 0).append([raw], True)

    async def handle(self, method, path, query, headers, body):
        if method == "POST":
            status, answer = self.write(path, query, body)
            self.writes += 1
            if self.loses(path, body):
                self.lost += 1
                raise NoAnswer
            return status, encoded(answer)
        if path == "/log-read":
            return await self.read(query)
        if path == "/log-newest":
            return self.newest(query)
        if path == "/log-owners":
            return self.owners(query)
        return 404, b""

    def write(self, path, query, body):
        if path == "/log-append":
            return self.append(query, body)
        call = json.loads(body)
        group = self.groups.setdefault(call["group"], Group(self.record))
        if path == "/log-join":
            topic = call["Topics"][0]
            group.topic = topic
            parts = group.join(call["Member"], call["TtlMs"], call.get("Generation", 0))
            return 200, {"Generation": group.generation, "parts": [[topic, it, 0] for it in parts]}
        if path == "/log-leave":
            group.remove(call["Member"])
            group.deal()
            return 200, {}
        return 404, {}

    def append(self, query, body):
        topic = query["Topic"]
        part = self.part(topic, query.get("part", 0))
        raws = []
        rest = body
        while rest:
            (length,) = struct.unpack(">I", rest[:4])
            raws.append(rest[4:4 + length])
            rest = rest[4 + length:]
        if "At" in query and int(query["At"]) != len(part.records):
            return 412, {"End": len(part.records)}
        if "Producer" not in query:
            return 200, part.append(raws, topic.startswith("keyed."))
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        known = part.producers.get(query["Producer"])
        if known and epoch < known["epoch"]:
            return 409, {"Reason": "fenced"}
        if not known or epoch > known["epoch"]:
            known = {"epoch": epoch, "last": sequence - 1, "answers": {}}
            part.producers[query["Producer"]] = known
        if not raws:  # sets the epoch
            if not known["answers"]:
                known["last"] = sequence
            return 200, {"Offset": len(part.records), "End": len(part.records)}
        if sequence in known["answers"]:  # a repeat of one of the last five
            self.record(f"store: repeat of sequence {sequence} of epoch {epoch} on {topic}/{query['part']}:",
                        len(raws), "records get their first answer again")
            return 200, known["answers"][sequence]
        if sequence != known["last"] + 1:
            return 409, {"Reason": "seq", "Sequence": known["last"] + 1}
        answer = part.append(raws, topic.startswith("keyed."))
        known["last"] = sequence
        known["answers"][sequence] = answer
        known["answers"].pop(sequence - 5, None)
        return 200, answer

    async def read(self, query):
        part = self.part(query["Topic"], query.get("part", 0))
        first = int(query["From"])
        if first >= len(part.records):
            try:
                await asyncio.wait_for(part.changed.wait(), int(query.get("WaitMs", 0)) / 1000)
            except asyncio.TimeoutError:
                pass
        out = struct.pack(">QQ", len(part.records), 0)
        for _, _, raw in part.records[first:first + 1000]:
            out += struct.pack(">I", len(raw)) + raw
        return 200, out

    def newest(self, query):
        part = self.part(query["Topic"], query.get("part", 0))
        after = query.get("DependsOn", "")
        items = [{"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
                 for key, (value, offset) in sorted(part.newest().items()) if not after or key > after]
        return 200, encoded({"items": items[:500], "More": len(items) > 500, "End": len(part.records)})

    def owners(self, query):
        group = self.groups.get(query["group"])
        if not group:
            return 200, encoded({"owners": []})
        group.expire()
        return 200, encoded({"owners": [[group.topic, part, member, 0]
                                        for part, member in sorted(group.held.items())]})


class Worker:
    """A worker, by `invoke`."""

    def __init__(self, world, identity, service, rack, cpu=16000, mem=32768):
        self.world = world
        self.record = world.record
        self.id = identity
        self.entry = {"Service": service, "Zone": world.zones[0], "Version": "v1", "Slots": 8,
                      "State": "ready", "ColdRemainingMs": 0,
                      "Capacity": {"Cpu": cpu, "MemMb": mem, "Gpu": 0}, "Labels": ["a", rack]}
        self.server = HttpServer(self.handle)
        self.tasks = []
        self.is_cut = False
        self.is_grey = False  # fails all that it starts, at once

    async def start(self, port=0):
        self.born = int(time.time() * 1000)
        self.birth = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.running = {}  # task -> [run, job's stage, end time]
        self.finished = []
        self.top = {}  # task -> highest run stopped or ended
        self.number = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        await self.server.start(port)
        self.entry["Address"] = f"127.0.0.1:{self.server.port}"
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.expire_lease())]
        self.record(f"worker {self.id}: born {self.born}")

    async def crash(self, is_silent=False):
        for it in self.tasks:
            it.cancel()
        if is_silent:
            await self.server.fall_silent()
        else:
            await self.server.stop()
        for task in list(self.running):
            run = self.running.pop(task)[0]
            self.world.ended(self, task, run, "gone")
        self.record(f"worker {self.id}: crashed")

    async def restart(self):
        """Starts again at its address and under its Id."""
        await self.start(self.server.port)

    def cut(self, is_cut):
        """Cuts the worker off from the store and from all machines; it runs on."""
        self.is_cut = is_cut
        self.server.is_cut = is_cut
        for it in list(self.server.writers):
            it.transport.abort()
        self.record(f"worker {self.id}:", "cut off" if is_cut else "reached again")

    def clock(self):
        return int((time.monotonic() - self.birth) * 1000) + 1000

    async def beat(self):
        while True:
            if not self.is_cut:
                self.sequence += 1
                self.beat_at = self.record.now()
                self.world.worker_seen(self, {**self.entry, "ClockMs": self.clock(), "Sequence": self.sequence,
                                              "born": self.born})
            await asyncio.sleep(HEARTBEAT_S if not self.is_cut else 0.1)

    async def expire_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.deadline:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)[0]
        self.top[task] = max(run, self.top.get(task, 0))
        self.number += 1
        self.finished.append([self.number, task, run, how, ""])
        self.record(f"worker {self.id}: {task} run {run} ends {how}")
        self.world.ended(self, task, run, how)
        self.changed.set()
        self.changed = asyncio.Event()
        if how not in ("done", "broken") and self.world.stage_of(task).get("Gang"):
            self.world.break_gang(task.rsplit(".", 1)[0], run)

    def extend(self, call):
        if "DeadlineMs" in call:
            self.deadline = max(self.deadline, min(call["DeadlineMs"], self.clock() + HOLD_MAX_MS))

    async def finish(self, task, run, seconds):
        await asyncio.sleep(seconds)
        if task in self.running and self.running[task][0] == run:
            self.end(task, "done")

    def room(self):
        left = dict(self.entry["Capacity"])
        for _, stage in self.running.values():
            for it in left:
                left[it] -= stage.get(it, 0)
        return left

    async def handle(self, method, path, query, headers, body):
        call = json.loads(body)
        instance = headers.get("expected-instance")
        answer = {"ClockMs": self.clock(), "born": self.born}
        if instance and instance != self.id:
            return 421, encoded(answer)
        if call.get("FencingToken", 0) < self.token:
            if path == "/run-start" or not self.world.fenced.get(self.id):
                self.record(f"worker {self.id}: {path} with token {call.get('FencingToken', 0)} fenced,"
                            f" {self.token} was seen")
            self.world.fenced[self.id] = self.world.fenced.get(self.id, 0) + 1
            return 409, encoded({**answer, "Reason": "fence"})
        self.token = call.get("FencingToken", 0)
        if path == "/run-start":
            return self.run_start(call, answer)
        if path == "/run-stop":
            task, run = call["Task"], call["Attempt"]
            self.top[task] = max(run, self.top.get(task, 0))
            if task in self.running and self.running[task][0] <= run:
                await asyncio.sleep(STOP_S)
                if task in self.running and self.running[task][0] <= run:
                    self.end(task, "stopped")
            return 200, encoded({**answer, "ClockMs": self.clock()})
        if path == "/hold":
            self.extend(call)
            self.finished = [it for it in self.finished if it[0] > call.get("AckCursor", 0)]
            if not self.finished and call.get("WaitMs", 0) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), call["WaitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, encoded({**answer, "ClockMs": self.clock(),
                                 "Running": [[task, run, "", 100] for task, (run, _) in self.running.items()],
                                 "Finished": self.finished[:500]})
        if path == "/pace":
            return 200, encoded(answer)
        return 404, b""

    def run_start(self, call, answer):
        task, run = call["Task"], call["Attempt"]
        if task in self.running and self.running[task][0] == run:
            return 200, encoded(answer)
        if call["DeadlineMs"] < self.clock():
            return 409, encoded({**answer, "Reason": "late"})
        self.extend(call)
        if run <= self.top.get(task, 0) or task in self.running:
            return 409, encoded({**answer, "Reason": "old"})
        stage = self.world.stage_of(task)
        left = self.room()
        if any(stage.get(it, 0) > left[it] for it in left):
            return 409, encoded({**answer, "Reason": "room"})
        if self.world.advice and not self.world.is_allowed(task, self, call.get("Ticket")):
            return 409, encoded({**answer, "Reason": "ticket"})
        self.running[task] = (run, stage)
        self.record(f"worker {self.id}: {task} run {run} starts")
        self.world.started(self, task, run)
        if self.is_grey:
            self.end(task, "failed")
        elif stage.get("Gang"):
            asyncio.create_task(self.wait_for_gang(task, run, stage))
        elif not stage.get("LongRunning"):
            asyncio.create_task(self.finish(task, run, stage["EstimateMs"] / 1000))
        return 200, encoded(answer)

    async def wait_for_gang(self, task, run, stage):
        """The tasks work from the moment when all of the run are there, and end `done` together."""
        step = task.rsplit(".", 1)[0]
        for _ in range(int(GANG_TIMEOUT_S / 0.02)):
            if task not in self.running or self.running[task][0] != run:
                return
            if self.world.present(step, run) == stage["Count"]:
                await self.finish(task, run, stage["EstimateMs"] / 1000)
                return
            await asyncio.sleep(0.02)
        self.end(task, "alone")


def free_port():
    with socket.socket() as it:
        it.bind(("127.0.0.1", 0))
        return it.getsockname()[1]


class Daemon:
    """A process of the system, with the command of the deploy file."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.ports = {it: free_port() for it in ("callers", "readiness", "peers", "operators")}
        self.store_port = world.store.server.port
        self.process = None
        self.settings = Path(world.folder) / f"{name}.ini"

    def write_settings(self):
        """platform/settings.ini.template with the values of this deployment."""
        values = {"NodeName": self.name, "Zone": self.zone, "Limits.CpuShare": 0.25, "Limits.CpuCores": 1,
                  "Limits.LinkMbps": 1000.0, "Ip": "127.0.0.1", "InternalPortRange.0": self.ports["peers"],
                  "ListenAddrs.FrontendAddr": f"127.0.0.1:{self.ports['callers']}",
                  "ListenAddrs.ReadinessAddr": f"127.0.0.1:{self.ports['readiness']}",
                  "platform.Address": f"127.0.0.1:{self.store_port}", "platform.parts": PARTS,
                  "platform.TtlMinMs": TTL_MIN_MS, "Advice": f"127.0.0.1:{self.world.advisor.port}",
                  "CloudApi.Address": f"127.0.0.1:{self.world.cloud.port}", "Bounds.LeaseMs": 3000,
                  "Bounds.MigrateS": 1.5, "Bounds.MaintenanceS": 2, "Bounds.HoldMaxMs": HOLD_MAX_MS,
                  "Bounds.GraceS": 6}
        text = (ROOT / "platform" / "settings.ini.template").read_text()
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda it: str(values[it.group(1)]), text)
        # All machines of this deployment share one loopback address, so each has a port of its own here.
        text = text.replace("127.0.0.1:9464", f"127.0.0.1:{self.ports['operators']}")
        self.settings.write_text(text)

    async def start(self):
        self.write_settings()
        log = open(Path(self.world.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / self.world.command[0]), *self.world.command[1:], cwd=ROOT, stdout=log, stderr=log,
            env={**{it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ},
                 "RHUBARBCRANK_SETTINGS": str(self.settings)})
        log.close()
        self.world.record(f"machine {self.name}: started, pid {self.process.pid}")

    async def stop(self, how=signal.SIGTERM, grace=6.0):
        """SIGTERM, then SIGKILL after GraceS."""
        if not self.process or self.process.returncode is not None:
            return
        self.world.record(f"machine {self.name}: {how.name}")
        self.process.send_signal(how)
        try:
            await asyncio.wait_for(self.process.wait(), grace)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        status, _ = await request(self.ports["readiness"], "GET", "/readyz", "ready", None, 1)
        return status == 200


async def request(port, method, path, host, body, limit_s):
    """(status, body); the status is 0 without an answer."""
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else encoded(body)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                         f"Deadline-Ms: {int(limit_s * 1000)}\r\nContent-Length: {len(data)}\r\n"
                         "Connection: close\r\n\r\n".encode() + data)
            await writer.drain()
            answer = await reader.read()
            head, _, rest = answer.partition(b"\r\n\r\n")
            return int(head.split(b" ", 2)[1]), rest
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), limit_s)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""


class World:
    """A small deployment: a store, a machine list, workers of one service, and machines of the system."""

    host = "cubo38.example"
    prefix = "/rapu30/"
    zones = ["zone-salt", "zone-rajar", "zone-behala"]
    service = "pankha"
    services = ["pankha"]  # the workers are shared out evenly

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        self.command = re.search(r'^run = "([^"]+)"', deploy, re.M).group(1).split(" ")
        self.store = Store(self.record)
        self.cloud = HttpServer(self.machines)
        self.workers = []
        self.daemons = []
        self.last_seen = {}
        self.specs = {}
        self.starts = []
        self.runs = {}
        self.fenced = {}
        self.tasks = []
        self.advice = None  # {"DecideMs", "PeriodMs", "ValidMs"} of the queue, if it has a policy
        self.advisor = HttpServer(self.advise)
        self.advisor_turn = asyncio.Lock()
        self.tickets = {}

    async def start(self, daemons=3, workers=3):
        await self.store.server.start()
        await self.cloud.start()
        await self.advisor.start()
        self.configure(3, self.service, **({"Advice": self.advice} if self.advice else {}))
        for n in range(workers):
            service = self.services[n % len(self.services)]
            worker = Worker(self, f"i-{n + 1:05}", service, f"r1-{n % 8 + 1}")
            self.workers.append(worker)
            await worker.start()
            await asyncio.sleep(HEARTBEAT_S / workers)
        self.tasks.append(asyncio.create_task(self.expire_entries()))
        for n in range(daemons):
            daemon = Daemon(self, f"frontend-{self.zones[n % 3]}-1", self.zones[n % 3])
            self.daemons.append(daemon)
            await daemon.start()
        if not await self.wait_for(self.all_ready, 20):
            raise RuntimeError("the system did not become ready")
        self.record("all machines are ready")

    def configure(self, version, service, name="r-1", **fields):
        """A version of the configuration: one route, to the service."""
        route = {"Name": name, "Host": self.host, "PathPrefix": self.prefix, "Kind": "non_idempotent",
                 "TimeoutMs": 3000, "TargetLatencyMs": 600, "Priority": 0, "Service": service,
                 "MaxAttempts": 4, "SlackFactor": 1.6, **fields}
        services = [{"Name": it, "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1", "Tls": False,
                     "EnforcesCapacity": True, "Standby": False} for it in self.services]
        self.store.put("keyed.op", "config",
                       {"Version": version, "Routes": [route], "Services": services, "Limits": {}})
        self.record(f"operator: version {version}: one route, {name}, to {service}", fields or "")

    async def all_ready(self):
        for it in self.daemons:
            if not await it.is_ready():
                return False
        return True

    async def wait_for(self, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for it in self.tasks:
            it.cancel()
        for it in self.daemons:
            if it.process and it.process.returncode is None:
                it.process.kill()
                await it.process.wait()
        for it in self.workers:
            for task in it.tasks:
                task.cancel()
            await it.server.stop()
        await self.store.server.stop()
        await self.cloud.stop()
        await self.advisor.stop()
        if os.environ.get("KEEP"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The workers' entries in the store.

    def worker_seen(self, worker, entry):
        self.last_seen[worker.id] = time.monotonic()
        self.store.put("keyed.servers", worker.id, entry)

    async def expire_entries(self):
        while True:
            await asyncio.sleep(0.1)
            for it, at in list(self.last_seen.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    del self.last_seen[it]
                    self.store.put("keyed.servers", it, None)
                    self.record(f"store: entry of worker {it} is removed")

    async def machines(self, method, path, query, headers, body):
        if path != "/machines":
            return 409, encoded({"Reason": "busy"})
        rows = [{"Machine": "m-" + it.id, "Pool": it.entry["Service"], "State": "up", "Zone": it.entry["Zone"],
                 "Labels": it.entry["Labels"], "Capacity": it.entry["Capacity"], "Id": it.id}
                for it in self.workers]
        return 200, encoded({"Machines": rows, "NextToken": None})

    # The service at `Advice`: its policy allows every worker to run any step.

    async def advise(self, method, path, query, headers, body):
        call = json.loads(body)
        async with self.advisor_turn:
            await asyncio.sleep((self.advice["DecideMs"] + self.advice["PeriodMs"] * len(call["Workers"])) / 1000)
        self.record(f"advice: {len(call['Workers'])} workers for {call['Step']}: all allowed")
        valid_until = time.monotonic() + self.advice["ValidMs"] / 1000
        rows = []
        for it in call["Workers"]:
            ticket = f"{call['Step']}-{it}-{len(self.tickets)}"
            self.tickets[ticket] = (call["Step"], it, valid_until)
            rows.append([it, ticket])
        return 200, encoded({"Allowed": rows, "ValidMs": self.advice["ValidMs"]})

    def is_allowed(self, task, worker, ticket):
        step, identity, valid_until = self.tickets.get(ticket, (None, None, 0))
        return task.rsplit(".", 1)[0] == step and worker.id == identity and time.monotonic() < valid_until

    def present(self, step, run):
        """How many tasks of the step have this run at a worker."""
        return sum(1 for it in self.workers for task, (r, _) in it.running.items()
                   if r == run and task.rsplit(".", 1)[0] == step)

    def break_gang(self, step, run):
        """Another member has ended: the others that are at work end, too."""
        for it in self.workers:
            for task, (r, _) in list(it.running.items()):
                if r == run and task.rsplit(".", 1)[0] == step:
                    it.end(task, "broken")

    # What ran.

    def stage_of(self, task):
        job, _, stage, _ = task.split(".")
        return self.specs[job]["Phases"][int(stage)]

    def started(self, worker, task, run):
        self.starts.append((self.record.now(), task, run, worker.id))

    def ended(self, worker, task, run, how):
        self.runs.setdefault(task, []).append((self.record.now(), run, how, worker.id))

    # Clients.

    async def call(self, daemon, method, job, body=None, limit_s=3.0):
        before = self.record.now()
        status, answer = await request(daemon.ports["callers"], method, self.prefix + job, self.host, body, limit_s)
        self.record(f"client: {method} {job or 'queue'} at {daemon.name}: {status or 'no answer'}"
                    f" {answer.decode('latin-1')} after {int((self.record.now() - before) * 1000)} ms")
        return status, answer

    async def submit(self, job, phases, retries=4):
        """As a client: the same ID at another machine after no answer, a 502 or a 504, later after a refusal."""
        self.specs[job] = {"Spec": "proof", "Phases": phases}
        for n in range(retries + 1):
            status, _ = await self.call(self.daemons[n % len(self.daemons)], "POST", job, self.specs[job])
            if 200 <= status < 300:
                return True
            await asyncio.sleep(1.0 if status in (429, 503) else 0.2)
        return False

    async def state(self, daemon, job):
        status, answer = await self.call(daemon, "GET", job)
        return status, json.loads(answer).get("State") if status == 200 and answer else None

    def owner_of(self, part=0):
        """The machine that the store lists as the owner of a partition."""
        group = self.store.groups["shards"]
        member = group.held.get(part, "")
        for it in self.daemons:
            if member.startswith(f"127.0.0.1:{it.ports['peers']}/"):
                return it
        return None


def main(scenario, record_path):
    """Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(Path(record_path))

    async def run():
        try:
            return await asyncio.wait_for(scenario(world, has_trouble), 110)
        finally:
            await world.stop()
    try:
        is_broken = asyncio.run(run())
    except Exception as error:  # the case could not run
        world.record("could not run:", repr(error))
        print("could not run:", repr(error), file=sys.stderr)
        sys.exit(2)
    world.record("rule", "BROKEN" if is_broken else "held")
    print("rule", "broken" if is_broken else "held")
    sys.exit(1 if is_broken else 0)
