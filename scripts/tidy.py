#!/usr/bin/env python3
"""clang-tidy on one file, unless the same text passed before. Usage: tidy.py BUILD_DIR FILE

What passed is remembered by a hash of the preprocessed text with its comments, of .clang-tidy and of clang-tidy's version,
so a remembered verdict is the one that clang-tidy would give again."""
import hashlib
import json
import os
import shlex
import subprocess
import sys


def key_of(command, directory):
    words = shlex.split(command)
    compiler = next(i for i, word in enumerate(words) if word.endswith(("c++", "g++", "clang++")))
    words = words[compiler:]
    output = words.index("-o")
    del words[output:output + 2]
    words.remove("-c")
    preprocessed = subprocess.run(words + ["-E", "-P", "-C"], cwd=directory, capture_output=True)
    if preprocessed.returncode != 0:  # It can fail where compiling does not: the file is linted each time.
        return None
    text = preprocessed.stdout
    text = text.replace(os.getcwd().encode(), b".")  # Of __FILE__: the same in every checkout.
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    with open(".clang-tidy", "rb") as config:
        return hashlib.sha256(text + b"\0" + config.read() + b"\0" + version).hexdigest()


def main():
    build, file = sys.argv[1:3]
    with open(os.path.join(build, "compile_commands.json")) as database:
        entries = [e for e in json.load(database) if os.path.samefile(e["file"], file)]
    cache = os.path.join(os.environ.get("XDG_CACHE_HOME", os.path.expanduser("~/.cache")), "hickoryquay-tidy")
    os.makedirs(cache, exist_ok=True)
    key = key_of(entries[0]["command"], entries[0]["directory"]) if entries else None
    stamp = os.path.join(cache, key) if key else None
    if stamp and os.path.exists(stamp):
        return 0
    result = subprocess.run(["clang-tidy", "-p", build, "--quiet", file]).returncode
    if result == 0 and stamp:
        open(stamp, "w").close()
    return result


if __name__ == "__main__":
    sys.exit(main())
