"""Types shared by all subpackages: ids, clock, errors and outcomes."""

from tarragonhinge.base._address import parse_address
from tarragonhinge.base._checks import check_choice
from tarragonhinge.base._checks import check_range
from tarragonhinge.base._clock import Clock
from tarragonhinge.base._clock import Millis
from tarragonhinge.base._clock import MS_PER_S
from tarragonhinge.base._errors import CodecError
from tarragonhinge.base._errors import DECODE_ERRORS
from tarragonhinge.base._errors import ParameterError
from tarragonhinge.base._errors import RegistryError
from tarragonhinge.base._errors import TarragonhingeError
from tarragonhinge.base._ids import Address
from tarragonhinge.base._ids import Epoch
from tarragonhinge.base._ids import IncarnationId
from tarragonhinge.base._ids import InstanceId
from tarragonhinge.base._ids import make_shard_id
from tarragonhinge.base._ids import PartitionId
from tarragonhinge.base._ids import RegionName
from tarragonhinge.base._ids import ServerId
from tarragonhinge.base._ids import ServiceName
from tarragonhinge.base._ids import ShardId
from tarragonhinge.base._ids import split_shard_id
from tarragonhinge.base._ids import TableVersion
from tarragonhinge.base._ids import Term
from tarragonhinge.base._ids import WriteId
from tarragonhinge.base._ids import ZoneName
from tarragonhinge.base._outcomes import Answered
from tarragonhinge.base._outcomes import NotRun
from tarragonhinge.base._outcomes import NotRunReason
from tarragonhinge.base._outcomes import Outcome
from tarragonhinge.base._outcomes import Unknown
from tarragonhinge.base._outcomes import UnknownReason
from tarragonhinge.base._registry import Registry
from tarragonhinge.base._tasks import cancel_tasks

__all__ = [
    "Address",
    "Answered",
    "Clock",
    "CodecError",
    "DECODE_ERRORS",
    "Epoch",
    "IncarnationId",
    "InstanceId",
    "MS_PER_S",
    "Millis",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "ParameterError",
    "PartitionId",
    "RegionName",
    "Registry",
    "RegistryError",
    "ServerId",
    "ServiceName",
    "ShardId",
    "TableVersion",
    "TarragonhingeError",
    "Term",
    "Unknown",
    "UnknownReason",
    "WriteId",
    "ZoneName",
    "cancel_tasks",
    "check_choice",
    "check_range",
    "make_shard_id",
    "parse_address",
    "split_shard_id",
]
