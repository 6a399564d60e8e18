#!/usr/bin/env python3
"""Tells where the worth of played days was lost, as docs/DECIDING.md shows it.

    deploy/losses.py REPORT.json...

REPORT.json is what the users' bench writes with `run SITE DAY --report REPORT.json`. All reports
are averaged. The first table is the loss by cause, as a part of what was owed; the second what
became of each kind of request; the third the worth by moment of the day. The bench's names for
prices are printed as they are.
"""

import collections
import json
import sys

SMALL = 0.0005  # parts of the worth that are not worth a line


def load(paths):
    reports = []
    for path in paths:
        with open(path, encoding="utf8") as file:
            reports.append(json.load(file))
    return reports


def causes(reports):
    """Mean loss by cause: parts of the worth not earned, and prices."""
    lost = collections.Counter()
    for report in reports:
        for name, weight, earned in report["parts"]:
            lost[f"credit not earned: {name} (weight {weight})"] += weight * (1 - earned)
        for name, _, price in report["prices"]:
            lost[f"price: {name}"] += price
    return {name: total / len(reports) for name, total in lost.items()}


def kinds(reports):
    """Means of what became of each kind of request."""
    sums = collections.defaultdict(collections.Counter)
    for report in reports:
        for kind in report["classes"] + [report["all"]]:
            row = sums[kind["name"]]
            owed = max(kind["n"] - kind["not_owed"], 1)
            row["plays"] += 1
            row["worth"] += kind["worth"]
            in_time = (kind["in_aim"]) / owed
            for key in ("late", "refused", "failed"):
                row[key] += kind[key] / owed
            # What was in time and yet earned nothing came from a model that was too weak.
            row["weak"] += max(in_time - kind["worth"], 0)
    return {
        name: {key: row[key] / row["plays"] for key in ("worth", "late", "refused", "failed", "weak")}
        for name, row in sums.items()
    }


def moments(reports):
    """Mean worth of each window of the day, by its beginning in seconds."""
    sums = collections.defaultdict(list)
    for report in reports:
        for window in report["windows"]:
            name = window["name"] if isinstance(window, dict) else window[0]
            worth = window["worth"] if isinstance(window, dict) else window[-1]
            if worth is not None:
                sums[str(name)].append(worth)
    return {name: sum(values) / len(values) for name, values in sums.items()}


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    reports = load(sys.argv[1:])
    worth = sum(report["G"] for report in reports) / len(reports)
    print(f"{len(reports)} plays, mean worth {worth:.3f}\n\n| lost to | part of what was owed |\n|---|---|")
    for name, lost in sorted(causes(reports).items(), key=lambda item: -item[1]):
        if lost >= SMALL:
            print(f"| {name} | {lost:.4f} |")
    print("\n| kind | worth | late | refused | failed | weak model, at least |\n|---|---|---|---|---|---|")
    for name, row in kinds(reports).items():
        print(f"| {name} | " + " | ".join(f"{value:.3f}" for value in row.values()) + " |")
    print("\n| from second | worth |\n|---|---|")
    for name, value in moments(reports).items():
        print(f"| {name} | {value:.3f} |")


if __name__ == "__main__":
    main()
