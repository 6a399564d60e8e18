#!/usr/bin/env python3
"""Plays two or more ways on the same deployments, days and seeds, and tells how they differ.

    deploy/compare.py --bench FLEETBENCH --out FOLDER \\
        --way today=HEAD --way flat=HEAD:time_price=false --way other=a1b2c3d \\
        --site SITE.toml... --day quiet-1 --day deploy/days/evacuate-burst.toml --seed 1 --seed 2

A way is a commit, with settings of `[policy]` behind a colon where it has some. Each is checked out
into a folder of its own below FOLDER and built there by the bench. Plays go on where an earlier call was
cut off: what stands in FOLDER/plays.jsonl is not played again. The bench's journal entries are copied into
journal/ of this repository.

Printed are, against the first way: the paired difference of the worth, with its standard error, for each
deployment and for all; rules broken; and the losses by cause (as deploy/losses.py has them). Where
matplotlib is installed, FOLDER also gets plots: worth by second for each deployment, and latencies by kind.
"""

import argparse
import collections
import concurrent.futures
import json
import math
import pathlib
import re
import shutil
import subprocess
import sys

import losses

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
TEMPLATE = "deploy/entry.ini"


def parse_way(text):
    """Reads NAME=COMMIT[:KEY=VALUE,...]."""
    name, found, rest = text.partition("=")
    commit, _, settings = rest.partition(":")
    if not found or not name or not commit:
        raise argparse.ArgumentTypeError(f"{text}: NAME=COMMIT[:KEY=VALUE,...] is expected")
    pairs = [pair.split("=", 1) for pair in settings.split(",") if pair]
    if any(len(pair) != 2 for pair in pairs):
        raise argparse.ArgumentTypeError(f"{text}: settings are KEY=VALUE, parted by commas")
    return {"name": name, "commit": commit, "settings": pairs}


def options():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--bench", type=pathlib.Path, required=True, help="the bench's program")
    parser.add_argument("--out", type=pathlib.Path, required=True, help="folder for plays and plots")
    parser.add_argument("--way", type=parse_way, action="append", required=True)
    parser.add_argument("--site", type=pathlib.Path, action="append", required=True)
    parser.add_argument("--day", action="append", required=True, help="a standard day or a file")
    parser.add_argument("--seed", type=int, action="append", required=True)
    parser.add_argument("--jobs", type=int, default=6, help="plays at the same time")
    parser.add_argument("--why", default="ways compared", help="line for the journal")
    return parser.parse_args()


def prepare(way, out, bench):
    """Checks a way out, puts its settings in, and builds it."""
    folder = out / way["name"]
    commit = subprocess.check_output(
        ["git", "rev-parse", way["commit"]], cwd=REPOSITORY, text=True
    ).strip()
    if not folder.exists():
        subprocess.check_call(["git", "clone", "--quiet", REPOSITORY, folder])
    subprocess.check_call(["git", "checkout", "--quiet", "--force", commit], cwd=folder)
    if way["settings"]:
        lines = "".join(f"{key} = {value}\n" for key, value in way["settings"])
        with open(folder / TEMPLATE, "a", encoding="utf8") as template:
            template.write(f"\n[policy]\n{lines}")
    subprocess.check_call([bench, "build"], cwd=folder, stdout=subprocess.DEVNULL)
    settings = ",".join("=".join(pair) for pair in way["settings"])
    return {"name": way["name"], "folder": folder, "code": f"{commit[:12]}:{settings}"}


def play(way, site, day, seed, arguments):
    """Plays one day and returns what came of it."""
    report = way["folder"] / f"report-{site.stem}-{pathlib.Path(day).stem}-{seed}.json"
    day_file = REPOSITORY / day
    command = [arguments.bench, "run", site.resolve(), day_file if day_file.exists() else day]
    command += ["--seed", str(seed), "--no-cpu", "--report", report]
    command += ["--why", f"{arguments.why}: {way['name']}"]
    done = subprocess.run(command, cwd=way["folder"], capture_output=True, text=True, check=False)
    record = {"code": way["code"], "site": site.stem, "day": day, "seed": seed}
    if not report.exists():
        return record | {"failed": (done.stdout + done.stderr)[-2_000:]}
    with open(report, encoding="utf8") as file:
        told = json.load(file)
    worth = told["G"]
    broken = re.findall(r"BROKEN: ([^\n(]*)", done.stdout)
    return record | {"worth": worth, "broken": broken, "report": str(report)}


