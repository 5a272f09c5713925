"""Stored record of a refused request."""

import msgspec

from tarragonhinge import base
from tarragonhinge.quarantine import _digest
from tarragonhinge.quarantine import _records

#: Store table of the refused requests; the row key is the digest in hex.
TABLE = "tarragonhinge-quarantine"


class StoredRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """A refused request, its crashes and its trials.

    Parameters
    ----------
    crashes : list of CrashRecord
        Crashes that are attributed to it; empty once it is cleared.
    trials : list of str
        Reasons of its trials.
    """

    crashes: list[_records.CrashRecord] = []
    trials: list[str] = []

    def make_evidence(
        self, digest: _digest.RequestDigest
    ) -> _records.Evidence:
        """Return the record as evidence against a request."""
        return _records.Evidence(
            crashes=[
                msgspec.structs.replace(crash, suspects=[digest])
                for crash in self.crashes
            ],
            trials=[_records.TrialRecord(digest=digest, trials=self.trials)]
            if self.trials
            else [],
        )


_decoder = msgspec.json.Decoder(StoredRefusal)


def encode_refusal(refusal: StoredRefusal) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(refusal)


def decode_refusal(value: bytes) -> StoredRefusal:
    """Decode a stored record.

    Raises
    ------
    CodecError
        If the value is not a valid record.
    """
    try:
        return _decoder.decode(value)
    except base.DECODE_ERRORS as error:
        raise base.CodecError(
            problem=f"the record of a refused request is invalid: {error}",
            remedy="delete the row; the request is refused again once it has"
            " crashed servers",
        ) from error
