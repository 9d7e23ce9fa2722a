"""Stand-ins for the scripts of this review: a store, samplers, a platform that starts and signals the
gateways, and plain HTTP clients. All of it runs on one asyncio loop, on loopback addresses."""
import asyncio
import base64
import json
import os
import random
import re
import signal
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
now = time.monotonic


# --- Record -------------------------------------------------------------------------------------


class Record:
    """Writes the record of a run: one line an event, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()
        self.line("start", trouble=int(TROUBLE))

    def line(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now() - self.start:9.3f} {event} {text}\n")
        self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads one HTTP message with a length or in chunks. Returns (start line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


REASONS = {200: "OK", 202: "Accepted", 409: "Conflict", 412: "Precondition Failed", 410: "Gone",
           421: "Misdirected Request", 404: "Not Found", 503: "Service Unavailable",
           500: "Internal Server Error", 422: "Unprocessable Entity"}


def answer(status, headers=None, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers or {}, body)


class Listener:
    """An HTTP server on a free port of one loopback address."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.address = ""

    async def listen(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.session, ip, 0, limit=1 << 26)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{self.port}"

    async def session(self, reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                if not await self.handle(method, target, headers, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body, reader, writer):
        raise NotImplementedError


async def gone(reader):
    """Returns when the peer has closed the connection. Takes no bytes."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


# --- Store --------------------------------------------------------------------------------------


def query(target):
    path, _, rest = target.partition("?")
    values = {}
    for pair in rest.split("&"):
        if pair:
            name, _, value = pair.partition("=")
            values[name] = re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)
    return path, values


class Store(Listener):
    """The platform's metadata store in the form of tables."""

    def __init__(self, record=None):
        super().__init__()
        self.rows = {}  # (table, key) -> [value (base64), version, gone]
        self.version = 0
        self.objects = {}
        self.changed = asyncio.Event()
        self.silent = False  # no call is answered
        self.silent_tables = set()  # no call that names one of these tables is answered

    def put(self, table, key, document):
        self.version += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.rows[(table, key)] = [value, self.version, False]
        self.wake()

    def get(self, table, key):
        row = self.rows.get((table, key))
        return None if row is None or row[2] else base64.b64decode(row[0]).decode()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, at):
        value, version, removed = self.rows[at]
        row = {"table": at[0], "part": "", "key": at[1], "ver": version}
        row.update({"gone": True} if removed else {"value": value})
        return row

    def is_silent(self, tables):
        return self.silent or bool(self.silent_tables & set(tables))

    def tail(self, document):
        return {**document, "ver": self.version, "now_ms": int(now() * 1000)}

    def transact(self, document):
        def version_of(entry):
            row = self.rows.get((entry["table"], entry["key"]))
            return 0 if row is None or row[2] else row[1]
        expected = document.get("expected", [])
        if any(version_of(each) != each["ver"] for each in expected):
            current = [self.row((e["table"], e["key"])) for e in expected if version_of(e) > 0]
            return 412, self.tail({"rows": current})
        self.version += 1
        for entry in document.get("put", []):
            self.rows[(entry["table"], entry["key"])] = [entry["value"], self.version, False]
        for entry in document.get("remove", []):
            self.rows[(entry["table"], entry["key"])] = ["", self.version, True]
        self.wake()
        return 200, self.tail({})

    async def handle(self, method, target, headers, body, reader, writer):
        path, values = query(target)
        tables = [values.get("table", "")]
        document = {}
        if path == "/linenpier/rows-tx":
            document = json.loads(body)
            tables = [e["table"] for part in ("expected", "put", "remove")
                      for e in document.get(part, [])]
        if self.is_silent(tables):
            await gone(reader)
            return False
        await asyncio.sleep(0.004)
        if path == "/linenpier/rows-feed":
            status, reply = await self.feed(values)
            if self.is_silent(tables):
                await gone(reader)
                return False
        elif path == "/linenpier/rows-tx":
            status, reply = self.transact(document)
        elif path == "/linenpier/rows-get":
            status, reply = 200, self.read(values)
        else:
            status, reply = self.blob(method, path, values, body)
        content = reply if isinstance(reply, bytes) else json.dumps(reply).encode()
        writer.write(answer(status, {"Content-Type": "application/json"}, content))
        await writer.drain()
        return True

    def read(self, values):
        limit = min(int(values.get("limit", "500")), 500)
        start, until = values.get("from", ""), values.get("targetVersion", "")
        keys = sorted(at for at, row in self.rows.items()
                      if at[0] == values["table"] and not row[2] and at[1] >= start
                      and (not until or at[1] < until))
        return self.tail({"rows": [self.row(at) for at in keys[:limit]], "hasMore": len(keys) > limit})

    async def feed(self, values):
        after, until = int(values["afterRev"]), now() + int(values["waitMs"]) / 1000
        while True:
            changes = sorted((row[1], at) for at, row in self.rows.items()
                             if at[0] == values["table"] and row[1] > after)
            if changes or now() >= until:
                return 200, self.tail({"rows": [self.row(at) for _, at in changes]})
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass

    def blob(self, method, path, values, body):
        name = path.rsplit("/", 1)[1]
        if path.startswith("/linenpier/blob-put/"):
            if name in self.objects:
                return 412, {}
            self.objects[name] = body
            return 200, {}
        if path.startswith("/linenpier/blob-get/"):
            return (200, self.objects[name]) if name in self.objects else (404, {})
        if path.startswith("/linenpier/blob-drop/"):
            self.objects.pop(name, None)
            return 200, {}
        names = sorted(n for n in self.objects if n.startswith(values.get("pathPrefix", "")))
        return 200, {"names": names, "hasMore": False}


