"""Answers of the fake engine, which anyone can check by content."""

from collections.abc import Callable

from xxhash import xxh3_64

DIGEST_CHARACTERS = 6


def token_source(prompt: str) -> Callable[[int], str]:
    """Return a function from a token's number to the token's text."""
    prefix = xxh3_64(prompt.encode())

    def token(number: int) -> str:
        digest = prefix.copy()
        digest.update(f':{number}'.encode())
        return f'w{digest.hexdigest()[:DIGEST_CHARACTERS]} '

    return token


def expected_answer(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to a prompt, max_tokens tokens long."""
    token = token_source(prompt)
    return ''.join(token(number) for number in range(max_tokens))
