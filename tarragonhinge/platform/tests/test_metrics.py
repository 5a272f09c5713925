"""The metrics page lists exactly the metrics that an instance exports."""

import asyncio
import pathlib
import re

import prometheus_client

from tarragonhinge import base
from tarragonhinge import platform
from tarragonhinge.platform import _instance
from tarragonhinge.platform.tests import test_codecs
from tarragonhinge import testing

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "METRICS.md"


def test_page_lists_every_metric():
    async def run():
        clock = base.Clock()
        log = testing.make_event_log(clock)
        instance = _instance.PlatformInstance(
            options=platform.parse_node_file(test_codecs.NODE),
            log=log,
            clock=clock,
        )
        registry = instance.gateway.metrics.registry
        return prometheus_client.generate_latest(registry).decode()

    text = asyncio.run(run())
    exported = {
        (name + ("_total" if kind == "counter" else ""), kind)
        for name, kind in re.findall(r"# TYPE (\S+?)(?:_total)? (\w+)", text)
        if not name.endswith("_created")
    }
    page = PAGE.read_text(encoding="utf-8")
    documented = set(
        re.findall(r"`(tarragonhinge_gateway_\w+)` \| (\w+)", page)
    )
    assert exported == documented
