"""Messages that spread the operators' table and the list of instances."""

import msgspec

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge.propagation import _list_delta


class ZoneSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Which versions the instances of an availability zone have in force.

    Parameters
    ----------
    zone : ZoneName
        The availability zone.
    poller : InstanceId
        Whose reports these are; empty if those of all its pollers.
    lowest_version : TableVersion
        Lowest version in force on an instance that reports.
    instances : int
        Instances that report.
    lagging : list of InstanceId
        Some of those with a lower version than the poller's.
    silent : list of InstanceId
        Some of those on the platform's list that do not report.
    age_ms : int
        Age of the summary when it was sent.
    """

    zone: base.ZoneName
    poller: base.InstanceId = base.InstanceId("")
    lowest_version: base.TableVersion
    instances: int
    lagging: list[base.InstanceId] = []
    silent: list[base.InstanceId] = []
    age_ms: int = 0


@peers.register_message("propagation.report")
class VersionReport(msgspec.Struct, frozen=True, kw_only=True):
    """An instance to a poller of its availability zone.

    Parameters
    ----------
    sender : InstanceEntry
        Who reports.
    table_version : TableVersion
        Version in force there.
    list_digest : int
        Digest of the list of instances that it has.
    """

    sender: membership.InstanceEntry
    table_version: base.TableVersion
    list_digest: int


@peers.register_message("propagation.report_reply")
class VersionReply(msgspec.Struct, frozen=True, kw_only=True):
    """A poller's answer, with what the instance lacks.

    Parameters
    ----------
    table : bytes
        `TableDelta` to the version in force; empty if the instance
        has it.
    instances : ListDelta or None
        Change of the list of instances; None if the instance has it.
    """

    table: bytes = b""
    instances: _list_delta.ListDelta | None = None


@peers.register_message("propagation.exchange")
class PollerExchange(msgspec.Struct, frozen=True, kw_only=True):
    """One poller to another, of its own availability zone or not.

    Parameters
    ----------
    table_version : TableVersion
        Version in force at the sender.
    summary : ZoneSummary
        What the sender hears, or all pollers of its zone.
    """

    table_version: base.TableVersion
    summary: ZoneSummary


@peers.register_message("propagation.exchange_reply")
class PollerExchangeReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the other poller.

    Parameters
    ----------
    table : bytes
        `TableDelta` to the receiver's version if that is newer; else
        empty.
    summary : ZoneSummary
        What the pollers of the receiver's zone hear.
    """

    table: bytes = b""
    summary: ZoneSummary


@peers.register_message("propagation.summary_query")
class SummaryQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a poller for the summaries of all availability zones."""


@peers.register_message("propagation.summary_reply")
class SummaryReply(msgspec.Struct, frozen=True, kw_only=True):
    """Summaries of all availability zones that the poller knows of."""

    summaries: list[ZoneSummary]
