"""Stand-ins for the users' platform, engines and clients, and a runner of router processes.

Everything runs in one event loop; the router's processes are started with the command of
the deploy file. Only loopback addresses are used. Only the standard library is needed.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Longest time of a case; a script may take 120 s.
MAX_CASE_S = 100


class CannotRun(Exception):
    """The case can't run here; says nothing of the router."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers (lower-case names) of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    """Reads a body by its length or its chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


def message(status, headers=(), body=b""):
    """Returns a response with a length."""
    head = f"HTTP/1.1 {status}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def json_message(status, value):
    return message(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Store:
    """The platform's store. Reads are linearizable, except those with `Serializable`, which
    return the state of `lag_s` seconds ago."""

    def __init__(self, record, lag_s=0.0):
        self.record = record
        self.lag_s = lag_s
        self.revision = 10
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.address = None

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.server = server
        self.address = server.sockets[0].getsockname()

    async def change(self, kind, name, spec=None, status=None, remove=False):
        """Writes an object and returns it."""
        self.revision += 1
        objects = self.objects.setdefault(kind, {})
        old = objects.get(name)
        stored = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": old["Metadata"]["Created"] if old else self.revision,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec if spec is not None else (old or {}).get("Spec"),
            "Status": status if status is not None else (old or {}).get("Status"),
        }
        if remove:
            objects.pop(name, None)
        else:
            objects[name] = stored
        self.events.append((time.monotonic(), self.revision, kind, stored, remove))
        async with self.changed:
            self.changed.notify_all()
        return stored

    def seen(self, lag_s):
        """Returns the events and the newest revision that a read with this lag sees."""
        until = time.monotonic() - lag_s
        events = [event for event in self.events if event[0] <= until]
        return events, (events[-1][1] if events else 10)

    def listed(self, kind, lag_s):
        events, revision = self.seen(lag_s)
        objects = {}
        for _, _, of_kind, stored, removed in events:
            if of_kind == kind:
                name = stored["Metadata"]["Name"]
                objects.pop(name, None)
                if not removed:
                    objects[name] = stored
        return objects, revision

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                writer.write(await self.answer(method, target, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/") if part]
        if path[:2] != ["api", "objects"] or len(path) < 3:
            return json_message("404 Not Found", {})
        kind, name = path[2], path[3] if len(path) > 3 else None
        lag_s = self.lag_s if query.get("Serializable") == "1" else 0.0
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)), lag_s)
        if method == "GET":
            objects, revision = self.listed(kind, lag_s)
            if name is not None:
                found = objects.get(name)
                return json_message("200 OK", found) if found else json_message("404 Not Found", {})
            items = [objects[key] for key in sorted(objects) if key > query.get("after", "")]
            return json_message(
                "200 OK", {"items": items, "More": False, "CurrentRev": revision}
            )
        value = json.loads(body) if body else {}
        metadata = value.get("Metadata", {})
        if method == "POST":
            name = metadata["Name"]
            known = self.objects.get(kind, {}).get(name)
            if known:
                return json_message("409 Conflict", known)
            return json_message("201 Created", await self.change(kind, name, value.get("Spec")))
        known = self.objects.get(kind, {}).get(name)
        if not known:
            return json_message("404 Not Found", {})
        wanted = metadata.get("Revision", query.get("Revision"))
        if wanted is not None and int(wanted) != known["Metadata"]["Revision"]:
            return json_message("409 Conflict", known)
        if method == "DELETE":
            return json_message("200 OK", await self.change(kind, name, remove=True))
        if len(path) > 4:
            changed = await self.change(kind, name, status=value.get("Status"))
        else:
            changed = await self.change(kind, name, spec=value.get("Spec"))
        return json_message("200 OK", changed)

    async def watch(self, kind, after, wait_ms, lag_s):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events, revision = self.seen(lag_s)
            news = [
                {"Object": stored, "Tombstone": removed}
                for _, at, of_kind, stored, removed in events
                if of_kind == kind and at > after
            ]
            left = until - time.monotonic()
            if news or left <= 0:
                return json_message(
                    "200 OK", {"Events": news, "CurrentRev": max(revision, after)}
                )
            async with self.changed:
                try:
                    step = min(left, 0.05) if lag_s else left
                    await asyncio.wait_for(self.changed.wait(), step)
                except asyncio.TimeoutError:
                    pass


