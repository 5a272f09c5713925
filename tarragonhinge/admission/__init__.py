"""Limits: slots, queues, rates and shares."""

from tarragonhinge.admission._slots import ServerSlots

__all__ = ["ServerSlots"]
