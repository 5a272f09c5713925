"""Bytes of messages, which are held only while they are counted."""


class Buffer(bytearray):
    """Body of a message that belongs to the account that counts it.

    The account empties it when it stops to count the body. A reference that
    is left somewhere, such as in the frame of a traceback, then holds no
    bytes. No view of it may outlive a turn of the event loop, since a buffer
    with views can't be emptied.
    """