class Engine:
    """An engine of a plain service. It registers itself in the store, runs `slots` requests
    at a time and rejects more."""

    def __init__(self, record, store, ident, service, zone, slots=6, work_s=0.03):
        self.record, self.store, self.ident = record, store, ident
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.running = 0
        self.runs = []
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        await self.beat()
        self.beats = asyncio.create_task(self.keep_beating())

    def entry(self):
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self.sequence,
            "born": self.born,
        }
        return entry

    async def beat(self):
        await self.store.change("servers", self.ident, self.entry())

    async def keep_beating(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    def load(self):
        return ("Mangowalk-Server-Load", f"{self.running},0,{self.slots}")

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                method, target, _ = first.split(" ")
                answer = await self.answer(method, target, headers)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers):
        """Runs a request and returns the response; `None` if the connection ends without."""
        expected = headers.get("mangowalk-expect-instance")
        if expected is not None and expected != self.ident:
            return message("421 Misdirected Request", [("Mangowalk-Instance-Id", self.ident)])
        if target.startswith("/api/"):
            return json_message("404 Not Found", {})
        if target == "/health":
            return message("200 OK", [("Mangowalk-Instance-Id", self.ident), self.load()])
        ident = headers.get("mangowalk-request-id")
        if ident is None:
            return message("400 Bad Request", [("Mangowalk-Not-Executed", "1")])
        if self.running >= self.slots:
            self.record.line(f"engine {self.ident} rejects {ident}: full")
            return message(
                "503 Service Unavailable",
                [("Mangowalk-Request-Id", ident), ("Mangowalk-Not-Executed", "1"), self.load()],
            )
        self.running += 1
        self.runs.append((ident, time.monotonic(), headers))
        self.record.line(
            f"engine {self.ident} runs {ident} {method} {target}"
            f" tenant={headers.get('mangowalk-tenant')}"
        )
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        answer = message(
            "200 OK",
            [
                ("Mangowalk-Request-Id", ident),
                ("Mangowalk-Response-Stamp", f"stamp.{self.ident}.{ident}"),
                ("Mangowalk-Instance-Id", self.ident),
                self.load(),
            ],
            f"result of {ident}".encode(),
        )
        return answer


