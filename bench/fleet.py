"""Starts stand-ins and hosts on loopback for a bench, and ends them by pid."""

import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

from peer_relay import Relay

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "bin")
DOMAINS = ["ikeja-a", "ikeja-b", "lekki-a", "lekki-b"]
# Of this run alone: connections that other runs closed a minute ago hold the
# ports of their own address, and enough of them leave none to listen on.
ADDRESS = f"127.{os.getpid() >> 16 & 63 | 64}.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}"
START_TIMEOUT_S = 10
STOP_TIMEOUT_S = 15


def http(method, url, body=None, timeout=5):
    """Status and body text; the status is 0 where nobody answered."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError as error:
        return 0, str(error)


class Program:
    """One child process with its output in files."""

    def __init__(self, folder, name, arguments):
        self.name = name
        self.out_path = os.path.join(folder, name + ".out")
        out = open(self.out_path, "w")
        self.err_path = os.path.join(folder, name + ".err")
        err = open(self.err_path, "w")
        self.process = subprocess.Popen(arguments, stdout=out, stderr=err)

    def lines(self):
        with open(self.out_path) as out:
            return out.read().splitlines()

    def wait_for_line(self, start):
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            for line in self.lines():
                if line.startswith(start):
                    return line
            if self.process.poll() is not None:
                break
            time.sleep(0.02)
        with open(self.err_path) as err:
            raise RuntimeError(f"{self.name} did not start: {err.read()[-500:]}")

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Exit status; killed and reported as None where it does not end."""
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None

    def cpu_seconds(self):
        with open(f"/proc/{self.process.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_mib(self):
        with open(f"/proc/{self.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Host(Program):
    """One slatestalld."""

    def __init__(self, folder, name, domain, platform, options, relay=None):
        settings = {
            "host_name": name,
            "failure_domain": domain,
            "listen": f"{ADDRESS}:0",
            "peer_listen": f"{ADDRESS}:0",
            "log_url": platform,
            "host_list_url": platform,
            "drain_grace": "400ms",
            "log_level": "warn",
        }
        if relay:
            settings["peer_address"] = relay.address
        settings.update(options)
        path = os.path.join(folder, name + ".yaml")
        with open(path, "w") as file:
            for key, value in settings.items():
                file.write(f"{key}: {value}\n")
        super().__init__(folder, name, [f"{BIN}/slatestalld", "--settings", path])
        words = self.wait_for_line("slatestalld").split()
        self.url = f"http://{ADDRESS}:{words[3]}"
        self.peer = f"{ADDRESS}:{words[5]}"
        self.domain = domain
        self.relay = relay
        if relay:
            relay.target = (ADDRESS, int(words[5]))
            self.peer = relay.address

    def ready(self):
        """Serves, and knows endpoints of every service."""
        if http("GET", self.url + "/readyz", timeout=1)[0] != 200:
            return False
        status, text = http("GET", self.url + "/v1/admin/status", timeout=1)
        if status != 200:
            return False
        services = json.loads(text)["endpoints"].values()
        return all(service["reporting"] > 0 for service in services)


class Fleet:
    """Platform, endpoints and hosts of one trial."""

    def __init__(self, list_lag_ms=200, relays=False):
        self.relays = relays
        self.temporary = tempfile.TemporaryDirectory(prefix="slatestall-bench-")
        self.folder = self.temporary.name
        self.programs = []
        self.hosts = []
        self.endpoints = []
        self.ledgers = []
        self.platform_program = self.run("platform", [
            f"{BIN}/standin_platform", "--listen", f"{ADDRESS}:0",
            "--list-lag-ms", str(list_lag_ms)])
        line = self.platform_program.wait_for_line("platform")
        self.platform = "http://" + line.split()[1]
        self.balancer_path = os.path.join(self.folder, "balancer")

    def run(self, name, arguments):
        program = Program(self.folder, name, arguments)
        self.programs.append(program)
        return program

    def add_endpoints(self, name, kinds, options=()):
        """Starts one process of endpoints; kinds is a list of
        (kind, service). Returns the process and its endpoints."""
        ledger = os.path.join(self.folder, name + ".ledger")
        self.ledgers.append(ledger)
        spec = ",".join(f"{kind}:{ADDRESS}:0:{DOMAINS[i % len(DOMAINS)]}"
                        for i, (kind, _) in enumerate(kinds))
        program = self.run(name, [f"{BIN}/standin_endpoint", "--spec", spec,
                                  "--ledger-file", ledger, *options])
        program.wait_for_line("ready")
        added = []
        for i, ((kind, service), line) in enumerate(zip(kinds, program.lines())):
            _, address, domain = line.split()
            added.append({"service": service, "name": f"{name}-{i}", "kind": kind,
                          "address": address, "failure_domain": domain,
                          "state": "live"})
        self.endpoints += added
        self.list_lines(added)
        return program, added

    def list_lines(self, lines):
        status, text = http("POST", self.platform + "/hosts", {"hosts": lines})
        if status != 200:
            raise RuntimeError("host list: " + text)

    def list_host(self, host, state):
        self.list_lines([{"service": "slatestall", "name": host.name,
                          "address": host.peer,
                          "http_address": host.url[len("http://"):],
                          "failure_domain": host.domain, "state": state}])

    def start_host(self, name, options=None):
        domain = DOMAINS[len(self.hosts) % len(DOMAINS)]
        relay = Relay(ADDRESS) if self.relays else None
        host = Host(self.folder, name, domain, self.platform, options or {}, relay)
        self.programs.append(host)
        self.hosts.append(host)
        self.list_host(host, "live")
        return host

    def publish(self, source):
        base = 0
        status, text = http("GET", self.hosts[0].url + "/v1/admin/config")
        if status == 200:
            base = json.loads(text)["revision"]
        status, text = http("POST", self.hosts[0].url + "/v1/admin/config",
                            {"base": base, "source": source}, timeout=20)
        if status != 200:
            raise RuntimeError(f"not published: {status} {text}")

    def wait_ready(self, hosts=None, settle_s=0.2):
        until = time.monotonic() + START_TIMEOUT_S
        for host in hosts or self.hosts:
            while not host.ready():
                if time.monotonic() > until:
                    raise RuntimeError(host.name + " is not ready")
                time.sleep(0.05)
        time.sleep(settle_s)  # Hosts hear of one another.

    def balance_over(self, hosts):
        temporary = self.balancer_path + ".new"
        with open(temporary, "w") as file:
            file.write("".join(host.url + "\n" for host in hosts))
        os.replace(temporary, self.balancer_path)

    def platform_faults(self, change):
        status, text = http("POST", self.platform + "/faults", change)
        if status != 200:
            raise RuntimeError("platform faults: " + text)

    def endpoint_faults(self, endpoint, change):
        status, text = http("POST", f"http://{endpoint['address']}/faults", change)
        if status != 200:
            raise RuntimeError("endpoint faults: " + text)

    def start_load(self, flows, seconds, seed=1, hosts_path=None):
        name = f"load-{len(self.programs)}"
        flows_path = os.path.join(self.folder, name + ".flows")
        with open(flows_path, "w") as file:
            json.dump(flows, file)
        load = self.run(name, [
            f"{BIN}/load_generator", "--hosts-file", hosts_path or self.balancer_path,
            "--flows-file", flows_path, "--seconds", str(seconds),
            "--seed", str(seed),
            "--outcomes-file", os.path.join(self.folder, name + ".outcomes")])
        load.outcomes_path = os.path.join(self.folder, name + ".outcomes")
        return load

    def finish_load(self, load, timeout=60):
        if load.wait(timeout) != 0:
            with open(load.err_path) as err:
                raise RuntimeError("the load generator failed: " + err.read()[-500:])
        with open(load.out_path) as out:
            return json.load(out)

    def ledger_lines(self):
        for path in self.ledgers:
            with open(path) as file:
                for line in file:
                    if line.endswith("\n"):
                        yield json.loads(line)

    def close(self):
        for program in reversed(self.programs):
            program.send(signal.SIGCONT)
            program.send(signal.SIGTERM)
        for program in reversed(self.programs):
            program.wait()
        for host in self.hosts:
            if host.relay:
                host.relay.close()
        self.temporary.cleanup()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()
