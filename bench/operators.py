"""What an operator is told by `slatestall apply` and `explain` when things go wrong, live.

Real hosts and the stand-in platform on loopback. Each case prints the command,
what it said and its exit code, and checks it against the records that the log
truly holds. Ends with 1 where an operator was told something untrue.
"""

import base64
import json
import os
import signal
import struct
import subprocess
import sys
import time
import urllib.request
import zlib

import sites
from fleet import BIN, Fleet, http

ROUNDS = 5  # Races of two operators.
CODES = {0: "in force", 1: "refused or not published", 2: "bad input", 3: "unknown",
         4: "unreachable"}
IN_FORCE, NEGATIVE, UNKNOWN = 0, 1, 3

problems = []


def expect(what, is_so):
    if not is_so:
        problems.append(what)
        print("   NOT AS EXPECTED:", what)


def write_file(fleet, name):
    """A pipeline file that differs from the others by a comment."""
    path = os.path.join(fleet.folder, name + ".yaml")
    with open(path, "w") as file:
        file.write(f"# {name}\n" + sites.PIPELINE_FILE)
    return path


def start_apply(path, host, *more):
    arguments = ["apply", path, "--host", host.url, "--json", *more]
    return subprocess.Popen([f"{BIN}/slatestall", *arguments], text=True,
                            stdout=subprocess.PIPE, stderr=subprocess.PIPE)


def finish_apply(started, label):
    out, err = started.communicate(timeout=90)
    told = json.loads(out) if out.strip() else {"detail": err}
    print(f"   {label}: exit {started.returncode} ({CODES.get(started.returncode)}), "
          f"revision {told.get('revision')}\n     {told.get('detail')}")
    return started.returncode, told


def apply(path, host, *more):
    return finish_apply(start_apply(path, host, *more), os.path.basename(path))


def source_of(record):
    """The pipeline file of a record, which is packed where that is shorter."""
    if "packed" not in record:
        return record.get("source")
    packed = record["packed"]
    return zlib.decompress(base64.b64decode(packed + "=" * (-len(packed) % 4))).decode()


def published(fleet, path):
    """How many records of the log hold this file, republications aside."""
    url = fleet.platform + "/log-read?topic=config&part=0&from=0&maxKb=65536"
    with urllib.request.urlopen(url, timeout=10) as answer:
        page = answer.read()[16:]  # Behind the end and the first offset.
    with open(path) as file:
        source = file.read()
    records = []
    while page:
        size = struct.unpack(">I", page[:4])[0]
        records.append(json.loads(page[4:4 + size]))
        page = page[4 + size:]
    return sum(1 for r in records if "base" in r and source_of(r) == source)


def in_force(host):
    _, text = http("GET", host.url + "/v1/admin/config")
    return json.loads(text)


def lost_answer(fleet):
    print("\n== The log takes the file and its answer is lost")
    path = write_file(fleet, "lost-answer")
    fleet.platform_faults({"lose_append_answers": 1})
    code, told = apply(path, fleet.hosts[0])
    expect("in force", code == IN_FORCE)
    expect("one record", published(fleet, path) == 1)
    expect("its revision", told["revision"] == in_force(fleet.hosts[1])["revision"])


def lost_answer_and_outage(fleet):
    print("\n== The answer is lost, and the log cannot be read for a while")
    path = write_file(fleet, "lost-and-down")
    base = in_force(fleet.hosts[0])["revision"]
    fleet.platform_faults({"lose_append_answers": 1, "outage": "reads"})
    code, told = apply(path, fleet.hosts[0], "--wait", "2")
    expect("unknown", code == UNKNOWN)
    expect("says with which base to go on", f"--base {base}" in told["detail"])
    fleet.platform_faults({"outage": "none"})
    print("   the log is back; the operator does as told:")
    code, told = apply(path, fleet.hosts[0], "--base", str(base))
    expect("in force after that", code == IN_FORCE)
    # Its host may not have read the first record yet when it publishes again;
    # the log's order then refuses the second.
    expect("decided once", told["revision"] == base + 1
           == in_force(fleet.hosts[1])["revision"])


