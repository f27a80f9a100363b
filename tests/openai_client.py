"""Uses the published client library as any caller would, and prints what held.

Arguments: address of an entry VM, API key, model. The model engines behind it are the stand-ins,
whose tokens read `<tag>.<number> `: so the answer can be checked token by token.
"""

import sys

import openai

PROMPT = "a costume for the lantern gate [[len=40]]"
MESSAGES = [{"role": "user", "content": PROMPT}]
TOKENS = 40


def check(condition: bool, what: str) -> None:
    """Prints what held; ends with exit code 1 when it did not."""
    print(("held  " if condition else "FAILED ") + what, flush=True)
    if not condition:
        sys.exit(1)


def is_whole(text: str, tokens: int) -> bool:
    """Whether `text` is tokens 0, 1, 2 ... of one generation, `tokens` in all."""
    words = [word.split(".") for word in text.split()]
    tags = {word[0] for word in words}
    numbers = [int(word[1]) for word in words]
    return len(tags) == 1 and numbers == list(range(tokens))


def whole_answer(client: openai.OpenAI, model: str) -> None:
    """A chat answer in one piece, and a short one that the limit ends."""
    answer = client.chat.completions.create(model=model, messages=MESSAGES, max_tokens=200)
    choice = answer.choices[0]
    check(is_whole(choice.message.content, TOKENS), "whole answer: every token once, in order")
    check(choice.finish_reason == "stop", "whole answer: finish_reason is stop")
    check(answer.usage.completion_tokens == TOKENS, "whole answer: usage counts its tokens")
    short = client.chat.completions.create(model=model, messages=MESSAGES, max_tokens=7)
    check(is_whole(short.choices[0].message.content, 7), "limited answer: 7 tokens")
    check(short.choices[0].finish_reason == "length", "limited answer: finish_reason is length")
    plain = client.completions.create(model=model, prompt=PROMPT, max_tokens=200)
    check(is_whole(plain.choices[0].text, TOKENS), "plain completion: every token once, in order")


def streamed_answer(client: openai.OpenAI, model: str) -> None:
    """A stream with usage in its last chunk."""
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
    check(is_whole("".join(pieces), TOKENS), "stream: every token once, in order")
    check(sum(1 for piece in pieces if piece) > 1, "stream: in more than one piece")
    check(reasons == ["stop"], "stream: one finish_reason, stop")
    check(usage is not None and usage.completion_tokens == TOKENS, "stream: usage at its end")
    plain = client.completions.create(model=model, prompt=PROMPT, max_tokens=200, stream=True)
    text = "".join(choice.text for chunk in plain for choice in chunk.choices)
    check(is_whole(text, TOKENS), "plain stream: every token once, in order")


def typed_errors(client: openai.OpenAI, address: str, model: str) -> None:
    """Refusals arrive as the library's own types, with code and outcome."""
    try:
        client.chat.completions.create(model="no-such-model", messages=MESSAGES)
        check(False, "unknown model: is refused")
    except openai.NotFoundError as error:
        check(error.code == "not_found", "unknown model: NotFoundError with code not_found")
        check(error.body["ran"] == "no", "unknown model: told that it did not run")
    stranger = openai.OpenAI(base_url=f"http://{address}/v1", api_key="wrong", max_retries=0)
    try:
        stranger.chat.completions.create(model=model, messages=MESSAGES)
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
    whole_answer(client, model)
    streamed_answer(client, model)
    typed_errors(client, address, model)
    print("all held")


if __name__ == "__main__":
    main()
