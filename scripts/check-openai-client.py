"""Checks a router with the unmodified official OpenAI client."""

import subprocess
import sys
import threading

import openai

MODEL = "drafting"
MESSAGES = [{"role": "user", "content": "Which moulding suits a watercolour?"}]


class Fleet:
    """A test fleet with simulated upstreams, controlled by commands on its stdin."""

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

    def send_command(self, command):
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        assert self.process.stdout.readline().strip() == "done"

    def client(self, key=None):
        return openai.OpenAI(
            base_url=self.settings["URL"],
            api_key=key or self.settings["KEY"],
            max_retries=0,
        )

    def stop(self):
        self.process.stdin.close()
        self.process.wait(30)


def expect_error(error_type, call):
    try:
        call()
    except error_type as error:
        assert type(error) is error_type, type(error)
        return f"{error_type.__name__} {error.status_code} {error.body.get('code')}"
    raise AssertionError(f"{error_type.__name__} was not raised")


def create_chat(client, **overrides):
    params = {"model": MODEL, "messages": MESSAGES, "max_tokens": 12, **overrides}
    return client.chat.completions.create(**params)


def check_responses(fleet):
    client = fleet.client()
    buffered = create_chat(client)
    text = buffered.choices[0].message.content
    assert buffered.usage.completion_tokens == 12 and buffered.choices[0].finish_reason == "length"
    print("chat: buffered,", buffered.usage.total_tokens, "tokens")
    stream = create_chat(client, stream=True, stream_options={"include_usage": True})
    chunks = list(stream)
    parts = [c.choices[0].delta.content or "" for c in chunks if c.choices]
    assert "".join(parts) == text
    assert chunks[-1].usage.completion_tokens == 12
    print("chat: streamed,", len(chunks), "chunks, same text")
    parts = [{"type": "text", "text": MESSAGES[0]["content"]}]
    assert create_chat(client, messages=[{"role": "user", "content": parts}]).choices[0].message.content == text
    print("chat: text parts, same text")
    prompt = {"model": MODEL, "prompt": "Once", "max_tokens": 5}
    text = client.completions.create(**prompt).choices[0].text
    stream = client.completions.create(stream=True, **prompt)
    assert "".join(c.choices[0].text for c in stream if c.choices) == text
    print("completion: buffered and streamed, same text")
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
    invalid_key = fleet.client("nonsense")
    print(expect_error(openai.AuthenticationError, lambda: create_chat(invalid_key)))
    print(expect_error(openai.BadRequestError, lambda: create_chat(client, n=2)))
    print(expect_error(openai.BadRequestError, lambda: create_chat(client, messages=[])))
    print(expect_error(openai.NotFoundError, lambda: create_chat(client, model="none")))
    print(expect_error(openai.NotFoundError, lambda: client.models.retrieve("none")))
    rate_limited = fleet.client(fleet.settings["POOR_KEY"])
    print(expect_error(openai.RateLimitError, lambda: [create_chat(rate_limited) for _ in range(20)]))
    print(expect_error(openai.RateLimitError, lambda: [create_chat(rate_limited, stream=True) for _ in range(20)]))
    check_conflict(fleet, client)
    fleet.send_command("break")
    print(expect_error(openai.InternalServerError, lambda: create_chat(client)))
    print(expect_error(openai.InternalServerError, lambda: create_chat(client, stream=True)))
    fleet.send_command("heal")


def check_conflict(fleet, client):
    """Sends a second request with the idempotency key of one that is still running."""
    fleet.send_command("delay")

    def book():
        headers = {"Idempotency-Key": "order-17"}
        client.post("/services/orders/book", cast_to=object, body={"id": 17}, options={"headers": headers})

    first = threading.Thread(target=book)
    first.start()
    threading.Event().wait(1)
    print(expect_error(openai.ConflictError, book))
    first.join()
    fleet.send_command("heal")


def main():
    print("openai", openai.__version__)
    fleet = Fleet(sys.argv[1])
    try:
        check_responses(fleet)
        check_errors(fleet)
    finally:
        fleet.stop()
    print("All checks passed.")


main()
