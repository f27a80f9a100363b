"""Tests the unmodified published client library against an entry VM and prints each check.

Arguments: address of an entry VM, API key, model. The model engines must be the stand-ins, whose
tokens have the form `<tag>.<number> `, so that answers can be checked token by token.
"""

import sys

import openai

PROMPT = "a costume for the lantern gate [[len=40]]"
MESSAGES = [{"role": "user", "content": PROMPT}]
TOKENS = 40


def check(condition: bool, what: str) -> None:
    """Prints the result of a check; exits with code 1 if it failed."""
    print(("held  " if condition else "FAILED ") + what, flush=True)
    if not condition:
        sys.exit(1)


def is_complete(text: str, tokens: int) -> bool:
    """Returns whether `text` consists of exactly the tokens 0 to `tokens` - 1 of one generation."""
    words = [word.split(".") for word in text.split()]
    tags = {word[0] for word in words}
    numbers = [int(word[1]) for word in words]
    return len(tags) == 1 and numbers == list(range(tokens))


def complete_answer(client: openai.OpenAI, model: str) -> None:
    """Checks a complete chat answer and one that ends at the token limit."""
    answer = client.chat.completions.create(model=model, messages=MESSAGES, max_tokens=200)
    choice = answer.choices[0]
    check(is_complete(choice.message.content, TOKENS), "whole answer: every token once, in order")
    check(choice.finish_reason == "stop", "whole answer: finish_reason is stop")
    check(answer.usage.completion_tokens == TOKENS, "whole answer: usage counts its tokens")
    short = client.chat.completions.create(model=model, messages=MESSAGES, max_tokens=7)
    check(is_complete(short.choices[0].message.content, 7), "limited answer: 7 tokens")
    check(short.choices[0].finish_reason == "length", "limited answer: finish_reason is length")
    plain = client.completions.create(model=model, prompt=PROMPT, max_tokens=200)
    check(
        is_complete(plain.choices[0].text, TOKENS), "plain completion: every token once, in order"
    )


def streamed_answer(client: openai.OpenAI, model: str) -> None:
    """Checks a stream with usage in its last chunk."""
    stream = client.chat.completions.create(
        model=model,
        messages=MESSAGES,
        max_tokens=200,
        stream=True,
        stream_options={"include_usage": True},
    )
    pieces, reasons, usage = [], [], None
    for chunk in stream:
        for choice in chunk.choices:
            pieces.append(choice.delta.content or "")
            if choice.finish_reason:
                reasons.append(choice.finish_reason)
        usage = chunk.usage or usage
    check(is_complete("".join(pieces), TOKENS), "stream: every token once, in order")
    check(sum(1 for piece in pieces if piece) > 1, "stream: in more than one piece")
    check(reasons == ["stop"], "stream: one finish_reason, stop")
    check(usage is not None and usage.completion_tokens == TOKENS, "stream: usage at its end")
    plain = client.completions.create(model=model, prompt=PROMPT, max_tokens=200, stream=True)
    text = "".join(choice.text for chunk in plain for choice in chunk.choices)
    check(is_complete(text, TOKENS), "plain stream: every token once, in order")


def typed_errors(client: openai.OpenAI, address: str, model: str) -> None:
    """Checks that refusals become the library's own error types, with code and run state."""
    try:
        client.chat.completions.create(model="no-such-model", messages=MESSAGES)
        check(False, "unknown model: is refused")
    except openai.NotFoundError as error:
        check(error.code == "not_found", "unknown model: NotFoundError with code not_found")
        check(error.body["ran"] == "no", "unknown model: told that it did not run")
    unauthorised = openai.OpenAI(base_url=f"http://{address}/v1", api_key="wrong", max_retries=0)
    try:
        unauthorised.chat.completions.create(model=model, messages=MESSAGES)
        check(False, "unknown key: is refused")
    except openai.AuthenticationError as error:
        check(error.code == "unauthenticated", "unknown key: AuthenticationError")


def main() -> None:
    """Runs all checks."""
    address, key, model = sys.argv[1:4]
    print(f"openai {openai.__version__} on Python {sys.version.split()[0]}")
    client = openai.OpenAI(
        base_url=f"http://{address}/v1", api_key=key, max_retries=0, timeout=30.0
    )
    models = [model.id for model in client.models.list()]
    check(model in models, f"models: {', '.join(models)}")
    complete_answer(client, model)
    streamed_answer(client, model)
    typed_errors(client, address, model)
    print("all held")


if __name__ == "__main__":
    main()
