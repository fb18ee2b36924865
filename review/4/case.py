"""An extra response of a faulty engine arrives in place of the next response."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

from standins import (  # noqa: E402
    HOST, Engine, Fleet, Router, Store, call, configuration, message, request_id, run,
)

KEY = "wu3fexd9dnn2ctnfzs98"
REQUESTS = 60


async def case(record, fleet: Fleet, trouble):
    store = Store(record)
    await store.start(fleet.next_ip())
    sent_extra = []

    def extra(ident):
        """The second answer to a request, each tenth time, if the engine is faulty. Its queue
        reports a request as rejected that was answered before."""
        faulty.count += 1
        if not trouble or faulty.count % 10:
            return None
        sent_extra.append(ident)
        return message(
            "503 Service Unavailable",
            [("Mangowalk-Request-Id", ident), ("Mangowalk-Not-Executed", "1")],
        )

    faulty = Engine(record, store, "i-7f3a91c2", "kafi81c", "alamo-a", extra=extra)
    faulty.count = 0
    sound = Engine(record, store, "i-02d9e6b4", "kafi81c", "alamo-b")
    await store.change(
        "config", "main", configuration(7, [("/fiti832/", "non_idempotent", "kafi81c")], [KEY], ["kafi81c"])
    )
    for engine in (faulty, sound):
        await engine.start(fleet.next_ip())
    fleet.routers = [Router(fleet, f"edge-alamo-{z}-1", f"alamo-{z}", store.address) for z in "abc"]
    await fleet.start()
    await asyncio.sleep(3.5)

    statuses = {}
    for number in range(REQUESTS):
        router = fleet.routers[number % 3]
        ident = request_id()
        record.line(f"client sends {ident} to {router.name}")
        status, headers, body = await call(
            router.front,
            "POST",
            "/fiti832/ti23/2f",
            [
                ("Host", HOST),
                ("Mangowalk-Request-Id", ident),
                ("Mangowalk-Deadline-Ms", "1000"),
                ("Mangowalk-Key", KEY),
            ],
            b"one order",
        )
        statuses[ident] = status
        record.line(f"client gets {status} for {ident}: {body.decode(errors='replace').strip()}")
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)

    runs = {}
    for engine in (faulty, sound):
        for ident, _, _ in engine.runs:
            runs[ident] = runs.get(ident, 0) + 1
    twice = [ident for ident, count in runs.items() if count > 1]
    refused = [i for i, status in statuses.items() if status in (408, 421, 429, 503) and i in runs]
    record.line(f"extra responses planned: {len(sent_extra)}; statuses: {sorted(set(statuses.values()))}")
    for ident in twice:
        record.line(f"TWICE: {ident} ran {runs[ident]} times")
    for ident in refused:
        record.line(f"REFUSED: {ident} was refused with {statuses[ident]} and has run")
    return bool(twice)


run(case, FOLDER)
