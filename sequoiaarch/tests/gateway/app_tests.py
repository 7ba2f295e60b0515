"""Test the HTTP API of callers."""

from __future__ import annotations

import socket

import openai

from ...client import ClientError
from ..base import (
    CALLER_KEY,
    MODEL,
    OTHER_KEY,
    Conversation,
    SystemTestCase,
    in_thread,
    wait_until,
)


class ChatTests(SystemTestCase):
    """Test conversations of several turns."""

    def openai_client(self) -> openai.OpenAI:
        """Return an unmodified OpenAI client with base URL and key only."""
        gateway = self.system.nodes["gateway-1"].gateway
        assert gateway is not None
        return openai.OpenAI(
            base_url=f"http://127.0.0.1:{gateway.port}/v1",
            api_key=CALLER_KEY,
            max_retries=0,
        )

    def test_openai_client(self) -> None:
        """The OpenAI client can hold a conversation without streaming."""
        client = self.openai_client()
        messages: list = []
        for turn in range(3):
            messages.append({"role": "user", "content": f"turn {turn}"})
            answer = client.chat.completions.create(
                model=MODEL,
                messages=messages,
                extra_headers={"X-Program-Id": "plain", "X-Call-Seq": str(turn + 1)},
            )
            message = answer.choices[0].message
            self.assertTrue(message.content)
            self.assertEqual(answer.choices[0].finish_reason, "stop")
            assert answer.usage is not None
            self.assertGreater(answer.usage.completion_tokens, 0)
            messages.append(message.model_dump())
        wait_until(
            lambda: self.system.state("plain").seq == 3, "three turns are committed"
        )

    def test_openai_client_streaming(self) -> None:
        """The OpenAI client can hold a streamed conversation."""
        client = self.openai_client()
        messages: list = []
        for turn in range(3):
            messages.append({"role": "user", "content": f"turn {turn}"})
            stream = client.chat.completions.create(
                model=MODEL,
                messages=messages,
                stream=True,
                extra_headers={"X-Program-Id": "streamed"},
            )
            chunks = [chunk.choices[0].delta.content or "" for chunk in stream]
            self.assertGreater(len(chunks), 2)
            messages.append({"role": "assistant", "content": "".join(chunks)})
        history = Conversation(
            client=self.system.client(), program="streamed"
        ).stored_messages
        wait_until(lambda: len(history()) == 6, "three turns are committed")
        self.assertEqual(
            [message["content"] for message in history()],
            [message["content"] for message in messages],
        )

    def test_single_call_ends_its_program(self) -> None:
        """The implicit program of a single call is ended and its memory freed."""
        answer = self.system.client().request(
            "POST",
            "/v1/chat/completions",
            {"model": MODEL, "messages": [{"role": "user", "content": "one call"}]},
        )
        self.assertTrue(answer["choices"][0]["message"]["content"])
        wait_until(
            lambda: (
                not any(
                    "p-" in key
                    for engine in self.system.engines
                    for key in engine.cache_keys
                )
            ),
            "the engine memory is freed",
        )

    def test_repeat_gets_the_same_answer(self) -> None:
        """A repeated call with the same sequence number gets the same answer."""
        conversation = self.converse("repeated")
        first = conversation.say("hello", seq=1)
        repeated = self.converse("repeated").say("hello", seq=1)
        self.assertEqual(first, repeated)

    def test_repeat_without_seq(self) -> None:
        """A repeated call without a sequence number gets the same answer."""
        first = self.converse("unnumbered").say("hello")
        repeated = self.converse("unnumbered").say("hello")
        self.assertEqual(first, repeated)
        wait_until(
            lambda: self.system.state("unnumbered").seq == 1, "the turn is committed"
        )

    def test_streamed_repeat_is_complete(self) -> None:
        """A repeated streamed call streams the recorded answer."""
        conversation = self.converse("replayed")
        body = conversation.body("hello", stream=True)

        def text() -> str:
            events = conversation.client.stream(
                "/v1/chat/completions", body, conversation.headers(1)
            )
            deltas = [event["choices"][0]["delta"] for event in events]
            return "".join(delta.get("content") or "" for delta in deltas)

        first = text()
        self.assertTrue(first)
        self.assertEqual(text(), first)


