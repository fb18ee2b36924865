"""Checks a router with the official OpenAI client, unmodified."""

import subprocess
import sys
import threading

import openai

MODEL = "drafting"
MESSAGES = [{"role": "user", "content": "Which moulding suits a watercolour?"}]


class Fleet:
    """A fleet of stand-ins as a process, driven through its input."""

    def __init__(self, target):
        self.process = subprocess.Popen(
            [f"{target}/examples/client_fleet", f"{target}/mangowalkd"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        lines = (self.process.stdout.readline().strip() for _ in range(3))
        self.settings = dict(line.split("=", 1) for line in lines)

    def tell(self, line):
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()
        assert self.process.stdout.readline().strip() == "done"

    def client(self, key=None):
        return openai.OpenAI(
            base_url=self.settings["URL"],
            api_key=key or self.settings["KEY"],
            max_retries=0,
        )

    def end(self):
        self.process.stdin.close()
        self.process.wait(30)


def raises(kind, call):
    try:
        call()
    except kind as error:
        assert type(error) is kind, type(error)
        return f"{kind.__name__} {error.status_code} {error.body.get('code')}"
    raise AssertionError(f"{kind.__name__} was not raised")


def ask(client, **more):
    more = {"model": MODEL, "messages": MESSAGES, "max_tokens": 12, **more}
    return client.chat.completions.create(**more)


def check_answers(fleet):
    client = fleet.client()
    whole = ask(client)
    text = whole.choices[0].message.content
    assert whole.usage.completion_tokens == 12 and whole.choices[0].finish_reason == "length"
    print("chat: whole,", whole.usage.total_tokens, "tokens")
    stream = ask(client, stream=True, stream_options={"include_usage": True})
    chunks = list(stream)
    parts = [c.choices[0].delta.content or "" for c in chunks if c.choices]
    assert "".join(parts) == text
    assert chunks[-1].usage.completion_tokens == 12
    print("chat: streamed,", len(chunks), "chunks, the same text")
    parts = [{"type": "text", "text": MESSAGES[0]["content"]}]
    assert ask(client, messages=[{"role": "user", "content": parts}]).choices[0].message.content == text
    print("chat: parts of text, the same text")
    prompt = {"model": MODEL, "prompt": "Once", "max_tokens": 5}
    text = client.completions.create(**prompt).choices[0].text
    stream = client.completions.create(stream=True, **prompt)
    assert "".join(c.choices[0].text for c in stream if c.choices) == text
    print("completion: whole and streamed, the same text")
    assert [m.id for m in client.models.list()] == [MODEL]
    assert client.models.retrieve(MODEL).id == MODEL
    print("models: listed and retrieved")
    raw = client.chat.completions.with_raw_response.create(
        model=MODEL, messages=MESSAGES, temperature=0.5, extra_headers={"x-request-id": "desk-1"}
    )
    assert raw.headers["x-request-id"] == "desk-1"
    assert raw.headers["x-mangowalk-passed-over"] == "temperature"
    limits = {n: v for n, v in raw.headers.items() if n.startswith("x-ratelimit")}
    print("headers:", limits)


def check_errors(fleet):
    client = fleet.client()
    wrong = fleet.client("nonsense")
    print(raises(openai.AuthenticationError, lambda: ask(wrong)))
    print(raises(openai.BadRequestError, lambda: ask(client, n=2)))
    print(raises(openai.BadRequestError, lambda: ask(client, messages=[])))
    print(raises(openai.NotFoundError, lambda: ask(client, model="none")))
    print(raises(openai.NotFoundError, lambda: client.models.retrieve("none")))
    poor = fleet.client(fleet.settings["POOR_KEY"])
    print(raises(openai.RateLimitError, lambda: [ask(poor) for _ in range(20)]))
    print(raises(openai.RateLimitError, lambda: [ask(poor, stream=True) for _ in range(20)]))
    check_conflict(fleet, client)
    fleet.tell("break")
    print(raises(openai.InternalServerError, lambda: ask(client)))
    print(raises(openai.InternalServerError, lambda: ask(client, stream=True)))
    fleet.tell("heal")


def check_conflict(fleet, client):
    """The same order twice at once, of which the first still runs."""
    fleet.tell("delay")

    def book():
        headers = {"Idempotency-Key": "order-17"}
        client.post("/services/orders/book", cast_to=object, body={"id": 17}, options={"headers": headers})

    first = threading.Thread(target=book)
    first.start()
    threading.Event().wait(1)
    print(raises(openai.ConflictError, book))
    first.join()
    fleet.tell("heal")


def main():
    print("openai", openai.__version__)
    fleet = Fleet(sys.argv[1])
    try:
        check_answers(fleet)
        check_errors(fleet)
    finally:
        fleet.end()
    print("Every check held.")


main()
