"""A second route for batch jobs is added on the host of an open batch job: see claim.txt."""
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
KEY = "key-of-the-tenant"


def call(stage, gateway, method, path, key):
    headers = {NAMES["wait"]: "200", **({NAMES["credential"]: KEY} if key else {})}
    status, body = gateway.request(method, path, headers=headers)
    stage.note("%s %s at %s, %s key: %d %s" % (method, path, gateway.name, "with" if key else "without", status,
                                               body[:60]))
    return status, body


def read(stage, gateway, key):
    status, body = call(stage, gateway, "GET", "/lots/job-0?after=0", key)
    return json.loads(body)["results"] if status == 200 else []


def run(stage):
    engines = [stage.add(platform.Engine(stage.store, "engine-%d" % i, "pool", {"m": 1})) for i in range(2)]
    for engine in engines:
        engine.event_interval = 0.15
    for i in range(2):
        stage.add(platform.UnaryReplica(stage.store, "desk-%d" % i, "desk"))
    config = platform.configuration(1, {"tenant-1": [KEY]}, public=("jobs",))
    stage.configure(config)
    stage.start_gateways(3)
    wait_for(lambda: any("event=scheduler_started" in g.log_text() for g in stage.gateways), what="a scheduler")
    status, _ = stage.gateways[0].request("POST", "/train/x", json.dumps(platform.job(0, ITEMS, 1)), {
        NAMES["request_id"]: "job-0", NAMES["credential"]: KEY, "Content-Type": "application/json"})
    stage.note("submission of job-0: %d" % status)
    if status != 202:
        raise RuntimeError("the job was not accepted")
    first = wait_for(lambda: read(stage, stage.gateways[1], True), what="the first results")
    if TROUBLE:
        changed = copy.deepcopy(config)
        changed["version"] = 2
        jobs = next(route for route in config["routes"] if route["kind"] == "rollout")
        changed["routes"].append({**jobs, "name": "more-jobs", NAMES["prefix"]: "/more/", "public": False})
        stage.configure(changed)
    time.sleep(CONFIG_APPLY_S + 1)
    lost = sum(read(stage, gateway, key)[:len(first)] != first for gateway in stage.gateways for key in (True, False))
    stage.note("reads that don't give the results read before: %d of %d" % (lost, 2 * len(stage.gateways)))
    for key in (True, False):
        call(stage, stage.gateways[2], "DELETE", "/lots/job-0", key)
    return lost == 2 * len(stage.gateways)


stage3.play(FOLDER, run)
