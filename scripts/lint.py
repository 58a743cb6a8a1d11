#!/usr/bin/env python3
"""Runs clang-tidy on every source file, in parallel.

usage: lint.py [PART-OF-PATH...]

Files that passed before are skipped: the cache key is a hash of the source, its
preprocessed text, the configured checks and the version of the linter.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

LINTER = "clang-tidy-16"
ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(
    os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache"),
    "eelgrasspost", "lint")


def preprocess(command):
    """Returns the preprocessed source without line markers."""
    words = shlex.split(command["command"])
    launcher = [n for n, it in enumerate(words) if it.endswith("ccache")]
    words = words[launcher[0] + 1:] if launcher else words
    output = words.index("-o")
    words = words[:output] + words[output + 2:]
    words = [it for it in words if it != "-c"] + ["-E", "-P"]
    done = subprocess.run(words, cwd=command["directory"],
                          stdout=subprocess.PIPE, check=True)
    return done.stdout


def cache_key(command, salt):
    """Returns the cache key of one file."""
    digest = hashlib.sha256(salt)
    digest.update(pathlib.Path(command["file"]).read_bytes())
    digest.update(preprocess(command))
    return digest.hexdigest()


def check(command, salt):
    """Returns the warnings for one file, or an empty string."""
    passed_marker = CACHE / cache_key(command, salt)
    if passed_marker.exists():
        return ""
    done = subprocess.run(
        [LINTER, "-p", "build", "--quiet",
         "--extra-arg=-Wno-unknown-warning-option", command["file"]],
        cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    if done.returncode == 0:
        passed_marker.touch()
        return ""
    return done.stdout + done.stderr


def main():
    """Checks the selected files; returns 1 if any has warnings."""
    CACHE.mkdir(parents=True, exist_ok=True)
    version = subprocess.run([LINTER, "--version"], stdout=subprocess.PIPE,
                             check=True).stdout
    salt = version + (ROOT / ".clang-tidy").read_bytes()
    commands = json.loads((ROOT / "build/compile_commands.json").read_text())
    wanted = sys.argv[1:]
    if wanted:
        commands = [it for it in commands
                    if any(word in it["file"] for word in wanted)]
    jobs = int(os.environ.get("JOBS", os.cpu_count()))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(lambda it: check(it, salt), commands))
    complaints = [it for it in results if it]
    print("\n".join(complaints))
    print(f"lint: {len(commands)} files, {len(complaints)} with complaints")
    return 1 if complaints else 0


if __name__ == "__main__":
    sys.exit(main())
