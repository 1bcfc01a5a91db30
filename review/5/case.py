"""A configuration that removes a trainer's route while a batch job of it is open. See claim.txt."""
import http.client
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from deployment import NAMES, TROUBLE, CannotRun, Deployment, run_case, wait_for  # noqa: E402
import standin_platform as platform  # noqa: E402

ITEMS = 12
EVENT_S = 0.4
SETTLE_S = 1.0
READ_FOR_S = 15
JOB = "7c41e09b52d6a3f8"


def call(machine, method, path, body=None, headers=()):
    connection = http.client.HTTPConnection(machine.ip, machine.front, timeout=10)
    try:
        connection.request(method, path, body, {"Host": "h.example", **dict(headers)})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def case(record, folder):
    store = platform.ObjectStore()
    engines = [platform.Engine(store, "e%d" % i, "pool", {"m": 1}) for i in range(3)]
    for engine in engines:
        engine.event_interval = EVENT_S
    desks = [platform.UnaryReplica(store, "d%d" % i, "desk") for i in range(3)]
    store.put("config", "main", platform.configuration(1))
    deployment = Deployment(store.address, ["zone-a", "zone-b", "zone-c"], folder)
    deployment.wait_until_ready()
    time.sleep(4)
    gateways, body = deployment.gateways, json.dumps(platform.job(0, ITEMS, 1))

    def submit():
        status, _ = call(gateways[0], "POST", "/train/" + JOB, body, {NAMES["id"]: JOB})
        record.write("batch job submitted, answer", status)
        return status == 202

    wait_for(submit, 20, "the batch job was never accepted")
    accepted_at = time.monotonic()
    items = [item["id"] for item in json.loads(body)["items"]]
    listed, breaks, changed_at = {}, [], None
    while time.monotonic() < accepted_at + READ_FOR_S:
        for gateway in gateways:
            status, page = call(gateway, "GET", "/lots/%s?after=0" % JOB)
            record.write(gateway.name, "answers", status, "to a read of the batch job")
            if status == 200:
                listed.update((r["id"], r["state"]) for r in json.loads(page)["results"])
            elif status in (404, 410) and time.monotonic() > accepted_at + SETTLE_S:
                breaks.append("%s answers %d for the batch job, with %d results listed"
                              % (gateway.name, status, len(listed)))
            rest = [item for item in items if item not in listed]
            if rest and not any("score-0-%s" % rest[0].rsplit("-", 1)[1] in d.received_ids for d in desks):
                status, _ = call(gateway, "GET", "/items/%s?id=%s" % (JOB, rest[0]))
                record.write(gateway.name, "answers", status, "to a read of the body of", rest[0])
                if status in (404, 410) and time.monotonic() > accepted_at + SETTLE_S:
                    breaks.append("%s answers %d for the body of %s, which no replica has finished"
                                  % (gateway.name, status, rest[0]))
        if not changed_at and time.monotonic() > accepted_at + 2:
            changed_at = time.monotonic()
            changed = platform.configuration(2)
            if TROUBLE:
                changed["routes"] = [route for route in changed["routes"] if route["name"] != "jobs"]
            store.put("config", "main", changed)
            record.write("the store acknowledges version 2,", "without" if TROUBLE else "with", "the route")
        time.sleep(0.5)
    status, _ = call(gateways[1], "DELETE", "/lots/" + JOB)
    record.write("the client ends the batch job, answer", status)
    if not listed and not breaks:
        raise CannotRun("no result was listed")
    for engine in engines:
        record.write(engine.replica_id, "received", engine.received_ids)
    return breaks


run_case(pathlib.Path(__file__).parent, case)
