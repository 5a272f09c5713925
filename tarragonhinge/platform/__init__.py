"""Adapter between the platform's protocol and the router."""

from tarragonhinge.platform._codec import PlatformCodec
from tarragonhinge.platform._dialect import PlatformDialect
from tarragonhinge.platform._errors import NodeFileError
from tarragonhinge.platform._grants import PlatformGrants
from tarragonhinge.platform._instance import run_instance
from tarragonhinge.platform._node_file import load_node_file
from tarragonhinge.platform._node_file import locate_node_file
from tarragonhinge.platform._node_file import parse_node_file
from tarragonhinge.platform._row_store import PlatformStore
from tarragonhinge.platform._table_places import format_place

__all__ = [
    "NodeFileError",
    "PlatformCodec",
    "PlatformDialect",
    "PlatformGrants",
    "PlatformStore",
    "format_place",
    "load_node_file",
    "locate_node_file",
    "parse_node_file",
    "run_instance",
]
