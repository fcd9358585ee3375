"""Calls whose bodies are msgpack messages in both directions."""

from typing import Any, TypeVar

from expression import Error, Ok, Result

from almondspread.codec import decode_message, encode_message
from almondspread_platform.caller import CallFault, HttpCall, HttpCaller
from almondspread_platform.messages import MSGPACK_CONTENT_TYPE

T = TypeVar("T")


async def exchange_messages(
    caller: HttpCaller, call: HttpCall, message: Any, kind: type[T]
) -> Result[T, CallFault]:
    """Send a call with a message as its body; return the message it answers with.

    ``message`` may be ``None`` for a call without a body. Any status but 200, and a
    body that is not a message of type ``kind``, is a fault of unknown outcome.
    """
    if message is not None:
        call = HttpCall(
            call.method,
            call.address,
            call.path,
            call.timeout,
            encode_message(message),
            {**call.headers, "Content-Type": MSGPACK_CONTENT_TYPE},
        )
    sent = await caller.send(call)
    if sent.is_error():
        return Error(sent.error)
    response = sent.ok
    if response.code != 200:
        reason = f"{call.address}{call.path} answered with status {response.code}"
        return Error(CallFault(reason, not_sent=False))
    try:
        return Ok(decode_message(response.body, kind))
    except ValueError as error:
        return Error(CallFault(f"{call.address}{call.path}: {error}", not_sent=False))
