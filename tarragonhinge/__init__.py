"""Router for servers that own their keys exclusively.

A request for a key passes an entry, reaches the leader of the key's
shard, and is dispatched by that leader to the one backend server that
owns the key.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