# --- Samplers -----------------------------------------------------------------------------------


class Sampler(Listener):
    """One sampler. A request gets its slot at once or waits; a run that loses its connection ends."""

    def __init__(self, store, record, service, zone, slots, model=None):
        super().__init__()
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.id = f"i-{random.getrandbits(40):010x}"
        self.slots, self.model, self.version, self.seq = slots, model, 1, 0
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.fence = 0
        self.work_s = lambda: 0.025  # of a request that is no item
        self.events = lambda item: 20  # of an item
        self.event_s = 0.02
        self.pace = lambda: 1.0  # of one run: how long its events take, as a factor
        self.fails = lambda item: None  # status to answer an item with instead of running it
        self.runs = []  # (request id, begun, ended, outcome)
        self.open = []  # ids of the requests that are here now

    def announce(self):
        models = [{"name": self.model, "version": self.version, "adapters": []}] if self.model else []
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "stage": "both",
            "models": models, "seq": 1})

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def handle(self, method, target, headers, body, reader, writer):
        request = headers.get("request-id", "")
        echo = {"Request-Id": request, "Instance-Load": self.load()}
        if headers.get("target-instance", self.id) != self.id:
            writer.write(answer(421, {**echo, "Instance-Id": self.id}))
        elif target == "/healthz":
            writer.write(answer(200, {**echo, "Instance-Id": self.id}))
        elif target == "/linenpier/report":
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            writer.write(answer(200, echo, json.dumps({
                "stage": "both", "models": models, "busy": False, "seq": self.seq,
                "waiting": self.waiting, "running": self.running, "kvUsed": 0, "kvTotal": 50000,
                "handles": 0}).encode()))
        elif target == "/linenpier/order":
            writer.write(answer(self.order(json.loads(body)), echo))
        else:
            return await self.run(target, headers, request, reader, writer)
        await writer.drain()
        return True

    def order(self, order):
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if order.get("expected", self.seq) != self.seq:
            return 409
        if order["version"] == self.version:
            return 200
        self.seq += 1
        self.version = order["version"]
        self.announce()
        return 202

    async def run(self, target, headers, request, reader, writer):
        begun = now()
        self.open.append(request)
        self.record.line("sampler_gets", sampler=self.id, request=request, target=target,
                         last_event=headers.get("last-event-id", "-"))
        closed = asyncio.ensure_future(gone(reader))
        work = asyncio.ensure_future(self.work(headers, request, writer))
        outcome = "cut"
        try:
            await asyncio.wait({closed, work}, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                outcome = work.result()
        except (ConnectionError, OSError):
            outcome = "cut"
        finally:
            for task in (work, closed):
                task.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)
            self.open.remove(request)
            self.runs.append((request, begun, now(), outcome))
            self.record.line("sampler_ends", sampler=self.id, request=request, outcome=outcome)
        return outcome != "cut"

    async def work(self, headers, request, writer):
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            head = {"Request-Id": request, "Instance-Load": self.load(),
                    "Response-Signature": f"s.{request}"}
            if "model" not in headers:
                await asyncio.sleep(self.work_s())
                writer.write(answer(200, head, b"answer of " + request.encode()))
                await writer.drain()
                return "answered"
            status = self.fails(request)
            if status:
                writer.write(answer(status, head))
                await writer.drain()
                return str(status)
            first, pace = int(headers.get("last-event-id", "0")) + 1, self.pace()
            head.update({"Weight-Versions": self.version, "Content-Type": "text/event-stream",
                         "Transfer-Encoding": "chunked"})
            lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in head.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            for number in range(first, self.events(request) + 1):
                await asyncio.sleep(self.event_s * pace)
                event = f"id: {number}\ndata: {request}.{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return "answered"
        finally:
            self.running -= 1
            self.free.release()


