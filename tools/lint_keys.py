#!/usr/bin/env python3
"""Prints "FILE KEY" for each .cc file of the repository. The key is a hash of the file, of the repository's headers that
it includes (as ninja recorded them in the build folder) and of the linter's settings. A file without a record is hashed
with all headers."""
import hashlib
import os
import subprocess
import sys


def run(*command):
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def digest(path, known={}):
    if path not in known:
        with open(path, "rb") as file:
            known[path] = hashlib.sha256(file.read()).hexdigest()
    return known[path]


def included_headers(build):
    """Returns, for each source file, the repository's headers that it includes."""
    headers = {}
    dependencies = []
    for line in run("ninja", "-C", build, "-t", "deps").splitlines() + [""]:
        if line.startswith("    "):
            path = os.path.relpath(os.path.join(build, line.strip()))
            if not path.startswith(".."):
                dependencies.append(path)
        elif dependencies:
            headers.setdefault(dependencies[0], set()).update(dependencies[1:])
            dependencies = []
    return headers


def main(build):
    sources = run("git", "ls-files", "*.cc").split()
    all_headers = run("git", "ls-files", "*.h").split()
    headers = included_headers(build)
    for source in sources:
        parts = [source, ".clang-tidy", *sorted(headers.get(source, all_headers))]
        key = hashlib.sha256("".join(digest(part) for part in parts).encode()).hexdigest()
        print(source, key[:16])


if __name__ == "__main__":
    main(sys.argv[1])
