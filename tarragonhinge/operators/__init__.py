"""What operators see of an instance: health, metrics and state."""

from tarragonhinge.operators._api import make_application
from tarragonhinge.operators._metrics import InstanceCollector
from tarragonhinge.operators._metrics import render_metrics

__all__ = ["InstanceCollector", "make_application", "render_metrics"]
