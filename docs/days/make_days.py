#!/usr/bin/env python3
"""Writes days in which troubles meet, for the users' bench.

    make_days.py OUT gap            the gap day and its variants
    make_days.py OUT lean           ends of controllers, cuts and bursts on small machines
    make_days.py OUT meet N [SEED]  N days with two or three drawn troubles that overlap

Each file is a day as the bench takes it (`fleetbench run SITE FILE --seed N`). The drawn ones
depend on SEED alone, so that a day that broke a rule can be made again.
"""

import random
import sys
from pathlib import Path

# The class that the gap day cancels, by site; a day for another site names its own.
GAP_JOBS = (
    'jobs = [{name = "fraudscore", cancelled = 0.8, '
    "run_s = {median = 122.4, p95 = 153.0, max = 173.4}}]"
)


def fault(at, kind, **fields):
    parts = ["at_s = %.1f" % at, 'kind = "%s"' % kind]
    for name, value in fields.items():
        if isinstance(value, bool):
            shown = str(value).lower()
        elif isinstance(value, str):
            shown = '"%s"' % value
        else:
            shown = str(value)
        parts.append("%s = %s" % (name, shown))
    return "{" + ", ".join(parts) + "}"


def day(name, seed, duration, faults, extra=""):
    lines = ['name = "%s"' % name, "seed = %d" % seed, "duration_s = %.1f" % duration]
    if extra:
        lines.append(extra)
    lines.append("faults = [\n  " + ",\n  ".join(faults) + ",\n]")
    return "\n".join(lines) + "\n"


def cut_from_state(at, length, mode="refuse"):
    return fault(at, "node_cut", count=1, busiest=True, from_state=True, mode=mode, for_s=length)


def gap_days():
    def gap(name, before, outage, first=14.0, mode="refuse", more=()):
        faults = [
            cut_from_state(70.0, first, mode),
            fault(70.0 + before, "state_outage", for_s=outage),
            cut_from_state(156.0, first, mode),
            fault(156.0 + before, "state_outage", for_s=outage),
            *more,
        ]
        return day(name, 11, 283.0, faults, GAP_JOBS)

    yield "gap", gap("gap", 2.0, 63.0)
    for before in (0.5, 1.0, 3.0, 4.5, 6.0):
        yield "gap-before-%g" % before, gap("gap-before-%g" % before, before, 63.0)
    for outage in (5.0, 12.0, 25.0, 40.0, 75.0):
        yield "gap-outage-%g" % outage, gap("gap-outage-%g" % outage, 2.0, outage)
    crash = [fault(95.0, "node_crash", count=1, busiest=True)]
    yield "gap-leader-ends", gap("gap-leader-ends", 2.0, 63.0, more=crash)
    twice = [cut_from_state(88.0, 10.0), cut_from_state(137.5, 8.0)]
    yield "gap-two-cuts", gap("gap-two-cuts", 2.0, 14.0, more=twice)
    yield "gap-hold", gap("gap-hold", 2.0, 63.0, mode="hold")
    slow = [fault(66.0, "state_slow", factor=150.0, for_s=8.0),
            fault(152.0, "state_slow", factor=300.0, for_s=8.0)]
    yield "gap-slow", gap("gap-slow", 2.0, 40.0, more=slow)
    hung = [fault(69.0, "machine_hang", count=60, for_s=45.0)]
    yield "gap-hung", gap("gap-hung", 1.0, 63.0, more=hung)
    called = [fault(71.0, "cancel_now", count=12, hang_s=30.0),
              fault(157.0, "cancel_now", count=12)]
    yield "gap-called-off", gap("gap-called-off", 2.0, 63.0, more=called)


def lean_days():
    """Days on which workers change nodes, or ask more than usual, for sites of little processor."""

    def lean(name, *faults):
        return name, day(name, 11, 300.0, faults)

    yield lean("lean-roll", fault(80.0, "node_roll", every_s=12.0),
               fault(200.0, "node_roll", every_s=8.0))
    yield lean("lean-two-end", *[fault(at, "node_crash", count=2, busiest=True)
                                 for at in (80.0, 130.0, 180.0)])
    yield lean("lean-all-end", fault(90.0, "node_crash", count=9, busiest=True),
               fault(170.0, "node_crash", count=9, busiest=True))
    # A class of each site.
    for job_class in ("fraudscore", "loadcast"):
        yield lean("lean-burst-" + job_class,
                   fault(80.0, "poll_storm", factor=8.0, for_s=120.0),
                   fault(90.0, "job_burst", **{"class": job_class}, factor=3.0, for_s=60.0),
                   fault(120.0, "node_crash", count=1, busiest=True))
    yield lean("lean-leader-without-workers",
               fault(80.0, "node_cut", count=1, busiest=True, from_workers=True, mode="hold",
                     for_s=90.0))
    yield lean("lean-peers-refuse", fault(80.0, "peers_refuse", for_s=120.0),
               fault(100.0, "node_crash", count=1, busiest=True),
               fault(150.0, "node_crash", count=1, busiest=True))
    yield lean("lean-nodes-cut-from-each-other",
               fault(80.0, "node_cut", count=2, busiest=False, from_peers=True, mode="hold",
                     for_s=60.0),
               fault(160.0, "node_cut", count=1, busiest=True, from_peers=True, mode="reset",
                     for_s=60.0))


