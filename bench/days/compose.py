#!/usr/bin/env python3
"""Writes a day of a site with the disruptions of one of the files beside this.

    compose.py SITE.toml MIX.toml > DAY.toml

Traffic and marks are those of the site's first quiet day. A service named
"#0", "#1", ... in a mix stands for the site's services in their order, a class
"#0", ... for its kinds of request, a zone "#0", ... for its failure domains.
"""
import sys
import tomllib


def toml(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value + '"'
    if isinstance(value, list):
        return "[" + ", ".join(toml(v) for v in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{k} = {toml(v)}" for k, v in value.items()) + " }"
    return repr(value)


def distinct(items):
    return list(dict.fromkeys(items))


def resolve(entry, names):
    out = {}
    for key, value in entry.items():
        if isinstance(value, str) and value.startswith("#"):
            known = names[key]
            value = known[int(value[1:]) % len(known)]
        out[key] = value
    return out


def main():
    site = tomllib.load(open(sys.argv[1], "rb"))
    mix = tomllib.load(open(sys.argv[2], "rb"))
    day = dict(next(d for d in site["day"] if d["slot"] == "quiet"))
    zones = distinct(t["zone"] for t in day["traffic"])
    classes = list(day["traffic"][0]["mix"])
    services = [s["name"] for s in site["services"]]
    names = {"zone": zones, "to_zone": zones, "class": classes,
             "service": services}
    day["name"] = sys.argv[2].rsplit("/", 1)[-1].removesuffix(".toml")
    day["slot"] = "trouble"
    day["seed"] = mix.get("seed", day["seed"])
    for key in ("plan", "faults"):
        day[key] = [resolve(e, names) for e in mix.get(key, [])]
    if "closing" in mix:
        day["closing"] = mix["closing"]
    print("[[day]]")
    for key, value in day.items():
        print(f"{key} = {toml(value)}")


main()
