"""HTTP pages of model requests: completions, chats and the model list."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, closing

from trestle_core.errors import TrestleError
from trestle_core.namedset import ModelRoute
from trestle_core.verdict import Verdict
from trestle_entry.admission import (
    admitted,
    check_fresh,
    check_model_request,
)
from trestle_entry.caller_requests import (
    ModelRequest,
    parse_chat,
    parse_completion,
)
from trestle_entry.caller_watch import CallerGoneError, cancel_when_gone
from trestle_entry.completions import (
    Completion,
    completion_job,
    run_completion,
)
from trestle_entry.entry_context import (
    EntryContext,
    model_route,
    named_set_of,
)
from trestle_entry.http_types import HttpCall, HttpReply, json_reply
from trestle_entry.openai_replies import stream_reply, whole_reply
from trestle_entry.request_records import RequestRecord

Page = Callable[[HttpCall], HttpReply]


def chat_page(context: EntryContext) -> Page:
    """Return the page of `POST /v1/chat/completions`."""

    def page(call: HttpCall) -> HttpReply:
        request = parse_chat(call.body, call.request_id, call.caller)
        return _serve(context, call, request)

    return page


def completion_page(context: EntryContext) -> Page:
    """Return the page of `POST /v1/completions`."""

    def page(call: HttpCall) -> HttpReply:
        request = parse_completion(call.body, call.request_id, call.caller)
        return _serve(context, call, request)

    return page


def models_page(context: EntryContext) -> Page:
    """Return the page of `GET /v1/models`."""

    def page(_call: HttpCall) -> HttpReply:
        routes = named_set_of(context).routes.items()
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'kingcuptrestle'}
            for name, route in sorted(routes)
            if isinstance(route, ModelRoute)
        ]
        return json_reply({'object': 'list', 'data': models})

    return page


def _serve(
    context: EntryContext,
    call: HttpCall,
    request: ModelRequest,
) -> HttpReply:
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
            admitted(
                context,
                request.caller,
                request.route,
                route.caller_concurrency,
            )
        )
        context.offered.add(route.pool, request)
        completion = Completion(completion_job(context, request, route), record)
        return _answer(context, call, completion, stack)
    except BaseException as error:
        if isinstance(error, TrestleError):
            record.code = error.code.code
            record.verdict = error.verdict
        stack.close()
        raise


def _answer(
    context: EntryContext,
    call: HttpCall,
    completion: Completion,
    stack: ExitStack,
) -> HttpReply:
    """Return the answer; a stream closes `stack` when it ends."""
    request = completion.job.request
    batches = run_completion(context, completion)
    if not request.stream:
        with cancel_when_gone(call.socket), closing(batches):  # type: ignore[type-var]
            text = ''.join(''.join(tokens) for tokens in batches)
        completion.record.verdict = Verdict.RAN
        stack.close()
        return whole_reply(request, completion, text)
    with cancel_when_gone(call.socket):
        first = next(batches, [])
    reply = stream_reply(request, completion, first, batches)
    events = _closing_stream(call, reply, stack, completion.record)
    return reply._replace(body=events)


def _closing_stream(
    call: HttpCall,
    reply: HttpReply,
    stack: ExitStack,
    record: RequestRecord,
) -> Iterator[bytes]:
    with stack:
        try:
            with cancel_when_gone(call.socket):
                yield from reply.body
        except CallerGoneError as gone:
            # The iterators below have cancelled the work already.
            record.code = gone.code.code
            record.verdict = gone.verdict
