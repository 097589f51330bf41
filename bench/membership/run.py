#!/usr/bin/env python3
"""Measures membership with real processes on loopback.

Starts --domains x --members copies of medlarspread_member_bench, waits until
all see all, and then prints, as one JSON line per fact:

  quiet     CPU, memory, messages and bytes per daemon over a quiet window
  killed    time until a killed member is out of all views, per domain
  stopped   the same for one that is frozen (SIGSTOP), and its way back
  revision  time until a new revision is in force on all

It signals only the processes that it started, by their ids.
"""

import argparse
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time

POLL_SECONDS = 0.05


class Member:
    def __init__(self, binary, directory, name, region, domain):
        self.name = name
        self.domain = domain
        self.path = os.path.join(directory, name + ".log")
        self.log = open(self.path, "wb")
        self.errors = open(os.path.join(directory, name + ".err"), "wb")
        self.process = subprocess.Popen(
            [binary, "--directory", directory, "--name", name,
             "--region", region, "--domain", domain],
            stdout=self.log, stderr=self.errors)
        self.is_running = True

    def send(self, number):
        self.process.send_signal(number)

    def lines(self, kind):
        """(wall seconds, fields) of each line of one kind."""
        found = []
        with open(self.path) as log:
            for line in log:
                words = line.split()
                if len(words) > 2 and words[1] == kind and line.endswith("\n"):
                    found.append((int(words[0]) / 1e6, words[2:]))
        return found

    def view(self):
        views = self.lines("view")
        if not views or views[-1][1][1] != "1":
            return 0
        return int(views[-1][1][0])

    def view_time(self, count, after):
        """When its view last came to have this many members."""
        for wall, words in self.lines("view"):
            if wall >= after and int(words[0]) == count:
                return wall
        return None


def wait_for(condition, seconds, what):
    end = time.time() + seconds
    while time.time() < end:
        if condition():
            return
        time.sleep(POLL_SECONDS)
    raise SystemExit("not in time: " + what)


def quantiles(values):
    values = sorted(values)
    return {"median": round(statistics.median(values), 3),
            "p99": round(values[int(0.99 * (len(values) - 1))], 3),
            "max": round(values[-1], 3)}


def report(fact, **values):
    print(json.dumps({"fact": fact, **values}), flush=True)


def worst_stall(members, since):
    """The longest time for which one of them did not run, in milliseconds."""
    return max((int(words[0]) for member in members
                for wall, words in member.lines("stall") if wall >= since),
               default=0)


def running(members):
    return [member for member in members if member.is_running]


def snapshot(members):
    before = {member: len(member.lines("stats")) for member in members}
    for member in members:
        member.send(signal.SIGUSR2)
    wait_for(lambda: all(len(m.lines("stats")) > before[m] for m in members),
             10, "statistics")
    return {m: (m.lines("stats")[-1][0],
                [int(word) for word in m.lines("stats")[-1][1]])
            for m in members}


def measure_quiet(members, seconds):
    first = snapshot(members)
    time.sleep(seconds)
    last = snapshot(members)
    rates = {"cpu_percent": [], "sent_messages": [], "sent_bytes": [],
             "received_messages": [], "received_bytes": []}
    for member in members:
        elapsed = last[member][0] - first[member][0]
        change = [b - a for a, b in zip(first[member][1], last[member][1])]
        rates["cpu_percent"].append(change[0] / 1e4 / elapsed)
        for name, index in (("sent_messages", 2), ("sent_bytes", 3),
                            ("received_messages", 4), ("received_bytes", 5)):
            rates[name].append(change[index] / elapsed)
    report("quiet", seconds=seconds, load=os.getloadavg()[0],
           rss_mb=quantiles([last[m][1][1] / 1024 for m in members]),
           links=quantiles([last[m][1][6] for m in members]),
           **{name + "_per_s" if name != "cpu_percent" else name:
              quantiles(values) for name, values in rates.items()})


def measure_loss(members, victim, number, fact):
    victim.is_running = False
    rest = running(members)
    count = len(rest)
    start = time.time()
    victim.send(number)
    wait_for(lambda: all(m.view_time(count, start) for m in rest), 30, fact)
    times = {m: m.view_time(count, start) - start for m in rest}
    own = [t for m, t in times.items() if m.domain == victim.domain]
    others = [t for m, t in times.items() if m.domain != victim.domain]
    report(fact, worst_stall_ms=worst_stall(rest, start), own_domain_s=quantiles(own) if own else None,
           other_domains_s=quantiles(others) if others else None)


def measure_return(members, sleeper):
    count = len(running(members)) + 1
    start = time.time()
    sleeper.send(signal.SIGCONT)
    sleeper.is_running = True
    rest = [m for m in members if m.is_running and m is not sleeper]
    wait_for(lambda: all(m.view_time(count, start) for m in rest), 30, "return")
    report("returned", s=quantiles([m.view_time(count, start) - start
                                    for m in rest]))


def measure_revision(members, origin, revision):
    live = running(members)
    start = time.time()
    origin.send(signal.SIGUSR1)

    def reached(member):
        for wall, words in member.lines("revision"):
            if int(words[0]) >= revision:
                return wall
        return None

    wait_for(lambda: all(reached(m) for m in live), 30, "revision")
    report("revision", s=quantiles([reached(m) - start for m in live]))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary",
                        default="build/bench/medlarspread_member_bench")
    parser.add_argument("--domains", type=int, default=1)
    parser.add_argument("--members", type=int, default=8, help="per domain")
    parser.add_argument("--quiet-seconds", type=float, default=10)
    parser.add_argument("--losses", type=int, default=3)
    options = parser.parse_args()
    total = options.domains * options.members
    if total > 200:
        sys.exit("at most 200 processes")
    report("setting", domains=options.domains, members=options.members)
    directory = tempfile.mkdtemp(prefix="members-")
    print("logs in", directory, file=sys.stderr)
    members = []
    try:
        start = time.time()
        for index in range(total):
            domain = index % options.domains
            members.append(Member(options.binary, directory, f"vm-{index:03d}",
                                  f"region-{domain % 6}", f"domain-{domain:02d}"))
        wait_for(lambda: all(m.view() == total for m in members), 60, "start")
        report("started", s=round(time.time() - start, 2))
        time.sleep(3)
        measure_quiet(members, options.quiet_seconds)
        for loss in range(options.losses):
            measure_loss(members, members[loss], signal.SIGKILL, "killed")
            time.sleep(1)
        sleeper = members[options.losses]
        measure_loss(members, sleeper, signal.SIGSTOP, "stopped")
        time.sleep(1)
        measure_return(members, sleeper)
        time.sleep(1)
        for revision in range(1, 4):
            measure_revision(members, members[options.losses + 1], revision)
    finally:
        for member in members:
            if member.process.poll() is None:
                member.process.send_signal(signal.SIGCONT)
                member.process.terminate()
        for member in members:
            try:
                member.process.wait(timeout=5)
            except subprocess.TimeoutExpired:
                member.process.kill()
                member.process.wait()


if __name__ == "__main__":
    main()
