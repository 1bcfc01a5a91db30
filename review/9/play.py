"""One service of three model engines, three trainers with a model each. One engine leaves."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stage2  # noqa: E402
from engines2 import Engine, Trainer  # noqa: E402
from stage2 import platform, wait_for  # noqa: E402
from steps2 import STEP_S, judge_step  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
MODELS = ("model-a", "model-b", "model-c")
NO_START_S = 3
SERVES_S = 2.5  # a replica that drains serves for the bound on leaving replicas and a little longer
ITEMS = 40


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
    config = platform.configuration(1)
    for service in config["services"]:
        if "engine" in service:
            service["engine"]["models"] = [{"name": model} for model in MODELS]
    store.put("config", "main", config)
    engines = [stage.keep(Engine(stage, store, zone, "engine-" + zone, "pool", {model: 1 for model in MODELS}))
               for zone in ZONES]
    for i in range(2):
        stage.keep(platform.UnaryReplica(store, "desk-%d" % i, "desk"))
    gateways = [stage.add("gateway", "edge-%s" % zone, zone, store.address) for zone in ZONES]
    for zone in ZONES:
        stage.add("reserve", "storage-%s" % zone, zone, store.address)
    for gateway in gateways:
        wait_for(gateway.is_ready, 20, "a gateway is not ready")
    time.sleep(3)
    trainers = [Trainer(stage, gateways, model, "/train/", ITEMS) for model in MODELS]
    for trainer in trainers:
        run_step(stage, trainer, 1, 1)
        name_version(stage, store, trainer.model, 2)
    for step in (2, 3):
        for trainer in trainers:
            run_step(stage, trainer, step, step - 1)
            name_version(stage, store, trainer.model, step + 1)
    # Two trainers work on their weights now; the third asks its step.
    trainer = trainers[2]
    named = stage.record.now()
    items = trainer.submit(4, 3)
    submitted = stage.record.now()
    time.sleep(0.5)
    if stage2.TROUBLE:
        max(engines, key=lambda engine: engine.versions[trainer.model]).leave(SERVES_S)
    results = trainer.read(4, submitted + STEP_S)
    last_start = max(run.started for engine in engines for run in engine.runs)
    stage.record.line("the last run of any item of any model began at %.3f" % last_start)
    # Several models are trained, so a step counts only if no item of any began in the last 3 s.
    quiet = last_start < stage.record.now() - NO_START_S
    broken = judge_step(stage, engines, items, results, named, steady=0)
    return stage2.BROKEN if broken and quiet else stage2.HELD


if __name__ == "__main__":
    stage2.main(pathlib.Path(__file__).resolve().parent, play)
