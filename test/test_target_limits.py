"""Targets that name a rate limit, or that say that they leave, in responses."""

import structlog

from forklift.shell import reports
from test import processes


def test_operators_see_the_limit_that_a_target_names():
    async def work(fleet):
        target, process = fleet.targets[0], fleet.proxies[0]
        with structlog.testing.capture_logs() as lines:
            for target.rate_limit in (2.5, None):
                assert (await fleet.ask()).status == 200
                report = reports.explain_target(process, "t0")
                assert report.rate_limit == target.rate_limit
        changes = [
            (line["before"], line["rate"])
            for line in lines
            if line["event"] == "target_rate_limit"
        ]
        assert changes == [(None, 2.5), (2.5, None)]

    processes.play(work, [[]])
