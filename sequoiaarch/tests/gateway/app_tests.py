"""Test what callers see over HTTP."""

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
    """Hold conversations of several turns."""

    def openai_client(self) -> openai.OpenAI:
        """Return the stock client with base URL and key only."""
        gateway = self.system.nodes["gateway-1"].gateway
        assert gateway is not None
        return openai.OpenAI(
            base_url=f"http://127.0.0.1:{gateway.port}/v1",
            api_key=CALLER_KEY,
            max_retries=0,
        )

    def test_stock_client_plain(self) -> None:
        """Hold a plain conversation with the stock client."""
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
        wait_until(lambda: self.system.state("plain").seq == 3, "three commits")

    def test_stock_client_streaming(self) -> None:
        """Hold a streamed conversation with the stock client."""
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
            pieces = [chunk.choices[0].delta.content or "" for chunk in stream]
            self.assertGreater(len(pieces), 2)
            messages.append({"role": "assistant", "content": "".join(pieces)})
        kept = Conversation(
            client=self.system.client(), program="streamed"
        ).stored_messages
        wait_until(lambda: len(kept()) == 6, "three commits")
        self.assertEqual(
            [one["content"] for one in kept()], [one["content"] for one in messages]
        )

    def test_single_call_ends_its_program(self) -> None:
        """End the program of a call that names none, and free its memory."""
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
            "memory freed",
        )

    def test_repeat_gets_the_same_answer(self) -> None:
        """Answer a call that was answered before with the same answer."""
        talk = self.converse("repeated")
        first = talk.say("hello", seq=1)
        again = self.converse("repeated").say("hello", seq=1)
        self.assertEqual(first, again)

    def test_stock_client_repeat_without_seq(self) -> None:
        """Answer a repeated request without a number with the same answer."""
        first = self.converse("unnumbered").say("hello")
        again = self.converse("unnumbered").say("hello")
        self.assertEqual(first, again)
        wait_until(lambda: self.system.state("unnumbered").seq == 1, "one commit")

    def test_streamed_repeat_is_whole(self) -> None:
        """Stream an answer that was complete before it was asked for again."""
        talk = self.converse("replayed")
        body = talk.body("hello", stream=True)

        def text() -> str:
            events = talk.client.stream("/v1/chat/completions", body, talk.headers(1))
            deltas = [event["choices"][0]["delta"] for event in events]
            return "".join(delta.get("content") or "" for delta in deltas)

        first = text()
        self.assertTrue(first)
        self.assertEqual(text(), first)


