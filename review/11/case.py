"""A route for batch jobs is added on a path to which kiosks send photos: see claim.txt."""
import copy
import http.client
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stage3  # pylint: disable=wrong-import-position
from stage3 import NAMES, TROUBLE, KeptConnection, platform

GATEWAYS = 4
CLIENTS_PER_GATEWAY = 3
WORK_S = 0.3
# The rule allows three requests that are passed on and whose connection is closed without an answer.
ALLOWED_CUTS = 3
PHOTO = b"\xff\xd8\xff\xe0\x00\x10JFIF\x00" + bytes(range(256)) * 4


def send_photo(stage, gateways, number):
    """Sends a photo, and once more to another gateway if the connection ends without an answer."""
    for attempt, gateway in enumerate(gateways):
        request_id = "photo-%d-%d" % (number, attempt)
        try:
            status, _ = gateway.request("POST", "/deposits/photos/lot", PHOTO, {
                NAMES["request_id"]: request_id, NAMES["deadline"]: "1500"}, timeout=2)
            stage.note("%s to %s: %d" % (request_id, gateway.name, status))
            if status in (200, 400, 404):
                return
        except (OSError, http.client.HTTPException) as error:
            stage.note("%s to %s: no answer (%r)" % (request_id, gateway.name, error))


def run(stage):
    desks = [stage.add(platform.UnaryReplica(stage.store, "desk-%d" % i, "desk")) for i in range(4)]
    for desk in desks:
        desk.delay = WORK_S
    for i in range(2):
        stage.add(platform.Engine(stage.store, "engine-%d" % i, "pool", {"m": 1}))
    config = platform.configuration(1)
    stage.configure(config)
    stage.start_gateways(GATEWAYS)
    clients = [KeptConnection(stage, gateway, number)
               for gateway in stage.gateways for number in range(CLIENTS_PER_GATEWAY)]
    time.sleep(2)
    send_photo(stage, stage.gateways[:2], 0)
    if TROUBLE:
        changed = copy.deepcopy(config)
        changed["version"] = 2
        jobs = next(route for route in config["routes"] if route["kind"] == "rollout")
        changed["routes"].append({**jobs, "name": "photo-jobs", NAMES["prefix"]: "/deposits/photos/"})
        stage.configure(changed)
    time.sleep(4)
    for number in range(1, 4):
        first = number % GATEWAYS
        send_photo(stage, (stage.gateways + stage.gateways)[first:first + 2], number)
        time.sleep(1.5)
    cut = stage3.cut_requests(stage, clients, desks)
    for gateway in stage.gateways:
        for line in gateway.log_text().splitlines():
            if "event=failed" in line:
                stage.note("log: " + line[line.index("level="):])
    return len(cut) > ALLOWED_CUTS


stage3.play(FOLDER, run)