class ErrorTests(SystemTestCase):
    """Test that errors have the right status, kind, field, reason and `not_run`."""

    def refused_chat(self, body: object, **headers: str) -> ClientError:
        """Send a chat request and return the error response."""
        header_fields = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        with self.assertRaises(ClientError) as caught:
            self.system.client().request(
                "POST", "/v1/chat/completions", body, header_fields
            )
        return caught.exception

    def check_error(
        self, error: ClientError, status: int, kind: str, field: str
    ) -> None:
        """Check all parts of an error response."""
        self.assertEqual(error.body["kind"], kind)
        self.assertEqual(error.status, status)
        self.assertEqual(error.body.get("field"), field)
        self.assertIs(error.body["not_run"], True)
        self.assertTrue(error.body["reason"])
        self.assertEqual(error.body["error"]["type"], kind)

    def test_invalid_fields(self) -> None:
        """The error names the invalid field of the body."""
        user = [{"role": "user", "content": "x"}]
        cases = [
            ({"model": MODEL}, "messages"),
            ({"model": MODEL, "messages": []}, "messages"),
            ({"model": MODEL, "messages": user, "n": 2}, "n"),
            ({"model": MODEL, "messages": user, "max_tokens": 0}, "max_tokens"),
            ({"model": 7, "messages": user}, "model"),
        ]
        for body, field in cases:
            with self.subTest(field=field):
                error = self.refused_chat(body)
                self.assertEqual(error.status, 400)
                self.assertEqual(error.body["kind"], "malformed")
                self.assertIn(
                    field, f"{error.body.get('field')} {error.body['reason']}"
                )

    def test_invalid_headers(self) -> None:
        """The error names the invalid header."""
        body = {"model": MODEL, "messages": [{"role": "user", "content": "x"}]}
        cases = [
            ({"X_Program_Id": "a b"}, "X-Program-Id"),
            ({"X_Program_Id": "h", "X_Call_Seq": "zero"}, "X-Call-Seq"),
            ({"X_Request_Timeout": "-1"}, "X-Request-Timeout"),
        ]
        for headers, field in cases:
            with self.subTest(field=field):
                self.check_error(
                    self.refused_chat(body, **headers), 400, "malformed", field
                )

    def test_unknown_model(self) -> None:
        """A model that no Program of the workspace uses is refused."""
        body = {"model": "nothing", "messages": [{"role": "user", "content": "x"}]}
        self.check_error(self.refused_chat(body), 404, "unknown_model", "model")

    def test_unauthorised(self) -> None:
        """An unknown key is refused."""
        with self.assertRaises(ClientError) as caught:
            self.system.client(key="no-such-key").request("GET", "/v1/models")
        self.check_error(caught.exception, 401, "unauthorised", "Authorization")

    def test_out_of_sequence(self) -> None:
        """A call that skips a sequence number is refused."""
        conversation = self.converse("gap")
        conversation.say("first", seq=1)
        with self.assertRaises(ClientError) as caught:
            conversation.say("third", seq=3, retry=False)
        self.check_error(caught.exception, 409, "out_of_sequence", "X-Call-Seq")
        self.assertEqual(caught.exception.body["expected_seq"], 2)

    def test_sequence_number_reused_for_another_request(self) -> None:
        """Another request with the sequence number of an answered call is refused."""
        self.converse("taken").say("one thing", seq=1)
        with self.assertRaises(ClientError) as caught:
            self.converse("taken").say("another", seq=1, retry=False)
        self.check_error(caught.exception, 409, "out_of_sequence", "X-Call-Seq")

    def test_history_conflict(self) -> None:
        """Messages that don't extend the history of the program are refused."""
        conversation = self.converse("forked")
        conversation.say("first")
        conversation.messages[0]["content"] = "never said"
        with self.assertRaises(ClientError) as caught:
            conversation.say("second", retry=False)
        self.check_error(caught.exception, 409, "history_conflict", "messages")

    def test_programs_are_private_to_their_workspace(self) -> None:
        """Programs of other workspaces are hidden, also those with the same id."""
        self.converse("mine").say("secret")
        other = self.system.client(key=OTHER_KEY)
        with self.assertRaises(ClientError) as caught:
            other.request("GET", "/v1/programs/mine")
        self.assertEqual(caught.exception.status, 404)
        Conversation(client=other, program="mine").say("my own")
        wait_until(
            lambda: self.system.state("mine", "beta"),
            "the program of the other workspace",
        )
        history = Conversation(client=other, program="mine").stored_messages()
        self.assertEqual(history[0]["content"], "my own")

    def test_too_large(self) -> None:
        """A body over the size limit is refused."""
        gateway = self.system.nodes["gateway-1"]
        limit = gateway.core.settings.http.max_body
        content = "x" * (limit + 1)
        body = {"model": MODEL, "messages": [{"role": "user", "content": content}]}
        error = self.refused_chat(body)
        self.assertEqual(error.status, 413)
        self.assertEqual(error.body["kind"], "too_large")

    def test_key_needed(self) -> None:
        """A non-idempotent call without an idempotency key is refused."""
        self.converse("keyless").say("hello")
        with self.assertRaises(ClientError) as caught:
            self.system.client().request(
                "POST",
                "/v1/programs/keyless/tools/tools",
                {},
                {"X-Non-Idempotent": "true"},
            )
        self.check_error(caught.exception, 400, "malformed", "Idempotency-Key")

    def test_unknown_service(self) -> None:
        """A service that the Program does not list is refused."""
        self.converse("toolless").say("hello")
        with self.assertRaises(ClientError) as caught:
            self.system.client().request(
                "POST", "/v1/programs/toolless/tools/nothing", {}
            )
        self.check_error(caught.exception, 404, "unknown_service", "service")

    def test_unknown_path(self) -> None:
        """An unknown path gets an error in the same format."""
        with self.assertRaises(ClientError) as caught:
            self.system.client().request("GET", "/v1/nothing")
        self.assertEqual(caught.exception.body["kind"], "not_found")