class Gate:
    """A proxy before the store for one machine. While it is shut it forwards nothing, in
    either direction, and resets nothing: as a network partition does."""

    def __init__(self, store):
        self.store = store
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.tasks = []

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        await self.is_open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.store.address)
        except OSError:
            writer.close()
            return
        # Held here, as the event loop itself doesn't keep tasks that wait.
        self.tasks.append(asyncio.current_task())
        await asyncio.gather(self.copy(reader, far_writer), self.copy(far_reader, writer))

    async def copy(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.is_open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Router:
    """One machine with one router process."""

    def __init__(self, fleet, name, zone, store_address):
        self.fleet, self.name, self.zone, self.store_address = fleet, name, zone, store_address
        self.ip = fleet.next_ip()
        self.process = None
        self.first = True

    def settings(self):
        fleet = self.fleet
        ip, base = self.ip, fleet.base
        return "\n".join(
            [
                f"NodeName={self.name}",
                "Role=router",
                "MachineClass=edge",
                "Serves=edge,control_plane,directory",
                f"Ip={ip}",
                f"Zone={self.zone}",
                "Region=south-texas",
                "Zones.alamo-a=south-texas",
                "Zones.alamo-b=south-texas",
                "Zones.alamo-c=south-texas",
                f"Listen.Front={ip}:{base}",
                f"Listen.Ready={ip}:{base + 1}",
                f"Listen.Directory={ip}:{base + 2}",
                f"Listen.Control={ip}:{base + 3}",
                f"InternalPorts={base + 4},{base + 19}",
                "Seeds=" + ",".join(f"{r.ip}:{base + 3}" for r in fleet.routers[:3]),
                f"Bootstrap={'true' if self.first else 'false'}",
                "LossCounted=false",
                "Limits.CpuShare=0.25",
                "Limits.Cores=1",
                "Limits.MemoryMb=110",
                "Limits.MaxFds=4100",
                "Limits.LinkMbps=1000.0",
                "Limits.DiskMb=0",
                "Discovery=platform",
                "Entry=directory",
                "HeartbeatMs=1200",
                "Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,"
                "quota,platform",
                "FaultTolerance.Machines=2",
                "FaultTolerance.Zones=0",
                "FaultTolerance.Regions=0",
                "Bounds.SeedLagS=3",
                "Bounds.AddrReuseS=2",
                "Bounds.StableWindowMs=3000",
                "Bounds.AckMs=4000",
                "Bounds.CatchUpS=4",
                "Bounds.DrainMs=2000",
                "Bounds.GraceS=8",
                "Bounds.LossSlackMs=200",
                "Bounds.ConfigApplyMs=2000",
                "Bounds.BackMs=250",
                "Bounds.MaxSkewMs=5000",
                "Bounds.StrictRevoke=false",
                "Bounds.RevokeMs=5000",
                "Bounds.RetryBudget=0.2",
                "Bounds.BudgetWindowS=10",
                "Bounds.RetrySlack=54",
                "Bounds.QuotaWindowS=8",
                "Bounds.QuotaOverage=0.1",
                "Bounds.QuotaSlack=72000",
                "Bounds.RecoveryS=12",
                "Bounds.MaxDeliveryMs=120",
                "Bounds.ReuseWindowS=10",
                "Bounds.RequireFence=false",
                "Bounds.LeaseMs=3000",
                "Bounds.ThawMs=300",
                "Bounds.VersionMs=8000",
                "Bounds.VersionAllMs=11000",
                "Bounds.ttl_max_s=5",
                "Provider.Address=%s:%d" % tuple(self.store_address),
                "Provider.form=objects",
                "Provider.WritesPerS=400",
                "Provider.ReadsPerS=2000",
                "Provider.HistoryS=20",
                "Provider.ValueBytes=1048576",
                "Provider.TtlMinMs=1000",
                "",
            ]
        )

    @property
    def front(self):
        return (self.ip, self.fleet.base)

    def start(self):
        path = os.path.join(self.fleet.folder, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        self.first = False
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/release/mangowalkd"), "machine"],
            cwd=ROOT,
            env={**keep, "MANGOWALK_BOOT": path},
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        self.fleet.record.line(f"machine {self.name} started")

    def signal(self, number):
        self.fleet.record.line(f"machine {self.name} gets signal {int(number)}")
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await call((self.ip, self.fleet.base + 1), "GET", "/api/ready", [])
            return status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


class Fleet:
    """The machines of a small deployment, and the folder of their settings and logs."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="mangowalk-review-")
        self.net = (random.randrange(64, 250), random.randrange(1, 250))
        self.hosts = 0
        self.routers = []
        self.base = None

    def next_ip(self):
        self.hosts += 1
        return f"127.{self.net[0]}.{self.net[1]}.{self.hosts}"

    def choose_ports(self):
        for _ in range(200):
            base = random.randrange(12000, 30000)
            if all(is_free(router.ip, base + n) for router in self.routers for n in range(20)):
                self.base = base
                return
        raise CannotRun("no free ports")

    async def start(self):
        self.choose_ports()
        for router in self.routers:
            router.start()
        until = time.monotonic() + 20
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > until or router.process.poll() is not None:
                    raise CannotRun(f"machine {router.name} isn't ready")
                await asyncio.sleep(0.05)
        self.record.line("all machines are ready")

    def logs(self):
        text = ""
        for router in self.routers:
            with open(os.path.join(self.folder, f"{router.name}.log"), errors="replace") as file:
                text += file.read()
        return text

    def end(self):
        for router in self.routers:
            router.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


async def exchange(reader, writer, method, target, headers, body=b""):
    head = f"{method} {target} HTTP/1.1\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    writer.write(head.encode() + b"\r\n" + body)
    await writer.drain()
    first, answered = await read_head(reader)
    status = int(first.split(" ")[1])
    return status, answered, await read_body(reader, answered)


async def call(address, method, target, headers, body=b"", timeout_s=5.0):
    """Sends one request on a new connection."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
    try:
        headers = [("Host", "%s:%d" % tuple(address)[:2]), *headers] if not any(
            name == "Host" for name, _ in headers
        ) else headers
        return await asyncio.wait_for(
            exchange(reader, writer, method, target, headers, body), timeout_s
        )
    finally:
        writer.close()


def request_id():
    return "%016x" % random.getrandbits(64)


HOST = "jepu9.example"


def configuration(version, routes, keys, services, tenants=None):
    """Returns a configuration; `routes` are triples of prefix, kind and service."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": f"r-{number}",
                "Host": HOST,
                "PathPrefix": prefix,
                "Kind": kind,
                "TimeoutMs": 3000,
                "TargetLatencyMs": 100,
                "Priority": 1,
                "Service": service,
                "MaxAttempts": 1 if kind == "non_idempotent" else 2,
                "Anonymous": False,
            }
            for number, (prefix, kind, service) in enumerate(routes)
        ],
        "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": False}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants
        or [
            {
                "Name": "sese880",
                "ApiKeys": keys,
                "Priority": 1,
                "Unit": "tokens",
                "PlainTokens": 200,
                "Isolated": False,
                "RatePerS": 166196,
                "Burst": 166196,
            }
        ],
    }


async def play(case, record, fleet, trouble):
    """Plays a case and returns the exit code; the router's processes have ended then."""
    code = COULD_NOT_RUN
    try:
        if not os.access(os.path.join(ROOT, "target/release/mangowalkd"), os.X_OK):
            raise CannotRun("the router's program isn't built")
        broken = await asyncio.wait_for(case(record, fleet, trouble), MAX_CASE_S)
        code = BROKEN if broken else HELD
    except CannotRun as reason:
        record.line(f"could not run: {reason}")
    except asyncio.TimeoutError:
        record.line("could not run: time ran out")
    except Exception as error:  # Nothing else may look like a broken rule.
        record.line(f"could not run: {error!r}")
    finally:
        fleet.end()
    return code


def run(case, folder):
    """Runs a case and exits as `run.sh` has to."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    fleet = Fleet(record)

    # The processes are ended on the way out, as in `play`.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))

    async def play_and_exit():
        code = await play(case, record, fleet, trouble)
        record.line(["the rule held", "the rule was broken", "the case could not run"][code])
        # Ends the stand-ins' open connections as they are.
        os._exit(code)

    asyncio.run(play_and_exit())
