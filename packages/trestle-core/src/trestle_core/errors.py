"""The base exception: an error code, a verdict and a message."""

from typing import Self

from trestle_core.errorcodes import ERROR_CODES, INTERNAL, ErrorCode
from trestle_core.verdict import Verdict


class TrestleError(Exception):
    """A failure with a code of the registry and a verdict it may carry.

    Raises `ValueError` when the code does not allow the verdict.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str = '',
        verdict: Verdict = Verdict.NOT_RUN,
    ) -> None:
        """Check that the code allows the verdict."""
        super().__init__(message or code.summary)
        if verdict not in code.verdicts:
            raise ValueError(f'{code.code} does not allow {verdict.value}')
        self.code = code
        self.verdict = verdict
        self.message = message or code.summary

    def in_doubt(self) -> 'TrestleError':
        """Return this error as `may-have-run` if its code allows that.

        For a refusal of a key that was not looked up: an earlier send of the
        key may have run.
        """
        if Verdict.MAY_HAVE_RUN not in self.code.verdicts:
            return self
        return TrestleError(self.code, self.message, Verdict.MAY_HAVE_RUN)

    @classmethod
    def from_wire(cls, code: str, message: str, verdict: Verdict) -> Self:
        """Rebuild an error that a peer sent; unknown codes are internal."""
        entry = ERROR_CODES.get(code, INTERNAL)
        if verdict not in entry.verdicts:
            return cls(INTERNAL, message, Verdict.MAY_HAVE_RUN)
        return cls(entry, message, verdict)
