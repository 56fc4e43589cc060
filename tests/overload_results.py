"""Results of the replay of a surge, for the callers of a time."""


def value_per_second(requests, begins_at, ends_at):
    """Return the value of the answers on time to callers of a time."""
    value = sum(
        request.value
        for request in requests
        if begins_at <= request.first_at < ends_at and request.is_on_time
    )
    return value / (ends_at - begins_at)


def value_share(requests, begins_at, ends_at):
    """Return the part of what callers of a time asked that came on time."""
    callers = [
        request
        for request in requests
        if begins_at <= request.first_at < ends_at
    ]
    asked = sum(r.kind.worth for r in callers if not r.has_returned)
    return sum(r.value for r in callers if r.is_on_time) / asked


def on_time_share(requests, kind, begins_at, ends_at):
    """Return the part of a kind's callers that were answered on time."""
    callers = [
        request
        for request in requests
        if request.kind is kind
        and begins_at <= request.first_at < ends_at
        and not request.has_returned
    ]
    on_time = sum(request.is_on_time for request in callers)
    return on_time / max(1, len(callers))
