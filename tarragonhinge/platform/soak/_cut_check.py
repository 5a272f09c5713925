"""Checks of instances that are cut off from servers (rule RECOVER)."""

from collections.abc import Iterable
import json

from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _spans

#: Bounds of the rule: time in seconds after the start of a cut from which it
#: holds, smallest share that is served relative to that of other instances,
#: and number of attempts that may fail, with a fraction of all of them.
_CONTACT_S = 3.0
_MIN_RELATIVE_SHARE = 2 / 3
_FAILED_ALLOWED, _FAILED_ALLOWED_RATIO = 10, 1 / 50


def list_violations(
    attempts: Iterable[_attempts.Attempt],
    instances: Iterable[_instances.InstanceProcess],
    store_disruptions: _spans.Spans,
    crashing_targets: Iterable[str],
) -> list[str]:
    """Return a message if callers of cut instances are served far worse."""
    excluded = set(crashing_targets)
    instances = list(instances)
    served = {True: 0, False: 0}
    failed = {True: 0, False: 0}
    for attempt in attempts:
        since, until = attempt.sent_at - _CONTACT_S, attempt.ended_at
        if (
            not until
            or attempt.target in excluded
            or not attempt.instance.has_been_calm(since, until)
            or store_disruptions.overlap(since, until)
        ):
            continue
        is_cut = attempt.instance.cuts.contain(since, until)
        was_cut = attempt.instance.cuts.overlap(since, until)
        others_are_cut = any(
            i.cuts.contain(since, until)
            for i in instances
            if i is not attempt.instance
        )
        if not is_cut and (was_cut or not others_are_cut):
            continue
        (served if attempt.status == 200 else failed)[is_cut] += 1
    shares = {
        is_cut: served[is_cut] / max(1, served[is_cut] + failed[is_cut])
        for is_cut in (True, False)
    }
    tries = served[True] + failed[True]
    if (
        failed[True] > _FAILED_ALLOWED + _FAILED_ALLOWED_RATIO * tries
        and shares[True] < _MIN_RELATIVE_SHARE * shares[False]
    ):
        return [
            f"cut instances served {served[True]} of {tries} attempts, the "
            f"others {served[False]} of {served[False] + failed[False]}"
        ]
    return []


def list_false_crashes(
    instances: Iterable[_instances.InstanceProcess],
    ended_servers: Iterable[str],
) -> list[str]:
    """Return a message for each running server that was called crashed."""
    ended = set(ended_servers)
    violations = []
    for instance in instances:
        for line in instance.read_log().splitlines():
            if '"event":"server_crashed"' not in line:
                continue
            server = json.loads(line[line.index("{") :])["server"]
            if server not in ended:
                violations.append(
                    f"{instance.name} reported {server} as crashed"
                )
    return violations
