"""Checks of the rules on what minions were told and what clients were answered."""


def find_second_runs(events):
    """Return, by task, the starts that break TWICE.

    That is a start while another run of the task is at work, or after a run has ended
    ``done`` if that end is taken note of then or later, with no lease lapsed between.
    """
    noted = set()
    lapsed = {}
    done = {}
    for at, what, where, fields in events:
        if what == "lapse":
            lapsed.setdefault(where, []).append(at)
        if what == "end" and fields["how"] == "done":
            done[fields["task"], fields["run"]] = (at, where)
        if what == "noted" and fields["how"] == "done":
            ended = done.get((fields["task"], fields["run"]))
            if ended is None:
                continue
            if not any(ended[0] <= lapse <= at for lapse in lapsed.get(where, [])):
                noted.add((fields["task"], fields["run"]))
    found = {}
    running = {}
    ended = {}
    for at, what, _, fields in events:
        task = fields.get("task")
        if what == "start":
            if running.get(task):
                found.setdefault(task, []).append((at, "beside another run"))
            elif task in ended:
                found.setdefault(task, []).append(
                    (at, f"done {at - ended[task]:.3f} s before")
                )
            running.setdefault(task, set()).add(fields["run"])
        if what in ("end", "ended-by-upkeep"):
            running.get(task, set()).discard(fields.get("run"))
        if what == "end" and (task, fields["run"]) in noted:
            ended.setdefault(task, at)
    return found
