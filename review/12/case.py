"""The route of an open batch job is removed on a host that has a route for everything else: see claim.txt."""
import copy
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stage3  # pylint: disable=wrong-import-position
from stage3 import NAMES, TROUBLE, platform, wait_for

ITEMS = 24
CONFIG_APPLY_S = 2
CANCEL_S = 3


class Desk(platform.UnaryReplica):
    """A plain service. It answers 404 for paths that it doesn't have."""

    def run(self, request, body):
        if request.path.startswith("/deposits/"):
            super().run(request, body)
        else:
            request.respond(404, b"no such page", self.headers(request))


def read(stage, gateway, after):
    status, body = gateway.request("GET", "/lots/job-0?after=%d" % after, headers={NAMES["wait"]: "200"})
    stage.note("read from %d at %s: %d %s" % (after, gateway.name, status, body[:60]))
    return status, json.loads(body)["results"] if status == 200 else []


def run(stage):
    engines = [stage.add(platform.Engine(stage.store, "engine-%d" % i, "pool", {"m": 1})) for i in range(2)]
    for engine in engines:
        engine.event_interval = 0.15
    for i in range(2):
        stage.add(Desk(stage.store, "desk-%d" % i, "desk"))
    config = platform.configuration(1)
    deposits = next(route for route in config["routes"] if route["kind"] == "idempotent")
    config["routes"].append({**deposits, "name": "rest", NAMES["prefix"]: "/"})
    stage.configure(config)
    stage.start_gateways(3)
    wait_for(lambda: any("event=scheduler_started" in g.log_text() for g in stage.gateways), what="a scheduler")
    status, _ = stage.gateways[0].request("POST", "/train/x", json.dumps(platform.job(0, ITEMS, 1)),
                                          {NAMES["request_id"]: "job-0", "Content-Type": "application/json"})
    stage.note("submission of job-0: %d" % status)
    if status != 202:
        raise RuntimeError("the job was not accepted")
    first = wait_for(lambda: read(stage, stage.gateways[1], 0)[1], what="the first results")
    if TROUBLE:
        changed = copy.deepcopy(config)
        changed["version"] = 2
        changed["routes"] = [route for route in changed["routes"] if route["kind"] != "rollout"]
        stage.configure(changed)
    time.sleep(CONFIG_APPLY_S + 1)
    lost = 0
    for gateway in stage.gateways:
        status, results = read(stage, gateway, 0)
        lost += status in (404, 410) or (status == 200 and results[:len(first)] != first)
    status, _ = stage.gateways[0].request("DELETE", "/lots/job-0")
    stage.note("end of job-0: %d" % status)
    stage.note("gateways that don't give the results read before: %d of %d" % (lost, len(stage.gateways)))
    time.sleep(CANCEL_S + 0.2)
    for engine in engines:
        engine.received_ids.clear()
    time.sleep(2)
    late = [request_id for engine in engines for request_id in engine.received_ids]
    stage.note("items sent to replicas more than %d s after the end: %s" % (CANCEL_S, late))
    return lost > 0


stage3.play(FOLDER, run)
