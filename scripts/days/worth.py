#!/usr/bin/env python3
"""Plays many days of a deployment on the users' bench and prints how the worth is distributed.

    worth.py --bench PROGRAM --site SITE [--tree DIR ...] [--days mix|standard|kinds|FILE.toml ...] [--seeds 1-40]

Several trees are played day by day, one beside the other, so that versions can be compared on the same days.
`mix` draws a day for each seed, `standard` is the deployment's own days, `kinds` plays each of the deployment's troubles
alone, from second 8. The plays leave their entries in the journal of the tree that was played.
"""

import argparse
import collections
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import tomllib

Play = collections.namedtuple("Play", "tree day seed turn")


def parse_seeds(text):
    """Seeds of "1-4,9": 1, 2, 3, 4, 9."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def to_toml(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(value)


def label_of(trouble):
    """A short name of a trouble: its kind, variant and object."""
    words = [trouble["kind"]] + [str(trouble[key]) for key in ("how", "class", "on") if trouble.get(key)]
    return "-".join(" ".join(words).split())


def write_kinds(site, folder):
    """One day for each of the deployment's troubles, and one without any."""
    files = []
    for trouble in [None] + site["troubles"]:
        name = label_of(trouble) if trouble else "none"
        taken = {file.stem for file in files}
        while name in taken:
            name += "+"
        faults = ""
        if trouble:
            fields = {"at": 8.0, **{key: value for key, value in trouble.items() if key != "at"}}
            faults = "{ " + ", ".join(f"{key} = {to_toml(value)}" for key, value in fields.items()) + " }"
        file = folder / f"{name}.toml"
        file.write_text(f'name = "{name}"\nfaults = [{faults}]\n')
        files.append(file)
    return files


def run(options, play):
    """The report of one play; None if the bench gave none."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [options.bench, "run", options.site, str(play.day), "--jobs", "1", "--report", str(report)]
        command += ["--why", options.why]
        if play.seed is not None:
            command += ["--seed", str(play.seed)]
        if options.no_cpu:
            command.append("--no-cpu")
        done = subprocess.run(command, cwd=play.tree, capture_output=True, text=True, check=False)
        if not report.exists():
            print(f"{play.day} seed {play.seed}: no report\n{done.stdout}{done.stderr}", file=sys.stderr)
            return None
        result = json.loads(report.read_text())
        result["printed"] = done.stdout
        return result


def spread(values):
    """Mean, mean of the lowest tenth, and least of some figures."""
    ordered = sorted(values)
    tenth = ordered[: max(1, len(ordered) // 10)]
    return f"mean {statistics.mean(ordered):.3f}  lowest tenth {statistics.mean(tenth):.3f}  least {ordered[0]:.3f}"


def parts_of(report):
    return {name: share for name, _, share in report["parts"]}


def print_tables(options, plays, results):
    days = list(dict.fromkeys(play.day for play in plays))
    for tree in options.tree:
        print(f"\n{tree}")
        for day in days:
            found = [(play, results[play]) for play in plays if play.tree == tree and play.day == day and results[play]]
            if not found:
                continue
            worth = [result["G"] for _, result in found]
            print(f"  {pathlib.Path(str(day)).stem:34} {spread(worth)}  plays {len(worth)}")
        found = [(play, results[play]) for play in plays if play.tree == tree and results[play]]
        print(f"  {'all':34} {spread([result['G'] for _, result in found])}  plays {len(found)}")
        for part in ("whole day", "worst windows", "worst class", "worst zone", "worst tenants"):
            print(f"    {part:32} {spread([parts_of(result)[part] for _, result in found])}")
        prices = collections.Counter()
        for _, result in found:
            for name, _, price in result["prices"]:
                prices[name] += price / len(found)
        print("    prices, mean: " + ", ".join(f"{name} {price:.4f}" for name, price in prices.most_common(6)))
        print("    worst: " + ", ".join(
            f"{pathlib.Path(str(play.day)).stem}/{play.seed} {result['G']:.3f}"
            for play, result in sorted(found, key=lambda entry: entry[1]["G"])[:10]))
        for play, result in found:
            if result["breaks"] or result["fault"] or result["short"]:
                print(f"    RULES {pathlib.Path(str(play.day)).stem}/{play.seed}: {result['breaks']} {result['fault']} {result['short']}")
    if len(options.tree) == 2:
        pairs = [(results[play], results[play._replace(tree=options.tree[1])]) for play in plays
                 if play.tree == options.tree[0]]
        gains = [after["G"] - before["G"] for before, after in pairs if before and after]
        error = statistics.stdev(gains) / len(gains) ** 0.5 if len(gains) > 1 else 0.0
        print(f"\nsecond less first: {statistics.mean(gains):+.4f}, standard error {error:.4f}, {len(gains)} pairs")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--tree", action="append", help="a checkout to play; default: this one")
    parser.add_argument("--days", nargs="+", default=["mix"])
    parser.add_argument("--seeds", type=parse_seeds, default=None)
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--out", type=pathlib.Path, help="where the reports are kept, as JSON lines")
    parser.add_argument("--why", required=True)
    options = parser.parse_args()
    options.tree = options.tree or ["."]
    site = tomllib.loads(pathlib.Path(options.site).read_text())
    with tempfile.TemporaryDirectory() as folder:
        days = []
        for day in options.days:
            if day == "standard":
                days += [entry["name"] for entry in site["day"]]
            elif day == "kinds":
                days += write_kinds(site, pathlib.Path(folder))
            else:
                days.append(pathlib.Path(day).resolve() if day.endswith(".toml") else day)
        plays = [Play(tree, day, seed, turn) for day in days for seed in options.seeds or [None]
                 for turn in range(options.repeat) for tree in options.tree]
        for tree in options.tree:
            subprocess.run([options.bench, "build"], cwd=tree, check=True, capture_output=True)
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            results = dict(zip(plays, pool.map(lambda play: run(options, play), plays)))
    if options.out:
        with options.out.open("a") as out:
            for play in plays:
                out.write(json.dumps({"tree": play.tree, "day": pathlib.Path(str(play.day)).stem, "seed": play.seed,
                                      "report": results[play]}) + "\n")
    print_tables(options, plays, results)


if __name__ == "__main__":
    main()