def log_down(fleet):
    print("\n== The log takes nothing")
    path = write_file(fleet, "log-down")
    before = in_force(fleet.hosts[0])["revision"]
    fleet.platform_faults({"outage": "appends"})
    code, told = apply(path, fleet.hosts[0], "--wait", "3")
    fleet.platform_faults({"outage": "none"})
    time.sleep(1)
    # A 503 of the log proves nothing, so "unknown" is a true word too.
    expect("not told to be in force", code in (NEGATIVE, UNKNOWN))
    expect("nothing changed", in_force(fleet.hosts[0])["revision"] == before)
    expect("no record", published(fleet, path) == 0)


def race(fleet, number):
    paths = [write_file(fleet, f"race-{number}-{who}") for who in ("ama", "bola")]
    base = str(in_force(fleet.hosts[0])["revision"])
    started = [start_apply(path, host, "--base", base)
               for path, host in zip(paths, fleet.hosts)]
    ends = [finish_apply(s, os.path.basename(p)) for s, p in zip(started, paths)]
    codes = sorted(code for code, _ in ends)
    expect("one in force, one refused", codes == [IN_FORCE, NEGATIVE])
    if codes != [IN_FORCE, NEGATIVE]:
        return
    (_, winner), (_, loser) = sorted(ends, key=lambda end: end[0])
    expect("the loser is told who won", loser["revision"] == winner["revision"])
    won = paths[0] if ends[0][0] == IN_FORCE else paths[1]
    with open(won) as file:
        source = file.read()
    expect("every host serves the winner's file",
           all(in_force(host)["source"] == source for host in fleet.hosts[:3]))


def run_request(host):
    """Sends one reply to `host`; its request id."""
    status, text = http("POST", host.url + "/v1/workspaces/shop-1/pipelines/chat-reply",
                        {"input": "in stock?", "max_tokens": 4})
    return json.loads(text)["request_id"] if status == 200 else f"status {status}"


def explain(request, url):
    done = subprocess.run([f"{BIN}/slatestall", "explain", request, "--host", url],
                          capture_output=True, text=True, timeout=30, check=False)
    print(f"   explain {request}: exit {done.returncode}")
    for line in (done.stdout + done.stderr).splitlines()[:4]:
        print("     " + line)
    return done.returncode


def explain_elsewhere(fleet, closed):
    """`closed` serves operators at an address of their own."""
    print("\n== explain, asked of a host that did not run the request")
    operators = "http://127.0.0.1:" + closed.lines()[0].split()[-1]
    expect("closed at the callers' address",
           http("GET", closed.url + "/v1/admin/status")[0] == 404)
    expect("open at the operators'", http("GET", operators + "/v1/admin/status")[0] == 200)
    expect("found on an open host", explain(run_request(fleet.hosts[1]), operators) == IN_FORCE)
    request = run_request(closed)
    expect("found on the closed host", explain(request, fleet.hosts[0].url) == IN_FORCE)
    print("   and after that host was killed:")
    closed.send(signal.SIGKILL)
    closed.wait()
    expect("said to be unreachable", explain(request, fleet.hosts[0].url) == 4)


def main():
    with Fleet() as fleet:
        fleet.add_endpoints("engines", [sites.ENGINE] * 2, sites.ENGINE_OPTIONS)
        fleet.add_endpoints("pools", sites.POOLS + [sites.FAQ_FRONT, sites.BILLING])
        for i in range(3):
            fleet.start_host(f"entry-{i + 1}")
        closed = fleet.start_host("entry-4", {"operator_listen": "127.0.0.1:0"})
        fleet.publish(sites.PIPELINE_FILE)
        fleet.wait_ready(fleet.hosts[:3])
        while http("GET", closed.url + "/readyz")[0] != 200:
            time.sleep(0.05)
        lost_answer(fleet)
        lost_answer_and_outage(fleet)
        log_down(fleet)
        print(f"\n== Two operators at once, from one base, {ROUNDS} times")
        for number in range(1, ROUNDS + 1):
            race(fleet, number)
        explain_elsewhere(fleet, closed)
    print("\nproblems:", problems or "none")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