class ProgramTests(SystemTestCase):
    """Test the life cycle of programs and sub-agents."""

    def test_program_life_cycle(self) -> None:
        """A program can be created, used, shown and ended, but not used afterwards."""
        client = self.system.client()
        created = client.request(
            "POST", "/v1/programs", {"model": MODEL, "budget": 9000}
        )
        conversation = Conversation(client=client, program=created["id"])
        conversation.say("hello")
        wait_until(
            lambda: len(conversation.stored_messages()) == 2, "the turn is committed"
        )
        ended = client.request("DELETE", f"/v1/programs/{created['id']}")
        self.assertEqual(ended["state"], "ended")
        self.assertEqual(ended["reserved"], 0)
        with self.assertRaises(ClientError) as caught:
            conversation.say("too late", retry=False)
        self.assertEqual(caught.exception.body["kind"], "program_ended")

    def test_child_budget_moves_and_returns(self) -> None:
        """A sub-agent takes budget from its parent and returns the unspent rest."""
        client = self.system.client()
        created = client.request(
            "POST", "/v1/programs", {"model": MODEL, "budget": 50_000}
        )
        path = f"/v1/programs/{created['id']}"
        child = client.request("POST", f"{path}/programs", {"budget": 20_000})
        self.assertEqual(child["parent"], created["id"])
        self.assertEqual(client.request("GET", path)["moved"], 20_000)
        conversation = Conversation(client=client, program=child["id"])
        conversation.say("work")
        wait_until(
            lambda: len(conversation.stored_messages()) == 2, "the turn is committed"
        )
        ended = client.request("DELETE", f"/v1/programs/{child['id']}")
        parent = client.request("GET", path)
        self.assertEqual(parent["moved"], 0)
        self.assertEqual(parent["spent"], ended["spent"])
        self.assertGreater(parent["spent"], 0)

    def test_child_over_budget(self) -> None:
        """A sub-agent with a budget larger than its parent's is refused."""
        client = self.system.client()
        created = client.request(
            "POST", "/v1/programs", {"model": MODEL, "budget": 100}
        )
        with self.assertRaises(ClientError) as caught:
            client.request(
                "POST", f"/v1/programs/{created['id']}/programs", {"budget": 101}
            )
        self.assertEqual(caught.exception.body["kind"], "budget_exhausted")

    def test_service_call_with_a_key_runs_once(self) -> None:
        """A repeated service call with the same idempotency key runs once."""
        client = self.system.client()
        headers = {"Idempotency-Key": "slip-1", "X-Non-Idempotent": "true"}
        path = "/v1/services/tools/print"
        first = client.request("POST", path, {"slip": 1}, headers)
        repeated = client.request("POST", path, {"slip": 1}, headers)
        self.assertEqual(first, repeated)
        self.assertEqual(self.system.executions()["slip-1"], 1)

    def test_key_with_another_body(self) -> None:
        """Another request with a used idempotency key is refused."""
        client = self.system.client()
        headers = {"Idempotency-Key": "slip-2", "X-Non-Idempotent": "true"}
        client.request("POST", "/v1/services/tools/print", {"slip": 2}, headers)
        with self.assertRaises(ClientError) as caught:
            client.request("POST", "/v1/services/tools/print", {"slip": 3}, headers)
        self.assertEqual(caught.exception.body["kind"], "key_conflict")


class BadConnectionTests(SystemTestCase):
    """Test that a malformed connection does not affect other callers."""

    def test_incomplete_requests_do_not_block_others(self) -> None:
        """Callers are served while forty clients have sent incomplete headers.

        Each of these connections occupies a thread of the web server.
        """
        gateway = self.system.nodes["gateway-1"].gateway
        assert gateway is not None
        sockets = []
        for _ in range(40):
            client = socket.create_connection(("127.0.0.1", gateway.port))
            client.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
            sockets.append(client)
            self.addCleanup(client.close)
        answer = in_thread(lambda: self.converse("bystander").say("hello"))
        self.assertTrue(answer.result(60))

    def test_oversized_headers_are_refused(self) -> None:
        """Oversized headers are refused, and the next call is served."""
        gateway = self.system.nodes["gateway-1"].gateway
        assert gateway is not None
        with socket.create_connection(("127.0.0.1", gateway.port)) as client:
            client.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: ")
            try:
                client.sendall(b"a" * 200_000)
                reply = client.recv(4096)
            except ConnectionError:
                reply = b"HTTP/1.1 413"
        self.assertIn(b" 4", reply[:16])
        self.assertTrue(self.converse("after-long").say("hello"))
