"""Stand-ins for the cases of the second review: the platform's store, samplers, a settings writer
and a client. Everything runs in one asyncio loop, on loopback addresses and the real clock.
They do what PROTOCOL.md says; where it is silent they behave like a sound store, sampler or client.
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
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"


def free_port():
    """A port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        line = f"{time.monotonic() - self.begun:8.3f} " + " ".join(str(each) for each in words)
        print(line, file=self.file, flush=True)


# --- HTTP ------------------------------------------------------------------------------------------


async def read_message(reader):
    """@return start line, fields with names in lower case, body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return lines[0], fields, body


def message(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable", 507: "Insufficient Storage"}


def response(status, fields=None, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", fields or {}, body)


async def call(address, method, target, fields=None, body=b"", limit=5.0):
    """One request on a new connection. @return (status, fields, body), or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=64 * 1024 * 1024)
        try:
            writer.write(message(f"{method} {target} HTTP/1.1", fields or {}, body))
            await writer.drain()
            answer = await read_message(reader)
            return answer and (int(answer[0].split()[1]), answer[1], answer[2])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


# --- The platform's store --------------------------------------------------------------------------


class Store:
    """Rows, their feed and objects, with the delays of the deployment sheet."""

    def __init__(self, record, answer_ms=4, tx_ms=5, blob_ms=25, blob_mb_per_s=80):
        self.record = record
        self.answer, self.tx, self.blob = answer_ms / 1000, tx_ms / 1000, blob_ms / 1000
        self.blob_bytes_per_s = blob_mb_per_s * 1e6
        self.rows, self.version, self.history = {}, 0, []
        self.blobs = {}
        self.changed = asyncio.Condition()
        self.blob_line = asyncio.Lock()
        self.serving = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=64 * 1024 * 1024,
                                                 backlog=512)
        self.address = (HOST, self.server.sockets[0].getsockname()[1])

    def now_ms(self):
        return int(time.monotonic() * 1000)

    async def put(self, table, key, document):
        """A write of the operator or of a sampler, which do not use the gateways' interface."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self.apply([(table, "", key, value)], [])

    async def remove(self, table, key):
        await self.apply([], [(table, "", key)])

    async def apply(self, puts, removes):
        self.version += 1
        for table, part, key, value in puts:
            self.rows[table, part, key] = (value, self.version)
            self.history.append((self.version, table, part, key, value))
        for row in removes:
            if self.rows.pop(row, None) is not None:
                self.history.append((self.version, *row, None))
        async with self.changed:
            self.changed.notify_all()

    def shown(self, table, part, key, value, version):
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                writer.write(await self.answer_to(*request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer_to(self, start, fields, body):
        method, target, _ = start.split()
        path, _, query = target.partition("?")
        asked = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if path == "/linenpier/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/linenpier/rows-get":
            return await self.get_rows(asked)
        if path == "/linenpier/rows-feed":
            return await self.feed(asked)
        if path.startswith("/linenpier/blob-"):
            return await self.object_call(method, path, asked, fields, body)
        return response(404)

    def as_json(self, status, document):
        document.update(ver=self.version, now_ms=self.now_ms())
        return response(status, {"Content-Type": "application/json"}, json.dumps(document).encode())

    async def transact(self, document):
        await asyncio.sleep(self.tx)
        expected = document.get("expected", [])
        of = lambda row: (row["table"], row.get("part", ""), row["key"])
        if any(self.rows.get(of(row), (None, 0))[1] != row["ver"] for row in expected):
            current = [self.shown(*of(row), *self.rows.get(of(row), (None, 0))) for row in expected]
            return self.as_json(412, {"rows": [row for row in current if row["ver"] > 0]})
        puts = [(*of(row), row["value"]) for row in document.get("put", [])]
        if any(len(base64.b64decode(row[3])) > 65536 for row in puts) or len(puts) > 100:
            return response(400)
        await self.apply(puts, [of(row) for row in document.get("remove", [])])
        return self.as_json(200, {})

    async def get_rows(self, asked):
        await asyncio.sleep(self.answer)
        first, after = asked.get("from", ""), asked.get("targetVersion")
        most = min(int(asked.get("limit", 500)), 500)
        found, size, more = [], 0, False
        for table, part, key in sorted(self.rows, key=lambda row: row[2].encode()):
            if table != asked["table"] or part != asked.get("part", "") or key < first:
                continue
            if after and key >= after:
                continue
            value, version = self.rows[table, part, key]
            size += len(value) + 200
            if len(found) == most or (found and size > 1000000):
                more = True
                break
            found.append(self.shown(table, part, key, value, version))
        return self.as_json(200, {"rows": found, "hasMore": more})

    async def feed(self, asked):
        await asyncio.sleep(self.answer)
        until = time.monotonic() + int(asked.get("waitMs", 0)) / 1000
        after = int(asked["afterRev"])
        while True:
            news = [each for each in self.history if each[0] > after and each[1] == asked["table"]]
            left = until - time.monotonic()
            if news or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        rows = []
        for version, table, part, key, value in news:
            row = self.shown(table, part, key, value, version)
            if value is None:
                row["gone"] = True
            rows.append(row)
        return self.as_json(200, {"rows": rows})

    async def object_call(self, method, path, asked, fields, body):
        kind, _, name = path.removeprefix("/linenpier/blob-").partition("/")
        await asyncio.sleep(self.blob)
        moved = len(body) if kind == "put" else len(self.blobs.get(name, b"")) if kind == "get" else 0
        async with self.blob_line:
            await asyncio.sleep(moved / self.blob_bytes_per_s)
        if kind == "list":
            prefix = asked.get("pathPrefix", "")
            names = sorted(each for each in self.blobs if each.startswith(prefix))
            return self.as_json(200, {"names": names[:1000], "hasMore": len(names) > 1000})
        if kind == "put":
            if name in self.blobs and fields.get("if-none-match") == "*":
                return response(412)
            self.blobs[name] = body
            return response(200)
        if name not in self.blobs:
            return response(404)
        if kind == "drop":
            del self.blobs[name]
            return response(200)
        return response(200, {}, self.blobs[name])


# --- Samplers --------------------------------------------------------------------------------------


class Sampler:
    """A model sampler: answers a POST with a stream of events, each made after `step` seconds."""

    def __init__(self, record, store, name, service, zone, slots, model=None, text=None, step=0.01):
        self.record, self.store, self.name, self.step = record, store, name, step
        self.entry = {"service": service, "zone": zone, "version": "1", "slots": slots,
                      "state": "ready", "coldRemainingMs": 0, "seq": 0, "stage": "both"}
        self.model, self.text, self.slots = model, text, slots
        self.weights, self.orders, self.running = 1, 0, 0
        self.ran = []  # (Request-Id, Tenant-Id) of each request that was run.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=64 * 1024 * 1024)
        self.address = (HOST, self.server.sockets[0].getsockname()[1])
        self.entry["address"] = f"{HOST}:{self.address[1]}"
        await self.announce()

    def models(self):
        return [{"name": self.model, "version": self.weights, "adapters": []}] if self.model else []

    async def announce(self):
        await self.store.put("servers", self.name, dict(self.entry, models=self.models()))

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                await self.answer(*request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, start, fields, body, writer):
        echo = {"Instance-Load": f"{self.running},0,{self.slots}"}
        if not re.fullmatch(r"[A-Z]+ \S+ HTTP/1\.1", start):
            self.record("sampler", self.name, "gets bytes that are no request:", repr(start))
            return writer.write(response(400, dict(echo, **{"Not-Executed": "1"})))
        method, target, _ = start.split()
        if "request-id" in fields:
            echo["Request-Id"] = fields["request-id"]
        if fields.get("target-instance", self.name) != self.name:
            return writer.write(response(421, dict(echo, **{"Not-Executed": "1"})))
        if target == "/linenpier/report":
            report = {"stage": "both", "models": self.models(), "busy": False, "seq": self.orders,
                      "waiting": 0, "running": self.running, "kvUsed": 0, "kvTotal": 90000,
                      "handles": 0}
            return writer.write(response(200, echo, json.dumps(report).encode()))
        if target == "/linenpier/order":
            order = json.loads(body)
            self.record("sampler", self.name, "order", json.dumps(order))
            self.weights, self.orders = order["version"], self.orders + 1
            await self.announce()
            return writer.write(response(202, echo))
        if self.running >= self.slots:
            return writer.write(response(503, dict(echo, **{"Not-Executed": "1"})))
        self.running += 1
        try:
            await self.run(target, fields, body, echo, writer)
        finally:
            self.running -= 1

    async def run(self, target, fields, body, echo, writer):
        name = fields["request-id"]
        self.record("sampler", self.name, "runs", name, "from event",
                    int(fields.get("last-event-id", 0)) + 1,
                    "for tenant " + fields["tenant-id"] if "tenant-id" in fields else "")
        self.ran.append((name, fields.get("tenant-id")))
        await asyncio.sleep(self.step)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                "Response-Signature: " + signature(name), f"Weight-Versions: {self.weights}"]
        head += [f"{field}: {value}" for field, value in echo.items()]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        events = self.text(name)
        for number in range(int(fields.get("last-event-id", 0)), len(events)):
            event = f"id: {number + 1}\ndata: {events[number]}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.step)
        writer.write(b"0\r\n\r\n")


def signature(name):
    return f"{name}.sig"


# --- The gateway as the platform runs it -----------------------------------------------------------


def fill(template, fields):
    """Fills a settings template as DEPLOY.md tells."""

    def find(name, scopes):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def shown(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return str(value).lower()
        if isinstance(value, list):
            return ",".join(str(each) for each in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def render(text, scopes, key=""):
        def block(match):
            sign, name, inner = match.group(1), match.group(2), match.group(3)
            value = find(name, scopes)
            if sign == "^":
                return "" if value else render(inner, scopes, key)
            if not value and value != 0:
                return ""
            if isinstance(value, dict):
                return "".join(render(inner, [each, *scopes], at) for at, each in value.items())
            return render(inner, [value, *scopes] if isinstance(value, list) else scopes, key)

        text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", block, text, flags=re.S)
        text = text.replace("{{@}}", key)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: shown(find(match.group(1), scopes)), text)

    return render(template, [fields])


BOUNDS = {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000,
          "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "leaseMs": 3000,
          "fencingRequired": True}

LIMITS = {"cpuShare": 0.5, "cores": 1, "memoryMb": 310, "linkMbps": 1000.0}


class Gateway:
    """One process of the deploy file's role, with the settings that the platform fills in."""

    def __init__(self, record, folder, store, node, zone, seeds=(), limits=None):
        self.record, self.node, self.process = record, node, None
        self.front, self.ready, self.control = free_port(), free_port(), free_port()
        fields = {"node": node, "zone": zone, "zones": {zone: "region-1"}, "ip": HOST,
                  "listen": {"front": f"{HOST}:{self.front}", "ready": f"{HOST}:{self.ready}",
                             "control": f"{HOST}:{self.control}"},
                  "seeds": list(seeds), "heartbeatMs": 1200,
                  "limits": dict(LIMITS, **(limits or {})), "bounds": BOUNDS,
                  "provider": {"address": f"{HOST}:{store.address[1]}", "row_bytes": 65536}}
        with open(os.path.join(ROOT, "deploy", "gateway.toml.template"), encoding="utf-8") as file:
            text = fill(file.read(), fields)
        # On the machines of the deployment each process has an address of its own; here the
        # metrics need a free port.
        text = text.replace(f"{HOST}:9464", f"{HOST}:{free_port()}")
        self.settings = os.path.join(folder, node + ".toml")
        self.log = open(os.path.join(folder, node + ".log"), "ab")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    @property
    def address(self):
        return (HOST, self.front)

    async def start(self):
        environment = {"PATH": os.environ["PATH"], "LINENPIER_SETTINGS": self.settings}
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "linenpier-gateway"), cwd=ROOT, env=environment,
            stdout=self.log, stderr=self.log)
        self.record("gateway", self.node, "started")

    async def until_ready(self, limit=15.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            answer = await call((HOST, self.ready), "GET", "/linenpier/readyz",
                                {"Host": "ready"}, limit=1.0)
            if answer and answer[0] == 200:
                self.record("gateway", self.node, "ready")
                return True
            await asyncio.sleep(0.1)
        return False

    async def signal(self, number):
        self.record("gateway", self.node, "signal", signal.Signals(number).name)
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            await self.signal(signal.SIGKILL)
            await self.process.wait()


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


def main(case, limit=115):
    """Runs `case(record, folder, trouble)`, which returns whether the rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))
    record("TROUBLE", int(trouble))

    async def bounded(folder):
        return await asyncio.wait_for(case(record, folder, trouble), limit)

    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = asyncio.run(bounded(folder))
        except Exception as error:  # Whatever it is, it says nothing about the rule.
            record("could not run:", type(error).__name__, error)
            sys.exit(2)
    record("broken" if broken else "held")
    sys.exit(1 if broken else 0)
