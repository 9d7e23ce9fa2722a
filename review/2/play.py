"""The operator splits the route of batch jobs between two services; a trainer then asks for a step."""
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from world import *

GROUPS, SIZE, DESIRED = 32, 4, 29  # the trainer waits for 90% of the groups
EVENTS, EVENT_S = 20, 0.1  # an item takes some 2.1 s
SLOTS, FIRST_SAMPLERS, NEW_SAMPLERS = 16, 3, 1
STEPS, STEP_S, TRAIN_S = 3, 12.0, 0.5  # a step runs out of time after 12 s
STEADY_S = 5.0


def routes(split):
    route = rollout_route("r-wording", "/wording/", "model-servers")
    if split:
        del route["service"]
        route["trafficSplit"] = [{"service": "model-servers-b", "weight": 10},
                                 {"service": "model-servers", "weight": 90}]
    return [route]


def services():
    return [llm_service("model-servers", ["m0"]), llm_service("model-servers-b", ["m0"])]


async def step(world, number, breaks):
    """Hands a step in, and reads its results until it is whole or out of time."""
    job = new_id()
    items = [(new_id(), f"g{number}-{i // SIZE}") for i in range(GROUPS * SIZE)]
    group_of = dict((item, group) for item, group in items)
    headers = {"Host": "desk.example", "Request-Id": job, "Content-Type": "application/json"}
    body = hand_in(items, "/wording/", "m0", step=number, desired=DESIRED)
    sent, turn, position, listed = now(), 0, 0, set()
    while True:
        status, _, _ = await world.ask(world.gateways[turn % 3].front, "POST",
                                       f"/wording/{job[:6]}", headers, body)
        world.record.line("hand_in", job=job, status=status)
        turn += 1
        if status == 202:
            break
        if now() - sent > 5:
            raise RuntimeError("a step is not accepted")
        await asyncio.sleep(0.3)
    whole = 0
    while whole < DESIRED and now() - sent < STEP_S:
        turn += 1
        status, _, page = await world.ask(
            world.gateways[turn % 3].front, "GET", f"/linenpier/lots/{job}?afterRev={position}",
            {"Host": "desk.example", "Wait-Ms": "500"}, timeout=2.5)
        if status == 200:
            for result in json.loads(page)["results"]:
                world.record.line("result", job=job, position=position, item=result["id"],
                                  state=result["state"], age=f"{now() - sent:.2f}")
                listed.add(result["id"])
                position += 1
        left = {group for item, group in group_of.items() if item not in listed}
        whole = GROUPS - len(left)
        await asyncio.sleep(0.3)
    over = now()
    took = over - sent
    if whole < DESIRED:
        breaks += lost(world, number, group_of, over)
    await world.ask(world.gateways[turn % 3].front, "DELETE", f"/linenpier/lots/{job}",
                    {"Host": "desk.example"})
    arrivals = {}
    for sampler in world.samplers:
        count = sum(run[0] in group_of for run in sampler.runs)
        arrivals[sampler.service] = arrivals.get(sampler.service, 0) + count
    world.record.line("step", number=number, whole=whole, desired=DESIRED, took=f"{took:.2f}",
                      runs=arrivals)
    print(f"step {number}: {whole} of {DESIRED} groups whole after {took:.1f} s; runs ended {arrivals}")


def lost(world, number, group_of, over):
    """Items that LOST counts: at no sampler for 5 s, while the samplers were under half full."""
    running = sum(sampler.running + sampler.waiting for sampler in world.samplers)
    slots = sum(sampler.slots for sampler in world.samplers)
    if running * 2 >= slots:
        return []
    at_sampler = set(each for sampler in world.samplers for each in sampler.open)
    last = {}
    for sampler in world.samplers:
        for request, _, ended, outcome in sampler.runs:
            done = outcome in ("answered", "422", "500")
            last[request] = max(last.get(request, 0), over if done else ended)
    waiting = [item for item in group_of
               if item not in at_sampler and over - last.get(item, 0) >= STEADY_S]
    if not waiting:
        return []
    return [f"step {number} ran out of time while {len(waiting)} of its {len(group_of)} items had been "
            f"at no sampler for {STEADY_S:.0f} s; {running} of {slots} places were taken"]


async def play(world):
    world.store.put("op", "config", configuration(1, routes(split=False), services()))
    for service, count in (("model-servers", FIRST_SAMPLERS), ("model-servers-b", NEW_SAMPLERS)):
        for sampler in await world.add_samplers(service, world.zones[0], count, SLOTS, "m0"):
            sampler.events, sampler.event_s = (lambda item: EVENTS), EVENT_S
    await world.start_gateways(3)
    await asyncio.sleep(8)
    breaks = []
    await step(world, 0, breaks)
    if TROUBLE:
        world.record.line("config", version=2, split="model-servers-b 10, model-servers 90")
        world.store.put("op", "config", configuration(2, routes(split=True), services()))
    await asyncio.sleep(4)
    for number in range(1, STEPS):
        await step(world, number, breaks)
        await asyncio.sleep(TRAIN_S + 6)
    return breaks


main(os.path.join(HERE, "record.txt"), play)
