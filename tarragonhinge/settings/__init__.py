"""Loading and validation of an instance's settings from an INI file."""

from tarragonhinge.settings._loader import format_example
from tarragonhinge.settings._loader import load_settings
from tarragonhinge.settings._loader import parse_settings
from tarragonhinge.settings._loader import SettingProblem
from tarragonhinge.settings._loader import Settings
from tarragonhinge.settings._loader import SettingsError

__all__ = [
    "SettingProblem",
    "Settings",
    "SettingsError",
    "format_example",
    "load_settings",
    "parse_settings",
]
