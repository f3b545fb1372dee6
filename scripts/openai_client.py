"""Proves the callers' interface with the Python `openai` client, streamed and not.

Install: pip install openai==2.*
Usage: openai_client.py BASE_URL KEY MODEL
"""

import sys

import openai


def main() -> int:
    base_url, key, model = sys.argv[1:]
    client = openai.OpenAI(base_url=f"{base_url}/v1", api_key=key, max_retries=0)
    assert model in [m.id for m in client.models.list()]
    messages = [
        {"role": "system", "content": "You compare tonewood."},
        {"role": "user", "content": "Which billet fits?"},
    ]
    whole = client.chat.completions.create(model=model, messages=messages, max_tokens=12)
    text = whole.choices[0].message.content
    assert len(text.split()) == 12, text
    assert whole.usage.completion_tokens == 12, whole.usage

    stream = client.chat.completions.create(
        model=model, messages=messages, max_tokens=12, stream=True
    )
    parts, finish = [], None
    for chunk in stream:
        choice = chunk.choices[0]
        parts.append(choice.delta.content or "")
        finish = choice.finish_reason or finish
    assert "".join(parts) == text, (parts, text)
    assert finish == "length", finish

    try:
        wrong = openai.OpenAI(base_url=f"{base_url}/v1", api_key="sk-wrong", max_retries=0)
        wrong.models.list()
        raise AssertionError("a wrong key was accepted")
    except openai.AuthenticationError as e:
        assert e.code == "bad-key", e
    try:
        client.chat.completions.create(model="no-such-model", messages=messages)
        raise AssertionError("an unknown model was accepted")
    except openai.NotFoundError as e:
        assert e.code == "model-not-found", e
    print("openai client: models, whole answer, stream and errors are right")
    return 0


if __name__ == "__main__":
    sys.exit(main())