class ErrorTests(SystemTestCase):
    """Refuse what is wrong, with kind, field, reason and a true `not_run`."""

    def refused(self, body: object, **headers: str) -> ClientError:
        """Return the error that a chat request gets."""
        found = {name.replace("_", "-"): value for name, value in headers.items()}
        with self.assertRaises(ClientError) as caught:
            self.system.client().request("POST", "/v1/chat/completions", body, found)
        return caught.exception

    def check(self, error: ClientError, status: int, kind: str, field: str) -> None:
        """Compare an error with what it should be."""
        self.assertEqual(error.body["kind"], kind)
        self.assertEqual(error.status, status)
        self.assertEqual(error.body.get("field"), field)
        self.assertIs(error.body["not_run"], True)
        self.assertTrue(error.body["reason"])
        self.assertEqual(error.body["error"]["type"], kind)

    def test_fields(self) -> None:
        """Name the field at fault."""
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
                error = self.refused(body)
                self.assertEqual(error.status, 400)
                self.assertEqual(error.body["kind"], "malformed")
                self.assertIn(
                    field, f"{error.body.get('field')} {error.body['reason']}"
                )

    def test_headers(self) -> None:
        """Name the header at fault."""
        body = {"model": MODEL, "messages": [{"role": "user", "content": "x"}]}
        cases = [
            ({"X_Program_Id": "a b"}, "X-Program-Id"),
            ({"X_Program_Id": "h", "X_Call_Seq": "zero"}, "X-Call-Seq"),
            ({"X_Request_Timeout": "-1"}, "X-Request-Timeout"),
        ]
        for headers, field in cases:
            with self.subTest(field=field):
                self.check(self.refused(body, **headers), 400, "malformed", field)

    def test_unknown_model(self) -> None:
        """Refuse a model that no Program of the workspace uses."""
        body = {"model": "nothing", "messages": [{"role": "user", "content": "x"}]}
        self.check(self.refused(body), 404, "unknown_model", "model")

    def test_unauthorised(self) -> None:
        """Refuse an unknown key."""
        with self.assertRaises(ClientError) as caught:
            self.system.client(key="no-such-key").request("GET", "/v1/models")
        self.check(caught.exception, 401, "unauthorised", "Authorization")

    def test_out_of_sequence(self) -> None:
        """Refuse a call whose predecessor never came."""
        talk = self.converse("gap")
        talk.say("first", seq=1)
        with self.assertRaises(ClientError) as caught:
            talk.say("third", seq=3, retry=False)
        self.check(caught.exception, 409, "out_of_sequence", "X-Call-Seq")
        self.assertEqual(caught.exception.body["expected_seq"], 2)

    def test_other_request_under_a_used_number(self) -> None:
        """Refuse another request under the number of an answered call."""
        self.converse("taken").say("one thing", seq=1)
        with self.assertRaises(ClientError) as caught:
            self.converse("taken").say("another", seq=1, retry=False)
        self.check(caught.exception, 409, "out_of_sequence", "X-Call-Seq")

    def test_history_conflict(self) -> None:
        """Refuse messages that do not extend the history."""
        talk = self.converse("forked")
        talk.say("first")
        talk.messages[0]["content"] = "never said"
        with self.assertRaises(ClientError) as caught:
            talk.say("second", retry=False)
        self.check(caught.exception, 409, "history_conflict", "messages")

    def test_another_workspace_sees_nothing(self) -> None:
        """Hide programs of other workspaces and keep equal names apart."""
        self.converse("mine").say("secret")
        other = self.system.client(key=OTHER_KEY)
        with self.assertRaises(ClientError) as caught:
            other.request("GET", "/v1/programs/mine")
        self.assertEqual(caught.exception.status, 404)
        Conversation(client=other, program="mine").say("my own")
        wait_until(lambda: self.system.state("mine", "beta"), "own program")
        kept = Conversation(client=other, program="mine").stored_messages()
        self.assertEqual(kept[0]["content"], "my own")

    def test_too_large(self) -> None:
        """Refuse a body over the limit before reading it whole."""
        gateway = self.system.nodes["gateway-1"]
        limit = gateway.core.settings.http.max_body
        content = "x" * (limit + 1)
        body = {"model": MODEL, "messages": [{"role": "user", "content": content}]}
        error = self.refused(body)
        self.assertEqual(error.status, 413)
        self.assertEqual(error.body["kind"], "too_large")

    def test_key_needed(self) -> None:
        """Refuse a non-idempotent call without a key."""
        self.converse("keyless").say("hello")
        with self.assertRaises(ClientError) as caught:
            self.system.client().request(
                "POST",
                "/v1/programs/keyless/tools/tools",
                {},
                {"X-Non-Idempotent": "true"},
            )
        self.check(caught.exception, 400, "malformed", "Idempotency-Key")

    def test_unknown_service(self) -> None:
        """Refuse a service that the Program does not name."""
        self.converse("toolless").say("hello")
        with self.assertRaises(ClientError) as caught:
            self.system.client().request(
                "POST", "/v1/programs/toolless/tools/nothing", {}
            )
        self.check(caught.exception, 404, "unknown_service", "service")

    def test_no_route(self) -> None:
        """Answer an unknown path in the same form."""
        with self.assertRaises(ClientError) as caught:
            self.system.client().request("GET", "/v1/nothing")
        self.assertEqual(caught.exception.body["kind"], "not_found")


