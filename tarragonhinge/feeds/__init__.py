"""Feeds that follow the tables of the platform's store."""

from tarragonhinge.feeds._catalog_feed import CatalogFeed
from tarragonhinge.feeds._codec import CatalogCodec
from tarragonhinge.feeds._follower import RETRY_BASE_MS
from tarragonhinge.feeds._follower import TableFollower
from tarragonhinge.feeds._follower import WATCH_TIMEOUT_MS

__all__ = [
    "RETRY_BASE_MS",
    "WATCH_TIMEOUT_MS",
    "CatalogCodec",
    "CatalogFeed",
    "TableFollower",
]
