"""What the scripts of the second review check of a trainer's steps."""

STEP_S = 12  # the trainer's deadline for a step
IDLE_S = 5  # an item may be at no replica for this long
AFTER_NAMING_S = 6  # and only later than this after a version was named


def longest_idle(item, runs, begin, end):
    """Returns the longest time from begin to end in which the item was at no replica."""
    longest, at = 0, begin
    for started, ended in sorted((run.started, run.ended or end) for run in runs if run.identity == item):
        if started > at:
            longest = max(longest, min(started, end) - at)
        at = max(at, ended)
    return max(longest, end - at)


def judge_step(stage, engines, items, results, named, steady):
    """Returns whether a step that has run out of time breaks the rule, and records what was seen.

    engines: all that serve the step; named: when the last version was named; steady: when the last disruption and
    the time after it had ended. Times are those of the record, which ends now.
    """
    end = stage.record.now()
    runs = [run for engine in engines for run in engine.runs if run.identity in items]
    listed = {result["id"] for result in results}
    begun = {run.identity for run in runs}
    for engine in engines:
        stage.record.line("%s: versions %s, %d orders, %d runs" % (
            engine.replica_id, engine.versions, len(engine.orders), len(engine.runs)))
    for run in runs:
        stage.record.line("ran %s at %s from %.3f to %s, resumed after %s, complete: %s" % (
            run.identity, run.engine.replica_id, run.started, "%.3f" % run.ended if run.ended else "the end",
            run.resumed_after, run.complete))
    stage.record.line("step: %d of %d results, %d items had begun" % (len(listed), len(items), len(begun)))
    if len(listed) == len(items):
        return False
    finished = {run.identity for run in runs if run.complete}
    begin = max(named + AFTER_NAMING_S, steady)
    idle = [item for item in items
            if item not in listed | finished and longest_idle(item, runs, begin, end) >= IDLE_S]
    alive = [engine for engine in engines if engine.alive and engine.state == "ready"]
    busiest = max((sum(run.started < end and (run.ended or end) > max(begin, end - IDLE_S) for run in engine.runs)
                   for engine in alive), default=0)
    stage.record.line("from %.3f to %.3f: %d items at no replica for %d s; at most %d of %d slots of a ready replica "
                      "were in use in the last %d s" % (
                          begin, end, len(idle), IDLE_S, busiest, engines[0].SLOTS, IDLE_S))
    return bool(idle and begun and 2 * busiest < engines[0].SLOTS)
