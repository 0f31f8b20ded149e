"""Callers get complete responses from targets through a gateway."""

import hashlib

import openai

from mulberryrill.internal.httpclient import HttpClient
from mulberryrill.internal.standins.engine import EngineStandin
from mulberryrill.internal.standins.pseudotext import digest_text, generate_tokens
from tests.common.gateway import MODEL, TOKEN, GatewayTestCase, read_stream, wait_until


def expect_text(prompt: str, count: int = 8) -> str:
    return "".join(generate_tokens(MODEL, "3", digest_text(prompt), count))


class GatewayCallTest(GatewayTestCase):
    """Guards against responses that are lost, truncated or sent to unauthorized callers."""

    def test_answers_completions_with_and_without_streaming(self) -> None:
        self.start_engine()
        self.start_gateway()
        whole = self.complete()
        content = whole.parse_json()
        assert isinstance(content, dict)
        self.assertEqual(content["choices"][0]["text"], expect_text("hello"))
        self.assertEqual(whole.headers["x-request-id"], content["id"])
        streamed = self.complete(stream=True, stream_options={"include_usage": True})
        text, done, others = read_stream(streamed)
        self.assertEqual((text, done), (expect_text("hello"), True))
        self.assertEqual(others[0]["usage"]["completion_tokens"], 8)
        self.assertEqual(read_stream(self.complete(stream=True))[2], [])

    def test_unmodified_openai_client_works(self) -> None:
        self.start_engine()
        self.start_gateway()
        client = openai.OpenAI(api_key=TOKEN, base_url=f"{self.url}/v1", max_retries=0)
        self.addCleanup(client.close)
        self.assertEqual([model.id for model in client.models.list()], [MODEL])
        messages: list = [{"role": "user", "content": "sweet?"}]
        whole = client.chat.completions.create(model=MODEL, messages=messages, max_tokens=8)
        stream = client.chat.completions.create(
            model=MODEL, messages=messages, max_tokens=8, stream=True
        )
        text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
        self.assertEqual(text, expect_text("user: sweet?"))
        self.assertEqual(whole.choices[0].message.content, text)
        with self.assertRaises(openai.NotFoundError) as caught:
            client.completions.create(model="other", prompt="a")
        self.assertIn("no model 'other'", caught.exception.message)
        unauthorized = openai.OpenAI(api_key="other", base_url=f"{self.url}/v1", max_retries=0)
        self.addCleanup(unauthorized.close)
        with self.assertRaises(openai.AuthenticationError):
            unauthorized.models.list()

    def test_stream_that_an_openai_client_closes_is_cancelled_at_the_engine(self) -> None:
        """Guards against an engine that computes for a caller who has disconnected."""
        engine = self.start_engine(decode_ms_per_token=50)
        self.start_gateway()
        client = openai.OpenAI(api_key=TOKEN, base_url=f"{self.url}/v1", max_retries=0)
        self.addCleanup(client.close)
        stream = client.completions.create(
            model=MODEL, prompt="long", max_tokens=10_000, stream=True
        )
        next(iter(stream))
        self.assertEqual(self.count_running(engine), 1)
        stream.close()
        wait_until(lambda: self.count_running(engine) == 0, "cancelled at the engine")

    def count_running(self, engine: EngineStandin) -> int:
        client = HttpClient()
        try:
            state = client.send("GET", f"http://127.0.0.1:{engine.port}/v1/state").parse_json()
        finally:
            client.close()
        assert isinstance(state, dict)
        return int(state["running"])

    def test_forwards_calls_to_plain_services(self) -> None:
        self.start_service()
        self.start_gateway()
        response = self.call("POST", "/v1/services/sugar/stock/a%20b?x=1", {"n": 1})
        content = response.parse_json()
        assert isinstance(content, dict)
        self.assertEqual((response.status, content["path"]), (200, "/stock/a b"))
        self.assertEqual(content["body_sha256"], hashlib.sha256(b'{"n": 1}').hexdigest())
        self.assertNotIn("x-attempt-id", response.headers)
        self.assertEqual(self.call("GET", "/v1/services/other/a").status, 404)
        self.assertEqual(self.call("GET", "/v1/services/flavour/a").status, 404)
        self.assertEqual(self.call("GET", "/v1/services/sugar/a", token="x").status, 401)

    def test_bad_requests_are_refused_as_not_run(self) -> None:
        self.start_gateway(max_body_bytes=100)
        for body, status in (([], 400), ({"model": MODEL}, 400), ({"model": "x"}, 404)):
            with self.subTest(body=body):
                response = self.call("POST", "/v1/completions", body)
                content = response.parse_json()
                assert isinstance(content, dict)
                self.assertEqual((response.status, content["executed"]), (status, "no"))
                self.assertIn("message", content["error"])
        self.assertEqual(self.complete(prompt="x" * 200).status, 413)
        self.assertEqual(self.call("GET", "/v1/completions").status, 405)