# --- Platform: gateways as processes ------------------------------------------------------------


def render(template, values):
    """Fills in a template of the deploy file as DEPLOY.md describes it."""
    def look_up(name, scopes):
        if name == ".":
            return scopes[-1].get(".", scopes[-1])
        for scope in reversed(scopes):
            found = scope
            for part in name.split("."):
                found = found.get(part) if isinstance(found, dict) else None
            if found is not None:
                return found
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(each) for each in value)
        return str(value)

    def fill(part, scopes):
        out, at = "", 0
        for found in iter(lambda: re.compile(r"\{\{([#^]?)([^}]+)\}\}").search(part, at), None):
            out += part[at:found.start()]
            sign, name = found.groups()
            at = found.end()
            if not sign:
                out += text(scopes[-1].get("@") if name == "@" else look_up(name, scopes))
                continue
            end = part.index("{{/" + name + "}}", at)
            inner, at = part[at:end], end + len("{{/" + name + "}}")
            value = look_up(name, scopes)
            if sign == "^":
                out += "" if value else fill(inner, scopes)
            elif isinstance(value, dict) and name == "zones":
                for key, each in value.items():
                    out += fill(inner, scopes + [{"@": key, ".": each}])
            elif value:
                out += fill(inner, scopes)
        return out + part[at:]

    return fill(template, [values])


def free_port(ip):
    import socket
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Gateway:
    """One machine of the platform: its settings, its process, and its readiness."""

    def __init__(self, world, number, zone):
        self.world, self.name, self.zone = world, f"edge-{zone}-{number}", zone
        self.ip = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}.{number + 1}"
        self.front, self.ready, self.control = (f"{self.ip}:{free_port(self.ip)}" for _ in range(3))
        self.process = None
        self.life = 0
        self.stopped = False  # the script has ended
        self.misses = 0
        self.signalled = 0.0

    def settings(self):
        with open(os.path.join(ROOT, "deploy/gateway.toml.template")) as file:
            template = file.read()
        zones = {zone: self.world.regions.get(zone, "bagmati") for zone in self.world.zones}
        return render(template, {
            "node": self.name, "zone": self.zone, "zones": zones, "ip": self.ip,
            "listen": {"front": self.front, "ready": self.ready, "control": self.control},
            "seeds": [each.control for each in self.world.gateways[:3]],
            "limits": {"cpuShare": 0.5, "cores": 1, "linkMbps": 1000.0},
            "provider": {"address": self.world.store.address, "row_bytes": 65536},
            "bounds": {"graceS": 8, "leaseMs": 3000, "fencingRequired": True, "statusS": 120},
            "heartbeatMs": 1200})

    async def start(self):
        self.life += 1
        path = os.path.join(self.world.folder, f"{self.name}.toml")
        with open(path, "w") as file:
            file.write(self.settings())
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/linenpier-gateway"), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.world.folder, "LINENPIER_SETTINGS": path})
        log.close()
        self.world.record.line("gateway_started", gateway=self.name, life=self.life)
        asyncio.ensure_future(self.supervise(self.process))

    async def supervise(self, process):
        status = await process.wait()
        if self.stopped:
            return
        self.world.record.line("gateway_ended", gateway=self.name, life=self.life, status=status)
        await asyncio.sleep(0.2)
        if not self.stopped:
            await self.start()

    def kill(self):
        self.world.record.line("signal", gateway=self.name, name="KILL")
        self.process.kill()

    async def terminate(self, grace_s=8.0):
        """SIGTERM, and SIGKILL after the grace. Returns whether the process ended by itself."""
        self.world.record.line("signal", gateway=self.name, name="TERM")
        self.signalled = now()
        process = self.process
        process.terminate()
        try:
            await asyncio.wait_for(asyncio.shield(process.wait()), grace_s)
            return True
        except asyncio.TimeoutError:
            self.world.record.line("signal", gateway=self.name, name="KILL", after="grace")
            process.kill()
            return False

    async def probe(self):
        """The platform's question each second; two misses take the machine out."""
        while not self.stopped:
            status = await self.world.ask(self.ready, "GET", "/linenpier/readyz", {}, timeout=1.0)
            self.misses = 0 if status[0] == 200 else self.misses + 1
            await asyncio.sleep(1.0)

    def takes_clients(self):
        return self.misses < 2

    async def stop(self):
        self.stopped = True
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class World:
    def __init__(self, record, zones, store_type):
        self.record = Record(record)
        self.temporary = tempfile.TemporaryDirectory(prefix="linenpier-review-")
        self.folder = self.temporary.name
        self.zones = zones
        self.regions = {}
        self.store = store_type(self.record)
        self.samplers = []
        self.gateways = []

    async def add_samplers(self, service, zone, count, slots, model=None):
        made = []
        for _ in range(count):
            sampler = Sampler(self.store, self.record, service, zone, slots, model)
            await sampler.listen()
            sampler.announce()
            made.append(sampler)
        self.samplers += made
        return made

    async def start_gateways(self, count):
        self.gateways = [Gateway(self, i, self.zones[i % len(self.zones)]) for i in range(count)]
        for gateway in self.gateways:
            await gateway.start()
            asyncio.ensure_future(gateway.probe())
        for _ in range(100):
            answers = [await self.ask(g.ready, "GET", "/linenpier/readyz", {}) for g in self.gateways]
            if all(status == 200 for status, _, _ in answers):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateways do not become ready")

    async def ask(self, address, method, target, headers, body=b"", timeout=5.0):
        """One call on a new connection. Returns (status, headers, body); status 0: no answer."""
        ip, port = address.rsplit(":", 1)
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, int(port), limit=1 << 26), min(timeout, 1.0))
            writer.write(message(f"{method} {target} HTTP/1.1", {"Host": "x", **headers}, body))
            start, fields, content = await asyncio.wait_for(read_message(reader), timeout)
            return int(start.split(" ")[1]), fields, content
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, {}, b""
        finally:
            if writer:
                writer.close()

    async def close(self):
        for gateway in self.gateways:
            await gateway.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self.temporary.cleanup()

    def owner_of(self, job):
        """The gateway that the job's row names as its owner."""
        row = self.store.get("linenpier", f"job/{job}")
        if row is None:
            return None
        owner = json.loads(row)["owner"].split("#")[0]
        return next((g for g in self.gateways if g.name == owner), None)


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def rollout_route(name, prefix, service, **fields):
    return {"name": name, "host": "desk.example", "pathPrefix": prefix, "kind": "rollout",
            "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 1, "service": service,
            "maxAttempts": 3, "maxQueueS": 40.0, "targetFinishMs": 7500, "singleVersion": False,
            "sticky": True, "resumable": True, **fields}


