"""Settings of an instance, read from INI files and checked."""

from tarragonhinge.settings._loader import format_example
from tarragonhinge.settings._loader import load_settings
from tarragonhinge.settings._loader import parse_settings
from tarragonhinge.settings._loader import SettingProblem
from tarragonhinge.settings._loader import Settings
from tarragonhinge.settings._loader import SettingsError
from tarragonhinge.settings._schema import parse_address

__all__ = [
    "parse_address",
    "SettingProblem",
    "Settings",
    "SettingsError",
    "format_example",
    "load_settings",
    "parse_settings",
]
