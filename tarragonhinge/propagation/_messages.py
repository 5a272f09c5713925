"""Messages that propagate the operators' table and the instance list."""

import msgspec

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge.propagation import _list_delta


class ZoneSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Table versions in force on the instances of an availability zone.

    Parameters
    ----------
    zone : ZoneName
        The availability zone.
    poller : InstanceId
        Poller that received the reports; empty if the summary covers all
        pollers of the zone.
    lowest_version : TableVersion
        Lowest version in force on any reporting instance.
    instances : int
        Number of reporting instances.
    lagging : list of InstanceId
        Sample of the instances with a lower version than the poller's.
    silent : list of InstanceId
        Sample of the instances on the platform's list that do not report.
    age_ms : int
        Age of the summary when it was sent, in milliseconds.
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
    """Report of an instance to a poller of its availability zone.

    Parameters
    ----------
    sender : InstanceEntry
        Entry of the reporting instance.
    table_version : TableVersion
        Version in force on the sender.
    list_digest : int
        Digest of the sender's instance list.
    """

    sender: membership.InstanceEntry
    table_version: base.TableVersion
    list_digest: int


@peers.register_message("propagation.report_reply")
class VersionReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a report, with the updates that the instance lacks.

    Parameters
    ----------
    table : bytes
        `TableDelta` to the version in force on the poller; empty if the
        instance has that version.
    instances : ListDelta or None
        Delta to the current instance list; None if the instance has it.
    """

    table: bytes = b""
    instances: _list_delta.ListDelta | None = None


@peers.register_message("propagation.exchange")
class PollerExchange(msgspec.Struct, frozen=True, kw_only=True):
    """Version and summary that a poller sends to another poller.

    Parameters
    ----------
    table_version : TableVersion
        Version in force on the sender.
    summary : ZoneSummary
        Summary of the sender's own reports if both pollers are in the
        same availability zone; else of the sender's whole zone.
    """

    table_version: base.TableVersion
    summary: ZoneSummary


@peers.register_message("propagation.exchange_reply")
class PollerExchangeReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to an exchange between pollers.

    Parameters
    ----------
    table : bytes
        `TableDelta` to the replying poller's version if that is newer;
        else empty.
    summary : ZoneSummary
        Summary of the replying poller's zone.
    """

    table: bytes = b""
    summary: ZoneSummary


@peers.register_message("propagation.summary_query")
class SummaryQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Query for the summaries of all availability zones."""


@peers.register_message("propagation.summary_reply")
class SummaryReply(msgspec.Struct, frozen=True, kw_only=True):
    """Unexpired summaries of availability zones, as seen by a poller."""

    summaries: list[ZoneSummary]
