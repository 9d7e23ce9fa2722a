"""A job's homes change and change back while answers of the store are lost and writes are done late."""
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from world import *

ITEMS, SIZE = 320, 4
REGIONS = {"hall-thamel": "bagmati", "hall-patan": "gandaki", "hall-bhaktapur": "bagmati"}
LOST_S = 4.5  # for so long writes may be lost; they are done 1 to 6 s after they were sent
LATE_S = 5.8
BACK_AFTER_S = 2.5  # between the two changes of the configuration
READ_S = 40.0


class LateStore(Store):
    """Loses the answers of some writes to one job and does these writes late, if their condition holds."""

    def __init__(self, record):
        super().__init__(record)
        self.record, self.job = record, ""
        self.losing = False
        self.writes = self.lost = 0
        self.append_lost = asyncio.Event()

    def loses(self, document):
        """One append of results, and then the writes by which the owner would give the job up."""
        tables = {each["table"] for each in document["put"]}
        keys = {each["key"] for each in document["put"] if each["table"] == "linenpier"}
        if not self.append_lost.is_set():
            return "results" in tables and not keys and len(document["put"]) >= 5
        return "checkpoints" in tables or f"job/{self.job}" in keys

    async def handle(self, method, target, headers, body, reader, writer):
        if self.losing and target == "/linenpier/rows-tx":
            document = json.loads(body)
            self.writes += 1
            if self.loses(document):
                self.lost += 1
                tables = sorted({each["table"] for each in document["put"]})
                self.record.line("write_lost", tables=",".join(tables), rows=len(document["put"]))
                if "results" in tables:
                    self.append_lost.set()
                asyncio.get_running_loop().call_later(LATE_S, self.late, document, tables)
                await gone(reader)
                return False
        return await super().handle(method, target, headers, body, reader, writer)

    def late(self, document, tables):
        status, _ = self.transact(document)
        self.record.line("write_done_late", tables=",".join(tables), status=status)


def config(version, regions):
    route = rollout_route("r-wording", "/wording/", "model-servers", targetFinishMs=14000,
                          allowedRegions=regions)
    return configuration(version, [route], [llm_service("model-servers", ["m0"])])


async def disturb(world, job):
    store = world.store
    owner = world.owner_of(job)
    home = REGIONS[owner.zone]
    other = next(region for region in REGIONS.values() if region != home)
    store.job, store.losing = job, True
    begun = now()
    await asyncio.wait_for(store.append_lost.wait(), 3)
    world.record.line("config", version=2, allowed=other, owner=owner.name, home=home)
    store.put("op", "config", config(2, [other]))
    await asyncio.sleep(BACK_AFTER_S)
    world.record.line("config", version=3, allowed="bagmati,gandaki")
    store.put("op", "config", config(3, ["bagmati", "gandaki"]))
    await asyncio.sleep(max(0.0, begun + LOST_S - now()))
    store.losing = False
    print(f"owner {owner.name} in {home}; {store.lost} of {store.writes} writes lost in {LOST_S} s")


async def read_all(world, gateway, job):
    """All results that a daemon lists now."""
    listed = []
    while True:
        status, _, page = await world.ask(
            gateway.front, "GET", f"/linenpier/lots/{job}?afterRev={len(listed)}",
            {"Host": "desk.example"}, timeout=2.5)
        results = json.loads(page)["results"] if status == 200 else []
        if not results:
            return listed
        listed += results


async def play(world):
    world.regions = REGIONS
    world.store.put("op", "config", config(1, ["bagmati", "gandaki"]))
    for zone in world.zones:
        for sampler in await world.add_samplers("model-servers", zone, 1, 16, "m0"):
            sampler.events, sampler.event_s = (lambda item: 6 + int(item[:2], 16) % 40), 0.1
            sampler.pace = lambda: random.uniform(0.8, 1.3)  # runs differ with what runs beside them
    await world.start_gateways(3)
    await asyncio.sleep(10)

    job, items = new_id(), [(new_id(), f"g{i // SIZE}") for i in range(ITEMS)]
    headers = {"Host": "desk.example", "Request-Id": job, "Content-Type": "application/json"}
    status, _, _ = await world.ask(world.gateways[0].front, "POST", f"/wording/{job[:6]}", headers,
                                   hand_in(items, "/wording/", "m0", desired=ITEMS // SIZE))
    world.record.line("hand_in", job=job, status=status)
    if status != 202:
        raise RuntimeError("the job is not accepted")
    sent = now()
    await asyncio.sleep(1.6)
    trouble = asyncio.ensure_future(disturb(world, job)) if TROUBLE else None

    held, breaks, whole = {}, {}, {}
    while now() - sent < READ_S and min(whole.values(), default=0) < ITEMS:
        for gateway in world.gateways:
            listed = await read_all(world, gateway, job)
            whole[gateway.name] = len(listed)
            places = {}
            for position, result in enumerate(listed):
                item = result["id"]
                first = held.setdefault(position, (item, gateway.name))
                if first[0] != item:
                    breaks.setdefault(("position", position),
                                      f"position {position} held {first[0]} at {first[1]}, and "
                                      f"{item} at {gateway.name}")
                if item in places:
                    breaks.setdefault(("item", item), f"item {item} stands at positions "
                                      f"{places[item]} and {position} at {gateway.name}")
                places[item] = position
            world.record.line("read", gateway=gateway.name, listed=len(listed),
                              age=f"{now() - sent:.2f}", breaks=len(breaks))
        await asyncio.sleep(0.5)
    if trouble:
        await trouble
    for position, (item, name) in sorted(held.items()):
        world.record.line("held", position=position, item=item, first_read_at=name)
    positions = sum(kind == "position" for kind, _ in breaks)
    print(f"listed {whole}; positions with two results: {positions}, items at two positions: "
          f"{len(breaks) - positions}")
    return list(breaks.values())


main(os.path.join(HERE, "record.txt"), play, LateStore)