class ProgramTests(SystemTestCase):
    """Create, show and end programs and sub-agents."""

    def test_life(self) -> None:
        """Create, use, show and end a program."""
        client = self.system.client()
        made = client.request("POST", "/v1/programs", {"model": MODEL, "budget": 9000})
        talk = Conversation(client=client, program=made["id"])
        talk.say("hello")
        wait_until(lambda: len(talk.stored_messages()) == 2, "commit")
        ended = client.request("DELETE", f"/v1/programs/{made['id']}")
        self.assertEqual(ended["state"], "ended")
        self.assertEqual(ended["reserved"], 0)
        with self.assertRaises(ClientError) as caught:
            talk.say("too late", retry=False)
        self.assertEqual(caught.exception.body["kind"], "program_ended")

    def test_child_budget_moves_and_returns(self) -> None:
        """Move budget to a sub-agent and return what it did not spend."""
        client = self.system.client()
        made = client.request(
            "POST", "/v1/programs", {"model": MODEL, "budget": 50_000}
        )
        path = f"/v1/programs/{made['id']}"
        child = client.request("POST", f"{path}/programs", {"budget": 20_000})
        self.assertEqual(child["parent"], made["id"])
        self.assertEqual(client.request("GET", path)["moved"], 20_000)
        talk = Conversation(client=client, program=child["id"])
        talk.say("work")
        wait_until(lambda: len(talk.stored_messages()) == 2, "commit")
        ended = client.request("DELETE", f"/v1/programs/{child['id']}")
        parent = client.request("GET", path)
        self.assertEqual(parent["moved"], 0)
        self.assertEqual(parent["spent"], ended["spent"])
        self.assertGreater(parent["spent"], 0)

    def test_child_over_budget(self) -> None:
        """Refuse a sub-agent that asks for more than its parent has."""
        client = self.system.client()
        made = client.request("POST", "/v1/programs", {"model": MODEL, "budget": 100})
        with self.assertRaises(ClientError) as caught:
            client.request(
                "POST", f"/v1/programs/{made['id']}/programs", {"budget": 101}
            )
        self.assertEqual(caught.exception.body["kind"], "budget_exhausted")

    def test_plain_service_key_runs_once(self) -> None:
        """Run a plain call under a key once, whoever asks again."""
        client = self.system.client()
        headers = {"Idempotency-Key": "slip-1", "X-Non-Idempotent": "true"}
        path = "/v1/services/tools/print"
        first = client.request("POST", path, {"slip": 1}, headers)
        again = client.request("POST", path, {"slip": 1}, headers)
        self.assertEqual(first, again)
        self.assertEqual(self.system.executions()["slip-1"], 1)

    def test_key_with_another_body(self) -> None:
        """Refuse another request under a key that was used."""
        client = self.system.client()
        headers = {"Idempotency-Key": "slip-2", "X-Non-Idempotent": "true"}
        client.request("POST", "/v1/services/tools/print", {"slip": 2}, headers)
        with self.assertRaises(ClientError) as caught:
            client.request("POST", "/v1/services/tools/print", {"slip": 3}, headers)
        self.assertEqual(caught.exception.body["kind"], "key_conflict")


class HoldUpTests(SystemTestCase):
    """Let no bad connection hold anybody up."""

    def test_half_requests_hold_nobody_up(self) -> None:
        """Answer others while many clients send half a request.

        Forty clients connect, send a part of their headers and stop. Each
        holds a thread; threads are added, so another caller is served.
        """
        gateway = self.system.nodes["gateway-1"].gateway
        assert gateway is not None
        sockets = []
        for _ in range(40):
            one = socket.create_connection(("127.0.0.1", gateway.port))
            one.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
            sockets.append(one)
            self.addCleanup(one.close)
        answer = in_thread(lambda: self.converse("bystander").say("hello"))
        self.assertTrue(answer.result(60))

    def test_oversized_headers(self) -> None:
        """Refuse oversized headers and go on."""
        gateway = self.system.nodes["gateway-1"].gateway
        assert gateway is not None
        with socket.create_connection(("127.0.0.1", gateway.port)) as one:
            one.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: ")
            try:
                one.sendall(b"a" * 200_000)
                reply = one.recv(4096)
            except ConnectionError:
                reply = b"HTTP/1.1 413"
        self.assertIn(b" 4", reply[:16])
        self.assertTrue(self.converse("after-long").say("hello"))