def llm_service(name, models):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 170, "protocol": "h1",
            "tls": False, "engine": {"slots": 16, "kvCacheTokens": 52385, "kvTokenBytes": 163840,
                                     "models": [{"name": model} for model in models]}}


def hand_in(items, prefix, model, step=0, minimum=1, desired=0):
    """The body of a batch job; items are (id, group) or (id, group, body)."""
    requests = []
    for each in items:
        body = each[2] if len(each) > 2 else each[0].encode() * 8
        requests.append({"id": each[0], "path": f"{prefix}3/{each[0][:4]}", "group": each[1],
                         "headers": {"Model": model, "Token-Usage": "271,200",
                                     "Prefix-Hash": f"9c2e41:255,{each[0][:6]}:16"},
                         "body": base64.b64encode(body).decode(), "tokens": 471})
    return json.dumps({"step": step, "model": model, "minVersion": minimum, "desired": desired,
                       "requests": requests}).encode()


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(record, play, store_type=Store):
    """Runs `play(world)`, which returns the list of breaks of the rule. Exits with 0, 1 or 2.
    `record` is the file that gets what was sent, answered and run."""

    async def run():
        world = World(record, ["hall-thamel", "hall-patan", "hall-bhaktapur"], store_type)
        try:
            await world.store.listen()
            return await asyncio.wait_for(play(world), 110), world
        finally:
            await world.close()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        breaks, world = asyncio.run(run())
    except Exception as error:  # the case could not run
        print(f"could not run: {type(error).__name__}: {error}")
        sys.stdout.flush()
        os._exit(2)
    for line in breaks:
        world.record.line("BROKEN", what=line)
        print("broken:", line)
    world.record.line("verdict", breaks=len(breaks))
    print(f"verdict: {'rule broken' if breaks else 'rule held'} ({len(breaks)})")
    sys.stdout.flush()
    os._exit(1 if breaks else 0)
