"""Limits: slots, queues, rates and shares."""

from tarragonhinge.admission._discipline import Discipline
from tarragonhinge.admission._discipline import DISCIPLINES
from tarragonhinge.admission._lingering import LingeringCount
from tarragonhinge.admission._slots import ServerSlots
from tarragonhinge.admission._window import ShedWindow

__all__ = [
    "DISCIPLINES",
    "Discipline",
    "LingeringCount",
    "ServerSlots",
    "ShedWindow",
]
