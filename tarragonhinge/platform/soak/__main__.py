"""Command line of the soak: ``python -m tarragonhinge.platform.soak``."""

import asyncio
import sys

import fire

from tarragonhinge.platform import soak


def run(
    first: int = 1,
    seeds: int = 10,
    seconds: float = 12.0,
    instances: int = 4,
    per_s: float = 40.0,
    parallel: int = 4,
    only: tuple[str, ...] = (),
) -> None:
    """Run seeds from `first` on; exit with 1 if a guarantee was violated.

    `only` has the names of the disturbances to choose from; all if empty.
    """
    results = asyncio.run(
        soak.run_seeds(
            list(range(first, first + seeds)),
            options=soak.SoakOptions(
                seconds=seconds,
                instances=instances,
                requests_per_s=per_s,
                only=(only,) if isinstance(only, str) else tuple(only),
            ),
            parallel=parallel,
        )
    )
    sys.exit(any(result.violations for result in results))


if __name__ == "__main__":
    fire.Fire(run)
