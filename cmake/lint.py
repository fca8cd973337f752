#!/usr/bin/env python3
"""Runs clang-tidy over source files, each only where something changed.

    cmake/lint.py BUILD_DIR FILE...

A file that was found clean is not looked at again while its preprocessed text
with its comments, its compile command, the configuration and the linter stay
the same; what is remembered lies in the user's cache folder. On a machine that
remembers nothing every file is looked at, with the same verdict.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME",
                                    pathlib.Path.home() / ".cache"))
CLEAN = CACHE / "slatestall-lint"


def output_of(command, folder=None):
    return subprocess.run(command, cwd=folder, capture_output=True,
                          check=False)


def key_of(entry, fixed):
    """Hash of all that decides the verdict; nothing where it is not known."""
    words = shlex.split(entry["command"])
    if words and words[0].endswith("ccache"):
        words = words[1:]
    kept = []
    skip = False
    for word in words:
        if skip:
            skip = False
        elif word in ("-o", "-c"):
            skip = word == "-o"
        else:
            kept.append(word)
    text = output_of(kept + ["-E", "-C"], entry["directory"])
    if text.returncode != 0:
        return None
    top = os.getcwd().encode()
    digest = hashlib.sha256(fixed)
    digest.update(" ".join(kept).encode().replace(top, b""))
    digest.update(text.stdout.replace(top, b""))
    return digest.hexdigest()


def lint(file, entry, build, fixed):
    key = key_of(entry, fixed) if entry else None
    if key and (CLEAN / key).exists():
        return True, ""
    run = output_of(["clang-tidy", "-p", build, "--quiet", file])
    clean = run.returncode == 0 and not run.stdout.strip()
    if clean and key:
        (CLEAN / key).touch()
    told = run.stdout.decode(errors="replace")
    if run.returncode != 0 and not told.strip():
        told = f"{file}: " + run.stderr.decode(errors="replace")[-2000:]
    return run.returncode == 0, told


def main():
    build, files = sys.argv[1], sys.argv[2:]
    CLEAN.mkdir(parents=True, exist_ok=True)
    commands = json.loads(
        (pathlib.Path(build) / "compile_commands.json").read_text())
    entries = {os.path.relpath(entry["file"]): entry for entry in commands}
    fixed = (pathlib.Path(".clang-tidy").read_bytes()
             + output_of(["clang-tidy", "--version"]).stdout)
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for clean, told in pool.map(
                lambda file: lint(file, entries.get(file), build, fixed),
                files):
            failed += not clean
            if told.strip():
                print(told, end="")
    print(f"lint: {len(files) - failed} files clean, {failed} not")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
