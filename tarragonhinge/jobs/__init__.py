"""Requests while they are routed: metadata, state, outcomes and refusals."""

from tarragonhinge.jobs._dialect import DEADLINE_LIMIT_MS
from tarragonhinge.jobs._dialect import Dialect
from tarragonhinge.jobs._dialect import Fields
from tarragonhinge.jobs._dialect import ReportedLoad
from tarragonhinge.jobs._dialect import RequestMetadata
from tarragonhinge.jobs._dialect import ResponseMetadata
from tarragonhinge.jobs._job import Job
from tarragonhinge.jobs._outcomes import Answered
from tarragonhinge.jobs._outcomes import AttemptOutcome
from tarragonhinge.jobs._outcomes import NOT_RUN_STATUSES
from tarragonhinge.jobs._outcomes import NotRun
from tarragonhinge.jobs._outcomes import NotRunCause
from tarragonhinge.jobs._outcomes import OutcomeUnknown
from tarragonhinge.jobs._outcomes import UnknownCause
from tarragonhinge.jobs._refusals import get_outcome_name
from tarragonhinge.jobs._refusals import make_final_response
from tarragonhinge.jobs._refusals import Refused
from tarragonhinge.jobs._refusals import TRANSFERABLE_REASONS

__all__ = [
    "DEADLINE_LIMIT_MS",
    "NOT_RUN_STATUSES",
    "TRANSFERABLE_REASONS",
    "Answered",
    "AttemptOutcome",
    "Dialect",
    "Fields",
    "Job",
    "NotRun",
    "NotRunCause",
    "OutcomeUnknown",
    "Refused",
    "ReportedLoad",
    "RequestMetadata",
    "ResponseMetadata",
    "UnknownCause",
    "get_outcome_name",
    "make_final_response",
]