def troubles(rng, at):
    """Troubles to draw from, each beginning about then."""
    t = at + rng.uniform(0.0, 6.0)
    length = rng.choice([4.0, 8.0, 15.0, 25.0, 40.0, 60.0])
    mode = rng.choice(["hold", "reset"])
    return [
        [cut_from_state(t, min(length, 25.0), rng.choice(["hold", "refuse"]))],
        [cut_from_state(t, 12.0), fault(t + rng.uniform(0.5, 4.0), "state_outage", for_s=length)],
        [fault(t, "state_outage", for_s=length)],
        [fault(t, "state_slow", factor=rng.choice([15.0, 100.0, 300.0]), for_s=length)],
        [fault(t, "late_writes", share=rng.choice([0.1, 0.3, 0.6]), for_s=length)],
        [fault(t, "late_writes", share=rng.choice([0.1, 0.3]), for_s=length, at_once=True)],
        [fault(t, "late_reports", share=rng.choice([0.1, 0.4]), for_s=length)],
        [fault(t, "late_reports", share=rng.choice([0.1, 0.4]), for_s=length, for_next=True)],
        [fault(t, "machine_deaf", share=rng.choice([0.05, 0.2, 0.5]), for_s=length)],
        [fault(t, "machine_mute", share=rng.choice([0.05, 0.2, 0.5]), for_s=length)],
        [fault(t, "machine_hang", count=rng.choice([20, 100]), for_s=length)],
        [fault(t, "machine_die", count=rng.choice([10, 80]))],
        [fault(t, "cancel_now", count=rng.choice([5, 25]), hang_s=rng.choice([10.0, 40.0]))],
        [fault(t, "cancel_now", count=25)],
        [fault(t, "cancel_at_end", share=0.7, for_s=60.0)],
        [fault(t, "close_looks", for_s=60.0), fault(t + 1.0, "odd_requests", for_s=60.0)],
        [fault(t, "node_cut", count=1, busiest=True, from_state=True, from_peers=True,
               mode="hold", for_s=length)],
        [fault(t, "node_cut", count=1, busiest=True, from_workers=True, mode=mode, for_s=length)],
        [fault(t, "node_freeze", count=1, busiest=True, for_s=rng.choice([2.6, 6.0, 20.0]))],
        [fault(t + k * 12.0, "node_crash", count=1, busiest=True) for k in range(10)],
        [fault(t + k * 3.0, "node_crash", count=1, busiest=True) for k in range(4)],
        [fault(t, "node_crash", count=9, busiest=True)],
        [fault(t, "node_roll", every_s=12.0)],
        [fault(t, "peers_refuse", for_s=length)],
    ]


def meeting(number, seed):
    rng = random.Random(seed * 100_003 + number)
    faults = []
    for at in (70.0, 150.0, 230.0):
        drawn = rng.sample(troubles(rng, at), rng.choice([2, 2, 3]))
        faults += [one for each in drawn for one in each]
    faults.append(fault(40.0, "close_looks", for_s=260.0))
    name = "meet-%d-%d" % (seed, number)
    return name, day(name, seed * 1000 + number, 320.0, faults)


def main():
    out, what = Path(sys.argv[1]), sys.argv[2]
    out.mkdir(parents=True, exist_ok=True)
    if what == "gap":
        made = gap_days()
    elif what == "lean":
        made = lean_days()
    else:
        seed = int(sys.argv[4]) if len(sys.argv) > 4 else 1
        made = (meeting(number, seed) for number in range(int(sys.argv[3])))
    for name, text in made:
        (out / (name + ".toml")).write_text(text)
        print(out / (name + ".toml"))


if __name__ == "__main__":
    main()
