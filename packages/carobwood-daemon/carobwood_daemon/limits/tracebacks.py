"""What tracebacks keep in memory.

A traceback refers to the frames of its error and so to their variables, for
example the bodies of messages. Where one of them is the error, or the error is
its own cause, this is a cycle, which lasts until the garbage collector looks
for it. The budget of the VM has the bytes back by then.
"""


def drop(error):
    """Drop the tracebacks of an error and its causes.

    Args:
        error: the exception, once it is handled.
    """
    pending = [error]
    handled_ids = set()
    while pending:
        error = pending.pop()
        if error is None or id(error) in handled_ids:
            continue
        handled_ids.add(id(error))
        error.__traceback__ = None
        pending += [error.__cause__, error.__context__]
