"""Router for servers that own their keys exclusively.

A request for a key may arrive at any instance.  This instance forwards
it to the leader of the key's shard, and the leader dispatches it to the
one backend server that owns the key.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
