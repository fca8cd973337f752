"""What a script shares: the store, what engines ran, what clients asked."""
import itertools

from store import Store


class World:
    def __init__(self):
        self.store = Store()
        self.runs = []  # Time, request, engine, path.
        self.asks = []
        self.counter = itertools.count(1)

    def next(self):
        return next(self.counter)

    def publish(self, version, routes, services):
        self.store.put("keyed.op", "config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "t", "apiKeys": ["key-of-t"],
                         "priority": 1}]})


def route(name, prefix, kind, service, timeout_ms, slo_ms, attempts=1,
          resumable=False, stages=()):
    return {"name": name, "host": "x.example", "pathPrefix": prefix,
            "type": kind, "timeoutMs": timeout_ms, "sloMs": slo_ms,
            "priority": 0, "service": service, "attempts": attempts,
            "stages": list(stages), "public": False, "sticky": kind == "stream",
            "resumable": resumable, "gapTargetMs": 400}


def stage_service(name, batch, call_ms, item_ms):
    return {"name": name, "healthPath": "/healthz", "maxConns": 360,
            "protocol": "h1", "tls": False,
            "pieces": {"slots": 1, "queue": 2, "batch": batch,
                       "callMs": call_ms, "itemMs": item_ms,
                       "headroomMb": 37.0, "handleS": 4.0, "linkMbps": 10000}}


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConns": 360,
            "protocol": "h1", "tls": False}
