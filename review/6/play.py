"""Two services of model engines, each with a trainer of its own model. A replica of the second service leaves."""
import copy
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stage2  # noqa: E402
from engines2 import Engine, Trainer  # noqa: E402
from stage2 import platform, wait_for  # noqa: E402
from steps2 import STEP_S, judge_step  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
NO_START_S = 3
SERVES_S = 2.5  # a replica that drains serves for the bound on leaving replicas and a little longer
TROUBLE_AFTER_S = 0.5


def configuration():
    """The configuration of the platform's tests, with a second service of engines and a route to it."""
    config = platform.configuration(1)
    route = [entry for entry in config["routes"] if entry["kind"] == "rollout"][0]
    other = copy.deepcopy(route)
    other["name"], other["service"] = "jobs-notes", "notes"
    for key, value in other.items():
        if value == "/train/":
            other[key] = "/notes/"
    config["routes"].append(other)
    pool = [entry for entry in config["services"] if entry["name"] == "pool"][0]
    pool["engine"]["models"] = [{"name": "letters"}]
    notes = copy.deepcopy(pool)
    notes["name"] = "notes"
    notes["engine"]["models"] = [{"name": "notes"}]
    config["services"].append(notes)
    return config


def name_version(stage, store, model, version):
    store.put("versions", model, {"model": model, "version": version})
    stage.record.line("version %d of %s named" % (version, model))
    return stage.record.now()


def run_step(stage, trainer, step, min_version):
    items = trainer.submit(step, min_version)
    if items is None:
        raise stage2.CannotRun("step %d of %s was not accepted" % (step, trainer.model))
    results = trainer.read(step, stage.record.now() + STEP_S)
    stage.record.line("step %d of %s: %d of %d results" % (step, trainer.model, len(results), len(items)))
    if len(results) < len(items):
        raise stage2.CannotRun("step %d of %s was not finished before the trouble" % (step, trainer.model))
    trainer.end(step)


def play(stage):
    store = stage.keep(platform.ObjectStore())
    store.put("config", "main", configuration())
    # Each replica of the second service is alone in its zone.
    letters = [stage.keep(Engine(stage, store, ZONES[2], "letters-%d" % i, "pool", {"letters": 1})) for i in range(2)]
    notes = [stage.keep(Engine(stage, store, ZONES[i], "notes-%d" % i, "notes", {"notes": 1})) for i in range(2)]
    for i in range(2):
        stage.keep(platform.UnaryReplica(store, "desk-%d" % i, "desk"))
    gateways = [stage.add("gateway", "edge-%s" % zone, zone, store.address) for zone in ZONES]
    for zone in ZONES:
        stage.add("reserve", "storage-%s" % zone, zone, store.address)
    for gateway in gateways:
        wait_for(gateway.is_ready, 20, "a gateway is not ready")
    time.sleep(3)
    letters_trainer = Trainer(stage, gateways, "letters", "/train/", 16)
    notes_trainer = Trainer(stage, gateways, "notes", "/notes/", 40)
    # Both trainers take a step; that of the letters has no more to do then.
    run_step(stage, letters_trainer, 1, 1)
    name_version(stage, store, "letters", 2)
    run_step(stage, notes_trainer, 1, 1)
    for step in (2, 3):
        name_version(stage, store, "notes", step)
        run_step(stage, notes_trainer, step, step - 1)
    named = name_version(stage, store, "notes", 4)
    items = notes_trainer.submit(4, 3)
    submitted = stage.record.now()
    deadline = submitted + STEP_S
    time.sleep(TROUBLE_AFTER_S)
    if stage2.TROUBLE:
        # The replica of this service whose weights are new; the other one is sound and stays.
        leaving = max(notes, key=lambda engine: engine.versions["notes"])
        leaving.leave(SERVES_S)
    results = notes_trainer.read(4, deadline)
    last_start = max((run.started for engine in letters + notes for run in engine.runs), default=0)
    stage.record.line("the last run of any item of any model began at %.3f" % last_start)
    # Several models are trained, so a step counts only if no item of any began in the last 3 s.
    quiet = last_start < stage.record.now() - NO_START_S
    broken = judge_step(stage, notes, items, results, named, steady=0)
    return stage2.BROKEN if broken and quiet else stage2.HELD


if __name__ == "__main__":
    stage2.main(pathlib.Path(__file__).resolve().parent, play)
