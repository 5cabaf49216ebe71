"""Commands on named sets: check, publish and show."""

from dataclasses import dataclass
from pathlib import Path
from time import monotonic, sleep
from typing import Annotated, Any, Final, NamedTuple

from cappa import Arg, command

from kingcuptrestle.control_session import (
    ControlOptions,
    ControlSession,
    control_session,
)
from kingcuptrestle.exit_codes import (
    DONE,
    INVALID_INPUT,
    NOT_IN_FORCE,
    REFUSED,
)
from kingcuptrestle.output import print_error, print_json, print_line
from trestle_core.digests import canonical_json, content_digest
from trestle_core.errorcodes import VERSION_CONFLICT
from trestle_core.errors import TrestleError
from trestle_core.namedset_check import check_set, load_set_folder
from trestle_core.verdict import Verdict
from trestle_links.fleet_messages import PublishReply, PublishSet

_POLL_SECONDS: Final = 0.25
_MS_PER_SECOND: Final = 1000


class CheckedSet(NamedTuple):
    """A folder's named set as canonical JSON, with its errors and warnings.

    `content` is empty if the folder does not exist.
    """

    content: bytes
    errors: list[str]
    warnings: list[str]


def check_folder(options: 'Check') -> int:
    """Check a folder and print every finding."""
    checked = _load_and_check(options.folder)
    if options.json:
        print_json({'errors': checked.errors, 'warnings': checked.warnings})
    else:
        _print_findings(checked)
        if not checked.errors:
            print_line(f'ok: digest {content_digest(checked.content)}')
    return INVALID_INPUT if checked.errors else DONE


def publish_folder(options: 'Publish') -> int:
    """Check a folder and publish it as the next version."""
    checked = _load_and_check(options.folder)
    _print_findings(checked)
    if checked.errors:
        return INVALID_INPUT
    with control_session(options) as session:
        return _publish(session, options, checked.content)


def show_set(options: 'Show') -> int:
    """Print the set in force, or one of its objects."""
    with control_session(options) as session:
        published = session.query('set')
    if options.name:
        return _show_object(published, options.name)
    if options.json:
        print_json(published)
        return DONE
    print_line(
        f'version {published["version"]}, digest {published["digest"]}, '
        f'operator {published["operator"]}'
    )
    print_json(published['content'])
    return DONE


@command(name='check', invoke=check_folder)
@dataclass
class Check:
    """Check the named set in a folder of JSON files."""

    folder: Annotated[str, Arg(help='folder of the set')]
    json: Annotated[bool, Arg(long='--json', help='print as JSON')] = False


@command(name='publish', invoke=publish_folder)
@dataclass
class Publish(ControlOptions):
    """Publish the named set in a folder as the next version.

    Publishing the set that is already in force changes nothing. If the reply
    is lost, repeat the command with the `--version` that it prints: without
    it, a set published in the meantime would be replaced.
    """

    folder: Annotated[str, Arg(help='folder of the set')]
    version: Annotated[
        int,
        Arg(long='--version', help='version to publish; 0 for the next one'),
    ] = 0
    wait: Annotated[
        bool, Arg(long='--wait', help='wait until it is in force on every node')
    ] = False
    wait_ms: Annotated[
        int, Arg(long='--wait-ms', help='longest wait for the nodes, ms')
    ] = 30_000
    json: Annotated[bool, Arg(long='--json', help='print as JSON')] = False


@command(name='show', invoke=show_set)
@dataclass
class Show(ControlOptions):
    """Show the named set in force."""

    name: Annotated[str, Arg(help='one object, by its name')] = ''
    json: Annotated[bool, Arg(long='--json', help='print as JSON')] = False


def _load_and_check(folder: str) -> CheckedSet:
    if not Path(folder).is_dir():
        return CheckedSet(b'', [f'{folder}: not a folder'], [])
    raw, findings = load_set_folder(folder)
    checked = check_set(raw)
    errors = [str(finding) for finding in (*findings, *checked.errors)]
    warnings = [str(finding) for finding in checked.warnings]
    return CheckedSet(canonical_json(raw), errors, warnings)


def _print_findings(checked: CheckedSet) -> None:
    for warning in checked.warnings:
        print_error(f'warning: {warning}')
    for error in checked.errors:
        print_error(f'error: {error}')


def _publish(
    session: ControlSession, options: 'Publish', content: bytes
) -> int:
    digest = content_digest(content)
    version = options.version
    if not version:
        current = session.query('set')
        # Publishing the set in force again is a retry, not a new version.
        unchanged = current['digest'] == digest
        version = current['version'] + (0 if unchanged else 1)
    command = PublishSet(version, digest, content, session.operator)
    try:
        reply = session.submit(command, PublishReply)
    except TrestleError as error:
        if error.verdict is Verdict.MAY_HAVE_RUN:
            print_error(f'outcome unknown; repeat with --version {version}')
        raise
    if options.json:
        print_json(reply._asdict())
    if not reply.accepted:
        print_error(_refusal_text(version, reply))
        return REFUSED
    if not options.json:
        print_line(f'accepted: version {version}, digest {digest}')
    if options.wait:
        return _wait_until_in_force(session, options, version)
    return DONE


def _refusal_text(version: int, reply: PublishReply) -> str:
    code = VERSION_CONFLICT.code
    if reply.winner:
        return (
            f'error: version {version} was published by '
            f'{reply.winner_operator} with digest {reply.winner} ({code})'
        )
    return (
        f'error: version {version} does not follow version '
        f'{reply.version}, which is in force ({code})'
    )


def _wait_until_in_force(
    session: ControlSession, options: 'Publish', version: int
) -> int:
    deadline = monotonic() + options.wait_ms / _MS_PER_SECOND
    last_progress = ''
    while True:
        nodes = session.query('nodes')
        lagging_hosts = [
            node['host'] for node in nodes if node['set_version'] < version
        ]
        progress = (
            f'in force on {len(nodes) - len(lagging_hosts)} of {len(nodes)}'
        )
        if progress != last_progress:
            print_line(f'{progress} nodes')
            last_progress = progress
        if not lagging_hosts:
            return DONE
        if monotonic() > deadline:
            print_error(f'error: not in force on {", ".join(lagging_hosts)}')
            return NOT_IN_FORCE
        sleep(_POLL_SECONDS)


def _show_object(published: dict[str, Any], name: str) -> int:
    found = {
        f'{section}.{name}': objects[name]
        for section, objects in published['content'].items()
        if name in objects
    }
    if not found:
        print_error(f'error: no object is named {name} (not-found)')
        return REFUSED
    print_json(found)
    return DONE