def play_all(ways, arguments):
    """Plays what was not played before, and returns all plays by way and case."""
    path = arguments.out / "plays.jsonl"
    known = {}
    if path.exists():
        for line in path.read_text(encoding="utf8").splitlines():
            record = json.loads(line)
            known[key_of(record)] = record
    cases = [
        (way, site, day, seed)
        for site in arguments.site
        for day in arguments.day
        for seed in arguments.seed
        for way in ways
        if (way["code"], site.stem, day, seed) not in known
    ]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        plays = [pool.submit(play, *case, arguments) for case in cases]
        for done in concurrent.futures.as_completed(plays):
            record = done.result()
            if "failed" in record:
                print("not played:", record["site"], record["day"], record["failed"], file=sys.stderr)
                continue
            known[key_of(record)] = record
            with open(path, "a", encoding="utf8") as file:
                file.write(json.dumps(record) + "\n")
    return known


def key_of(record):
    return (record["code"], record["site"], record["day"], record["seed"])


def mean_and_error(values):
    """Mean, and its standard error."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, math.nan
    variance = sum((value - mean) ** 2 for value in values) / (len(values) - 1)
    return mean, math.sqrt(variance / len(values))


def of_way(plays, way):
    return {key[1:]: record for key, record in plays.items() if key[0] == way["code"]}


def print_differences(ways, plays):
    base = of_way(plays, ways[0])
    print(f"{ways[0]['name']}: mean worth {mean_and_error([p['worth'] for p in base.values()])[0]:.4f}")
    for way in ways[1:]:
        other = of_way(plays, way)
        differences = collections.defaultdict(list)
        for case in base.keys() & other.keys():
            difference = other[case]["worth"] - base[case]["worth"]
            differences[case[0]].append(difference)
            differences["all"].append(difference)
        for site, values in sorted(differences.items()):
            mean, error = mean_and_error(values)
            print(f"{way['name']:12} {site:28} {mean:+.4f} +- {error:.4f} of {len(values)} plays")


def print_broken(ways, plays):
    for way in ways:
        for (site, day, seed), record in sorted(of_way(plays, way).items()):
            if record["broken"]:
                print(f"broken by {way['name']}: {site} {day} --seed {seed}: {record['broken'][0]}")


def print_losses(ways, plays):
    columns = [losses.causes(losses.load(reports_of(plays, way))) for way in ways]
    names = sorted({name for column in columns for name in column}, key=lambda n: -columns[0].get(n, 0))
    print(f"{'lost to':52}" + "".join(f"{way['name']:>12}" for way in ways))
    for name in names:
        row = [column.get(name, 0.0) for column in columns]
        if max(row) >= losses.SMALL:
            print(f"{name:52}" + "".join(f"{value:12.4f}" for value in row))


def reports_of(plays, way, site=None):
    records = of_way(plays, way).items()
    return [record["report"] for case, record in records if site in (None, case[0])]


def plot(ways, plays, arguments):
    """Worth by second for each deployment, and latencies by kind of request, as SVG."""
    try:
        import matplotlib

        matplotlib.use("svg")
        from matplotlib import pyplot
    except ImportError:
        print("no plots: matplotlib is not installed", file=sys.stderr)
        return
    for site in arguments.site:
        figure, (by_second, by_kind) = pyplot.subplots(2, 1, figsize=(9, 8))
        for number, way in enumerate(ways):
            reports = losses.load(reports_of(plays, way, site.stem))
            if not reports:
                continue
            moments = losses.moments(reports)
            seconds = [float(second) for second in moments]
            by_second.plot(seconds, list(moments.values()), label=way["name"])
            kinds = latencies(reports)
            places = [place + 0.8 * number / len(ways) for place in range(len(kinds))]
            by_kind.bar(places, list(kinds.values()), 0.8 / len(ways), label=way["name"])
            by_kind.set_xticks(range(len(kinds)), list(kinds))
        by_second.set(title=site.stem, xlabel="second", ylabel="worth")
        by_kind.set(ylabel="99th centile, ms")
        by_second.legend()
        figure.savefig(arguments.out / f"{site.stem}.svg")
        pyplot.close(figure)


def latencies(reports):
    """Mean 99th centile of the latencies of each kind, in milliseconds."""
    sums = collections.defaultdict(list)
    for report in reports:
        for kind in report["classes"]:
            sums[kind["name"]].append(kind["p99_ms"])
    return {name: sum(values) / len(values) for name, values in sums.items()}


def keep_journal(ways):
    """Copies the entries of all plays, as they are."""
    for way in ways:
        for entry in (way["folder"] / "journal").iterdir():
            target = REPOSITORY / "journal" / entry.name
            if entry.is_file() and not target.exists():
                shutil.copy2(entry, target)


def main():
    arguments = options()
    arguments.out = arguments.out.resolve()
    arguments.bench = arguments.bench.resolve()
    arguments.out.mkdir(parents=True, exist_ok=True)
    ways = [prepare(way, arguments.out, arguments.bench) for way in arguments.way]
    plays = play_all(ways, arguments)
    keep_journal(ways)
    print_differences(ways, plays)
    print_broken(ways, plays)
    print_losses(ways, plays)
    plot(ways, plays, arguments)


if __name__ == "__main__":
    main()
