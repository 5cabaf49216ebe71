"""HTTP handlers of model requests: completions, chats, the model list."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, closing

from gevent import Timeout

from trestle_core.namedset import ModelRoute
from trestle_core.verdict import Verdict
from trestle_entry.admission import (
    admit,
    check_fresh,
    check_model_request,
)
from trestle_entry.caller_requests import (
    ModelRequest,
    parse_chat,
    parse_completion,
)
from trestle_entry.caller_watch import CallerGoneError, cancel_when_gone
from trestle_entry.completion_runner import (
    Completion,
    build_completion_job,
    run_completion,
)
from trestle_entry.entry_context import (
    EntryContext,
    current_named_set,
    model_route,
)
from trestle_entry.http_types import HttpRequest, HttpResponse, json_response
from trestle_entry.openai_responses import complete_response, stream_response
from trestle_entry.request_records import RequestRecord

Handler = Callable[[HttpRequest], HttpResponse]


def chat_handler(context: EntryContext) -> Handler:
    """Return the handler of `POST /v1/chat/completions`."""

    def handle(http_request: HttpRequest) -> HttpResponse:
        request = parse_chat(
            http_request.body, http_request.request_id, http_request.caller
        )
        return _serve(context, http_request, request)

    return handle


def completion_handler(context: EntryContext) -> Handler:
    """Return the handler of `POST /v1/completions`."""

    def handle(http_request: HttpRequest) -> HttpResponse:
        request = parse_completion(
            http_request.body, http_request.request_id, http_request.caller
        )
        return _serve(context, http_request, request)

    return handle


def models_handler(context: EntryContext) -> Handler:
    """Return the handler of `GET /v1/models`."""

    def handle(_request: HttpRequest) -> HttpResponse:
        routes = current_named_set(context).routes.items()
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'kingcuptrestle'}
            for name, route in sorted(routes)
            if isinstance(route, ModelRoute)
        ]
        return json_response({'object': 'list', 'data': models})

    return handle


def _serve(
    context: EntryContext,
    http_request: HttpRequest,
    request: ModelRequest,
) -> HttpResponse:
    record = context.records.begin(
        request.request_id, request.caller, request.route
    )
    stack = ExitStack()
    stack.callback(context.records.finish, record)
    try:
        route = model_route(context, request.route)
        check_fresh(context)
        check_model_request(context, request, route)
        stack.enter_context(
            admit(
                context,
                request.caller,
                request.route,
                route.caller_concurrency,
            )
        )
        context.offered_load.record_request(route.pool, request)
        completion = Completion(
            build_completion_job(context, request, route), record
        )
        return _respond(context, http_request, completion, stack)
    except BaseException as error:
        record.note_failure(error)
        stack.close()
        raise


def _respond(
    context: EntryContext,
    http_request: HttpRequest,
    completion: Completion,
    stack: ExitStack,
) -> HttpResponse:
    """Return the response; a streamed one closes `stack` at its end."""
    request = completion.job.request
    batches = run_completion(context, completion)
    if not request.stream:
        with cancel_when_gone(http_request.socket), closing(batches):  # type: ignore[type-var]
            text = ''.join(''.join(tokens) for tokens in batches)
        completion.record.verdict = Verdict.RAN
        stack.close()
        return complete_response(request, completion, text)
    with cancel_when_gone(http_request.socket):
        first_tokens = next(batches, [])
    response = stream_response(request, completion, first_tokens, batches)
    events = _stream_and_close(http_request, response, stack, completion.record)
    return response._replace(body=events)


def _stream_and_close(
    http_request: HttpRequest,
    response: HttpResponse,
    stack: ExitStack,
    record: RequestRecord,
) -> Iterator[bytes]:
    with stack:
        try:
            with cancel_when_gone(http_request.socket):
                yield from response.body
        except CallerGoneError as gone:
            # The inner iterators have already cancelled the work.
            record.note_failure(gone)
        except Timeout as ended:
            record.note_failure(ended)
            raise
