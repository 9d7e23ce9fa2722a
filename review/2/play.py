"""Some clients upload long bodies, within the limits of the configuration, while others use kept connections."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from world import *

MEMORY_MB = 120  # `limits.memoryMb` of the small machines; a process that exceeds it is killed
LONG_BYTES = 31 * 1024 * 1024  # `maxBodyBytes` is 33,554,432
UPLOADERS, UPLOAD_AT_S = 3, (8.0, 13.0, 18.0)
CLIENTS, EVERY_S, WORK_S = 90, (0.8, 1.6), (0.3, 0.5)
END_S = 24.0


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def watch_memory(world, peaks):
    """The platform kills a process whose memory exceeds that of its machine."""
    while True:
        for gateway in world.gateways:
            process = gateway.process
            used = resident_mb(process.pid) if process.returncode is None else 0.0
            peaks[gateway.name] = max(peaks.get(gateway.name, 0.0), used)
            if used > MEMORY_MB:
                world.record.line("over_memory", gateway=gateway.name, mb=f"{used:.0f}")
                process.kill()
                await process.wait()
        await asyncio.sleep(0.005)


class Client:
    """Keeps a connection to a daemon of its zone, and sends small requests on it."""

    def __init__(self, world, zone, sent):
        self.world, self.zone, self.sent = world, zone, sent
        self.reader = self.writer = None
        self.on_connection = 0

    async def connect(self):
        home = [g for g in self.world.gateways if g.zone == self.zone and g.takes_clients()]
        self.gateway = random.choice(home or [g for g in self.world.gateways if g.takes_clients()])
        ip, port = self.gateway.front.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), 1.0)
        self.on_connection = 0

    def drop(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def run(self, until):
        await asyncio.sleep(random.uniform(0, EVERY_S[1]))
        while now() < until:
            try:
                if self.reader is None or self.reader.at_eof():
                    self.drop()
                    await self.connect()
                await self.request()
            except (OSError, asyncio.TimeoutError):
                self.drop()
            await asyncio.sleep(random.uniform(*EVERY_S))
        self.drop()

    async def request(self):
        self.on_connection += 1
        each = {"id": new_id(), "gateway": self.gateway.name, "kept": self.on_connection > 1,
                "status": 0, "closed": False}
        self.sent.append(each)
        headers = {"Host": "desk.example", "Request-Id": each["id"], "Deadline-Ms": "4000"}
        each["sent"] = now()
        try:
            self.writer.write(message("POST /desk/2f HTTP/1.1", headers, b"licence" * 80))
            start, fields, _ = await asyncio.wait_for(read_message(self.reader), 5.0)
            each["status"] = int(start.split(" ")[1])
            if fields.get("connection", "").lower() == "close":
                self.drop()
        except asyncio.TimeoutError:
            self.drop()
        except (asyncio.IncompleteReadError, OSError):
            each["closed"] = True
            self.drop()
        self.world.record.line("request", id=each["id"], gateway=each["gateway"],
                               kept=int(each["kept"]), status=each["status"],
                               closed=int(each["closed"]), took=f"{now() - each['sent']:.3f}")


async def upload(world, zone, body):
    """A client that sends one long body, and once more after a failure."""
    for attempt in (1, 2):
        home = [g for g in world.gateways if g.zone == zone and g.takes_clients()]
        gateway = random.choice(home or world.gateways)
        begun, request = now(), new_id()
        status, _, _ = await world.ask(
            gateway.front, "POST", "/scans/7a", {"Host": "desk.example", "Request-Id": request,
                                                 "Deadline-Ms": "4000"}, body, timeout=5.0)
        world.record.line("upload", id=request, gateway=gateway.name, attempt=attempt,
                          bytes=len(body), status=status, took=f"{now() - begun:.3f}")
        if status:
            return
        await asyncio.sleep(0.2)


async def play(world):
    def route(name, prefix, kind):
        return {"name": name, "host": "desk.example", "pathPrefix": prefix, "kind": kind,
                "timeoutMs": 5000, "targetLatencyMs": 800, "priority": 2, "service": "permit-desk",
                "maxAttempts": 2}
    world.store.put("op", "config", configuration(
        1, [route("r-desk", "/desk/", "non_idempotent"), route("r-scans", "/scans/", "idempotent")],
        [{"name": "permit-desk", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1",
          "tls": False}]))
    for zone in world.zones:
        for sampler in await world.add_samplers("permit-desk", zone, 1, 24):
            sampler.work_s = lambda: random.uniform(*WORK_S)
    await world.start_gateways(3)
    peaks = {}
    asyncio.ensure_future(watch_memory(world, peaks))

    sent, begun = [], now()
    tasks = [asyncio.ensure_future(Client(world, world.zones[i % 3], sent).run(begun + END_S))
             for i in range(CLIENTS)]
    if TROUBLE:
        body = bytes(LONG_BYTES)
        for at in UPLOAD_AT_S:
            await asyncio.sleep(max(0.0, begun + at - now()))
            tasks += [asyncio.ensure_future(upload(world, world.zones[0], body))
                      for _ in range(UPLOADERS)]
    await asyncio.gather(*tasks)

    passed_on = {run[0] for sampler in world.samplers for run in sampler.runs}
    breaks = []
    for gateway in world.gateways:
        closed = [each for each in sent if each["gateway"] == gateway.name and each["kept"]
                  and each["closed"] and each["id"] in passed_on]
        ended = gateway.life - 1
        print(f"{gateway.name}: peak {peaks[gateway.name]:.0f} MB, killed for its memory {ended} times, "
              f"requests of kept connections closed without an answer: {len(closed)}")
        if len(closed) > 3:
            breaks.append(f"{gateway.name} passed {len(closed)} requests from kept connections on and "
                          f"closed the connections without an answer")
    answered = sum(each["status"] == 200 for each in sent)
    print(f"small requests {len(sent)}, answered {answered}")
    return breaks


main(__file__, play)
