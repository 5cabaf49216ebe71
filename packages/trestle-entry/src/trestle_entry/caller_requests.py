"""Parses and validates the bodies of callers' requests.

Model requests have the OpenAI format. Fields that the system does not use
are accepted and ignored, as OpenAI clients expect.
"""

from time import monotonic
from typing import Annotated, Any, Literal, NamedTuple, TypeVar

from msgspec import Meta, Struct, ValidationError, field
from msgspec.json import Decoder

from trestle_core.digests import PIECE_TOKENS, content_digest, piece_digests
from trestle_core.errorcodes import BAD_REQUEST
from trestle_core.errors import TrestleError
from trestle_core.texts import BAD_FIELD, BAD_JSON

_MAX_PIECES = 64
_DEFAULT_MAX_TOKENS = 256

Body = TypeVar('Body')
PositiveTokens = Annotated[int, Meta(ge=1)]


class TextPart(Struct, frozen=True):
    """A text part of a message; parts of other types are refused."""

    text: str
    type: Literal['text'] = 'text'


class ChatMessage(Struct, frozen=True):
    """One message of a chat; its content is a string or text parts."""

    role: str
    content: str | list[TextPart]

    def prompt_line(self) -> str:
        """Return the message as a line of the prompt."""
        content = self.content
        if not isinstance(content, str):
            content = ''.join(part.text for part in content)
        return f'{self.role}: {content}'


class ChatBody(Struct, frozen=True):
    """Body of `POST /v1/chat/completions`."""

    model: str
    messages: Annotated[list[ChatMessage], Meta(min_length=1)]
    max_tokens: PositiveTokens | None = None
    max_completion_tokens: PositiveTokens | None = None
    stream: bool = False


class CompletionBody(Struct, frozen=True):
    """Body of `POST /v1/completions`."""

    model: str
    prompt: str
    max_tokens: PositiveTokens = _DEFAULT_MAX_TOKENS
    stream: bool = False
    extra: dict[str, Any] = field(default_factory=dict)


class ModelRequest(NamedTuple):
    """A validated model request.

    `arrived_at` is monotonic seconds; `pieces` are digests of the leading
    pieces of the prompt; `content_digest` identifies model and prompt.
    """

    request_id: str
    caller: str
    route: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool
    chat: bool
    pieces: list[str]
    content_digest: str
    arrived_at: float


class ServiceRequest(NamedTuple):
    """A service call; `key` is empty when the caller gave none."""

    request_id: str
    caller: str
    route: str
    operation: str
    key: str
    body: bytes
    arrived_at: float


_chat_decoder = Decoder(ChatBody)
_completion_decoder = Decoder(CompletionBody)


def parse_chat(body: bytes, request_id: str, caller: str) -> ModelRequest:
    """Parse a chat body; raises `bad-request`."""
    chat = _decode(_chat_decoder, body)
    prompt = '\n'.join(message.prompt_line() for message in chat.messages)
    max_tokens = chat.max_completion_tokens or chat.max_tokens
    return _model_request(
        CompletionBody(
            model=chat.model,
            prompt=prompt,
            max_tokens=max_tokens or _DEFAULT_MAX_TOKENS,
            stream=chat.stream,
        ),
        request_id,
        caller,
        chat=True,
    )


def parse_completion(body: bytes, request_id: str, caller: str) -> ModelRequest:
    """Parse a completion body; raises `bad-request`."""
    completion = _decode(_completion_decoder, body)
    return _model_request(completion, request_id, caller, chat=False)


def _model_request(
    body: CompletionBody,
    request_id: str,
    caller: str,
    *,
    chat: bool,
) -> ModelRequest:
    content = f'{body.model}\n{body.prompt}'.encode()
    return ModelRequest(
        request_id=request_id,
        caller=caller,
        route=body.model,
        prompt=body.prompt,
        prompt_tokens=len(body.prompt.split()),
        max_tokens=body.max_tokens,
        stream=body.stream,
        chat=chat,
        pieces=_prompt_pieces(body.prompt),
        content_digest=content_digest(content),
        arrived_at=monotonic(),
    )


def _prompt_pieces(prompt: str) -> list[str]:
    # A token takes at least one letter and one space, so a shorter prompt
    # has no complete piece and need not be split.
    if len(prompt) < PIECE_TOKENS * 2 - 1:
        return []
    return piece_digests(prompt, _MAX_PIECES)


def _decode(decoder: Decoder[Body], body: bytes) -> Body:
    try:
        return decoder.decode(body)
    except ValidationError as error:
        reason, _, path = str(error).partition(' - at ')
        text = BAD_FIELD.format(path=path or '$', reason=reason)
        raise TrestleError(BAD_REQUEST, text) from error
    except ValueError as error:
        text = BAD_JSON.format(reason=error)
        raise TrestleError(BAD_REQUEST, text) from error
