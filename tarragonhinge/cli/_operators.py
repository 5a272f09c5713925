"""Calls of the command line to an instance's operators' address."""

import aiohttp

from tarragonhinge import base

TIMEOUT_S = 10


class CallError(base.TarragonhingeError):
    """An instance's operators' address gave no useful answer."""


async def fetch_state(address: str) -> str:
    """Return the state dump of an instance, as JSON.

    Raises
    ------
    CallError
        If the instance gives none.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    url = f"http://{address}/state"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as answer,
        ):
            answer.raise_for_status()
            return await answer.text()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise CallError(
            problem=f"no state from {address!r}: {error}",
            remedy="give the address in the entry 'operators' of the "
            "instance's settings",
        ) from error
