"""Requests that crash the servers that run them.

The instances share which requests ran at a server when it crashed. From these
records each of them derives which requests are refused.
"""

from tarragonhinge.quarantine._digest import compute_digest
from tarragonhinge.quarantine._digest import RequestDigest
from tarragonhinge.quarantine._ledger import CrashLedger
from tarragonhinge.quarantine._records import CrashRecord
from tarragonhinge.quarantine._records import Evidence
from tarragonhinge.quarantine._records import TrialRecord
from tarragonhinge.quarantine._stored_refusal import decode_refusal
from tarragonhinge.quarantine._stored_refusal import encode_refusal
from tarragonhinge.quarantine._stored_refusal import StoredRefusal
from tarragonhinge.quarantine._stored_refusal import TABLE
from tarragonhinge.quarantine._trial_issuer import TrialIssuer
from tarragonhinge.quarantine._trials import choose_trial
from tarragonhinge.quarantine._trials import MAX_TRIALS
from tarragonhinge.quarantine._trials import Trials
from tarragonhinge.quarantine._trials import TrialSource
from tarragonhinge.quarantine._verdicts import judge
from tarragonhinge.quarantine._verdicts import Judgement
from tarragonhinge.quarantine._verdicts import REFUSED_CRASHES

__all__ = [
    "MAX_TRIALS",
    "REFUSED_CRASHES",
    "TABLE",
    "CrashLedger",
    "CrashRecord",
    "Evidence",
    "Judgement",
    "RequestDigest",
    "StoredRefusal",
    "TrialIssuer",
    "TrialRecord",
    "TrialSource",
    "Trials",
    "choose_trial",
    "compute_digest",
    "decode_refusal",
    "encode_refusal",
    "judge",
]
