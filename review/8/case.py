"""A tenant becomes isolated by a new version of the configuration."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

from standins import (  # noqa: E402
    HOST, Engine, Fleet, Router, Store, call, configuration, json_message, request_id, run,
)

MODEL = "daka510000"
KEYS = {"sese880": "wu3fexd9dnn2ctnfzs98", "nyse130": "9anu6wsjnbanfqasnmgk"}
SHARED_PART = "5c1e07a2:2520"
CONFIG_APPLY_S = 2.0


class ModelEngine(Engine):
    """A model engine that keeps the parts of prompts under the salt of the request, with the
    tenant whose request made them."""

    content_headers = (("Content-Type", "text/event-stream"), ("Mangowalk-Weight-Versions", "1"))

    def content(self, ident):
        return f"id: 1\ndata: result of {ident}\n\n".encode()

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.models = [{"Name": MODEL, "Version": 1, "Adapters": []}]
        self.kept = {}
        self.crossings = []

    async def answer(self, reader, method, target, headers, body):
        if target == "/api/report":
            return await self.report()
        answer, ident, has_run = await super().answer(reader, method, target, headers, body)
        if has_run:
            self.read_prompt(ident, headers)
        return answer, ident, has_run

    async def report(self):
        report = {
            "Stage": "both", "Models": self.models, "Busy": False, "Seq": 0, "Queued": 0,
            "Running": self.running, "KvUsed": 0, "KvTotal": 82259, "Handles": 0,
            "born": self.born,
        }
        return json_message("200 OK", report), None, False

    def read_prompt(self, ident, headers):
        """Uses the parts that are kept under the salt, as long as all parts before are kept
        too, and keeps those that it reads."""
        tenant = headers.get("mangowalk-tenant", "")
        salt = headers.get("mangowalk-cache-salt", "")
        is_kept = True
        for entry in headers.get("mangowalk-prompt-prefix", "").split(","):
            part = entry.split(":")[0].strip()
            maker = self.kept.get((salt, part))
            is_kept = is_kept and maker is not None
            if not is_kept:
                self.kept[(salt, part)] = tenant
            self.record.line(
                f"engine {self.ident} for {ident} of {tenant}, salt {salt}, part {part}: "
                + (f"uses what {maker} made" if is_kept else "reads it")
            )
            if is_kept and maker != tenant:
                self.crossings.append((self.record.now(), ident, tenant, part, maker))


def tenants(isolated):
    return [
        {
            "Name": name,
            "ApiKeys": [key],
            "Priority": 1,
            "Unit": "tokens",
            "PlainTokens": 200,
            "Isolated": name in isolated,
            "RatePerS": 166196,
            "Burst": 166196,
        }
        for name, key in KEYS.items()
    ]


def model_configuration(version, isolated):
    spec = configuration(
        version, [("/lepu270/", "streaming", "huvo11a")], [], ["huvo11a"], tenants(isolated)
    )
    spec["Routes"][0].update(
        {"TimeoutMs": 6000, "TargetLatencyMs": 800, "Sticky": True, "Resumable": False,
         "TargetGapMs": 500, "MaxAttempts": 1}
    )
    spec["Services"][0]["Engine"] = {
        "Slots": 96, "KvCapacity": 82259, "KvTokenBytes": 262144, "LinkMbps": 1100000.0,
        "Moves": True, "Backups": True, "Stride": 4, "MaxInflight": 12, "PinMs": 4000.0,
        "HoldMs": 2000.0, "handle_s": 5.0, "Models": [{"Name": MODEL}],
    }
    return spec


async def case(record, fleet: Fleet, trouble):
    store = Store(record)
    await store.start(fleet.next_ip())
    await store.change("versions", MODEL, {"Model": MODEL, "Version": 1})
    await store.change("config", "main", model_configuration(7, []))
    engines = [
        ModelEngine(record, store, f"i-7f3a91c{n}", "huvo11a", f"alamo-{zone}", slots=96)
        for n, zone in enumerate("abc")
    ]
    for engine in engines:
        await engine.start(fleet.next_ip())
    fleet.routers = [Router(fleet, f"edge-alamo-{z}-1", f"alamo-{z}", store.address) for z in "abc"]
    await fleet.start()
    await asyncio.sleep(3.5)

    async def ask(number, tenant):
        ident = request_id()
        own_part = ident[:8]
        status, _, _ = await call(
            fleet.routers[number % 3].front,
            "POST",
            "/lepu270/2f",
            [
                ("Host", HOST),
                ("Mangowalk-Request-Id", ident),
                ("Mangowalk-Model", MODEL),
                ("Mangowalk-Token-Usage", "2600,20"),
                ("Mangowalk-Prompt-Prefix", f"{SHARED_PART},{own_part}:80"),
                ("Mangowalk-Deadline-Ms", "6000"),
                ("Mangowalk-Key", KEYS[tenant]),
            ],
            b"prompt",
        )
        record.line(f"client of {tenant} gets {status} for {ident}")

    record.line("sese880 isn't isolated and sends prompts")
    for number in range(12):
        await ask(number, "sese880")
    if trouble:
        await store.change("config", "main", model_configuration(9, ["sese880"]))
        record.line("the store acknowledges version 9, by which sese880 is isolated")
    changed_s = record.now()
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    judged_from_s = record.now()
    for number in range(12):
        await ask(number, "nyse130")
        await ask(number, "sese880")
    crossings = [
        crossing for engine in engines for crossing in engine.crossings
        if crossing[0] > judged_from_s
    ]
    for at_s, ident, tenant, part, maker in crossings:
        record.line(
            f"{'WALL' if trouble else 'shared'}: {ident} of {tenant} uses part {part}, which a"
            f" request of {maker} made, {at_s - changed_s:.1f} s after the change"
        )
    return trouble and bool(crossings)


run(case, FOLDER)
