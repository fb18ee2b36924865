"""The two machines that read current state are cut off from the store."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

from standins import (  # noqa: E402
    HOST, Engine, Fleet, Gate, Router, Store, call, configuration, request_id, run,
)

KEPT_KEY = "wu3fexd9dnn2ctnfzs98"
REMOVED_KEY = "9anu6wsjnbanfqasnmgk"
# A read with `Serializable` may return data that is seconds old.
STALE_S = 3.0
CONFIG_APPLY_S = 2.0


async def case(record, fleet: Fleet, trouble):
    store = Store(record, lag_s=STALE_S)
    await store.start(fleet.next_ip())
    route = [("/fiti832/", "idempotent", "kafi81c")]
    await store.change(
        "config", "main", configuration(7, route, [KEPT_KEY, REMOVED_KEY], ["kafi81c"])
    )
    engines = [
        Engine(record, store, f"i-7f3a91c{n}", "kafi81c", f"alamo-{zone}")
        for n, zone in enumerate("ab")
    ]
    for engine in engines:
        await engine.start(fleet.next_ip())
    await asyncio.sleep(STALE_S + 0.2)
    gates = []
    for number in range(5):
        gate = Gate(store)
        await gate.start(fleet.next_ip())
        gates.append(gate)
        zone = "abc"[number % 3]
        name = f"edge-alamo-{zone}-{1 + number // 3}"
        fleet.routers.append(Router(fleet, name, f"alamo-{zone}", gate.address))
    await fleet.start()
    # The readers ask the store anew every 2.5 s. The cut begins soon after they have done so;
    # two in five cuts at any time begin early enough after it.
    await asyncio.sleep(8.7)

    async def ask(router, key):
        ident = request_id()
        status, _, _ = await call(
            router.front,
            "GET",
            "/fiti832/ti23/2f",
            [
                ("Host", HOST),
                ("Mangowalk-Request-Id", ident),
                ("Mangowalk-Deadline-Ms", "600"),
                ("Mangowalk-Key", key),
            ],
        )
        return ident, status

    by_name = sorted(range(5), key=lambda n: fleet.routers[n].name)
    cut, calm = by_name[:2], by_name[2:]
    if trouble:
        for number in cut:
            gates[number].is_open.clear()
            record.line(f"{fleet.routers[number].name} is cut off from the store, silently")
    await asyncio.sleep(0.2)
    await store.change("config", "main", configuration(9, route, [KEPT_KEY], ["kafi81c"]))
    acknowledged = record.now()
    record.line("the store acknowledges version 9, which removes a key")

    late = []
    while record.now() < acknowledged + 5:
        for number in calm:
            router = fleet.routers[number]
            age_s = record.now() - acknowledged
            ident, status = await ask(router, REMOVED_KEY)
            record.line(
                f"client asks {router.name} with the removed key {age_s:.3f} s after the"
                f" acknowledgement: {ident} gets {status}"
            )
            has_run = any(ident == run[0] for engine in engines for run in engine.runs)
            if age_s > CONFIG_APPLY_S and has_run:
                late.append((router.name, ident, age_s))
        await asyncio.sleep(0.1)
    for gate in gates:
        gate.is_open.set()
    for name, ident, age_s in late:
        record.line(
            f"CONFIG: {name}, in touch, ran {ident} with the removed key {age_s:.3f} s after the"
            " acknowledgement"
        )
    return bool(late)


run(case, FOLDER)
