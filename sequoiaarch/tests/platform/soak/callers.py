"""Run programs against the gateways and check the answers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from ....http1.client import ClientConnection, connect
from ....http1.messages import ExchangeError, RequestMessage
from ..deployment import EVENT_TOKENS, HOST, events_of
from .gateways import Gateway
from .property_checker import (
    NOT_RUN_STATUSES,
    OVERLOAD_STATUSES,
    UNLIMITED_KEY,
    Property,
    PropertyChecker,
    SentRequest,
)
from .proxy import LOOPBACK
from .targets import MAX_TOKENS, event_count

DEADLINE = 3.0
CONNECT_SECONDS = 1.0
# Seconds. A gateway may finish an answer that it has begun after the deadline; past
# this time the connection counts as lost.
ANSWER_TIMEOUT = DEADLINE + 2.0
MAX_ATTEMPTS = 6
RETRY_DELAY = 0.25
MAX_RETRY_DELAY = 1.0
BUDGET_TURNS = 8
OK = 200
BUDGET_EXHAUSTED = 402
NOT_FOUND = 404


@dataclass(kw_only=True)
class Answer:
    """Answer to one attempt; the status is 0 if none arrived."""

    attempt: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    sent: bool = False

    @property
    def served(self) -> bool:
        """Return whether the answer is successful and complete."""
        return self.complete and self.status == OK


@dataclass(kw_only=True)
class Conversation:
    """Prompt and token counts of a program, and its latest retained turn."""

    program: str
    budget: int
    retained: bool
    previous: str | None = None
    prompt: bytes = b""
    tokens: int = 0
    # Like `tokens`, but a turn without a complete answer counts with its maximum.
    counted: int = 0
    # Loop time of the program's deadline, if it has one.
    ends_at: float | None = None


class Caller:
    """Run programs, each request through a random gateway."""

    def __init__(
        self,
        *,
        name: str,
        gateways: list[Gateway],
        checker: PropertyChecker,
        rng: random.Random,
        deadline: float = DEADLINE,
        key: str = UNLIMITED_KEY,
    ) -> None:
        self.conversations: list[Conversation] = []
        self._deadline = deadline
        self._key = key
        self._name = name
        self._gateways = gateways
        self._checker = checker
        self._rng = rng
        self._count = 0

    async def run(self, until: float) -> None:
        """Run programs one after the other until the loop time `until`."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self.program(until)

    async def program(self, until: float) -> None:
        """Run the turns, sub-agent turns and service calls of one program."""
        self._count += 1
        conversation = Conversation(
            program=f"{self._name}-p{self._count}",
            budget=BUDGET_TURNS * MAX_TOKENS,
            retained=self._rng.random() < 0.7,
        )
        self.conversations.append(conversation)
        for _ in range(self._rng.randint(2, 12)):
            if asyncio.get_running_loop().time() > until:
                return
            if not await self.turn(conversation):
                return
            if self._rng.random() < 0.2:
                await asyncio.gather(
                    self.branch(conversation), self.branch(conversation)
                )
            if self._rng.random() < 0.6:
                await self.tool(self._rng.choice(("/safe/", "/once/")))
        self._checker.counts["programs"] += 1

    async def branch(self, conversation: Conversation) -> None:
        """Run one turn of a sub-agent that continues its parent's last turn."""
        branch = Conversation(
            program=conversation.program,
            budget=conversation.budget,
            retained=conversation.retained,
            previous=conversation.previous,
            prompt=conversation.prompt,
        )
        await self.turn(branch, charged=conversation)

    async def turn(
        self, conversation: Conversation, *, charged: Conversation | None = None
    ) -> bool:
        """Run a turn with retries and return whether it was served.

        Its tokens count towards `charged`, the parent of a sub-agent.
        """
        for retries in range(MAX_ATTEMPTS):
            answer = await self._turn_once(conversation, charged or conversation)
            if answer.served:
                self._checker.counts["turns"] += 1
                return True
            if answer.status in (BUDGET_EXHAUSTED, NOT_FOUND):
                return False
            await asyncio.sleep(self._retry_delay(answer, retries))
        return False

    async def tool(self, path: str) -> Answer:
        """Call a service, with retries where the request has not run or is safe."""
        answer = Answer(attempt="")
        for retries in range(MAX_ATTEMPTS):
            attempt = self._fresh_id()
            if path == "/safe/":
                self._checker.idempotent.add(attempt)
            gateway = self._rng.choice(self._gateways)
            answer = await self._send(gateway, path + "x", attempt, b"", {})
            self._check_tool(answer)
            not_run = answer.status in NOT_RUN_STATUSES
            if answer.served or not (not_run or path == "/safe/"):
                break
            await asyncio.sleep(self._retry_delay(answer, retries))
        return answer

    def _retry_delay(self, answer: Answer, retries: int) -> float:
        retry_after = float(answer.headers.get("retry-after", RETRY_DELAY))
        return min(retry_after, MAX_RETRY_DELAY) * self._rng.uniform(
            1.0, 1.2 + retries / 4
        )

    def _fresh_id(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    async def _turn_once(
        self, conversation: Conversation, charged: Conversation
    ) -> Answer:
        attempt = self._fresh_id()
        new_input = f"[{attempt}]".encode()
        headers = {
            "X-Program-Id": conversation.program,
            "X-Token-Budget": str(conversation.budget),
            "X-Token-Usage": f"10,{MAX_TOKENS}",
            "X-Deadline-Ms": str(int(self._deadline * 1000)),
            "Api-Key": self._key,
        }
        if conversation.ends_at is not None:
            left = conversation.ends_at - asyncio.get_running_loop().time()
            headers["X-Program-Deadline-Ms"] = str(max(1, int(left * 1000)))
        prompt = new_input
        if conversation.retained:
            prompt = conversation.prompt + new_input
            if conversation.previous:
                headers["X-Previous-Turn"] = conversation.previous
        else:
            self._checker.idempotent.add(attempt)
        self._checker.prompts[attempt] = prompt
        path = "/kept/a" if conversation.retained else "/free/a"
        gateway = self._rng.choice(self._gateways)
        answer = await self._send(gateway, path, attempt, new_input, headers)
        self._check_turn(answer, conversation, charged)
        if answer.served and conversation.retained:
            conversation.previous = attempt
            answer_text = b"".join(
                f"{attempt}-{number}\n".encode()
                for number in range(1, event_count(attempt) + 1)
            )
            conversation.prompt = prompt + answer_text
        return answer

    def _check_turn(
        self, answer: Answer, conversation: Conversation, charged: Conversation
    ) -> None:
        attempt = answer.attempt
        tokens = answer.body.count(b"data:") * EVENT_TOKENS
        charged.tokens += tokens
        if answer.status == BUDGET_EXHAUSTED:
            early = charged.counted + MAX_TOKENS <= charged.budget
            self._checker.counts["budget refused early"] += early
        elif answer.status not in NOT_RUN_STATUSES:
            charged.counted += tokens if answer.complete else MAX_TOKENS
        if charged.tokens > charged.budget + MAX_TOKENS:
            text = f"{conversation.program} got {charged.tokens} of {charged.budget}"
            self._checker.report_violation(Property.BUDGET, text)
        expected = b"".join(events_of(attempt, event_count(attempt)))
        if answer.served and answer.body != expected:
            self._checker.report_violation(
                Property.WHOLE, f"{attempt} got {answer.body!r}"
            )
        if answer.status == OK and not expected.startswith(answer.body):
            self._checker.report_violation(
                Property.WHOLE, f"{attempt} got the beginning {answer.body!r}"
            )
        if answer.status == NOT_FOUND:
            text = (
                f"{attempt} of {conversation.program}: "
                f"{conversation.previous} is not known"
            )
            self._checker.report_violation(Property.HISTORY, text)

    def _check_tool(self, answer: Answer) -> None:
        expected = f"done {answer.attempt}".encode()
        if answer.served and answer.body != expected:
            text = f"{answer.attempt} got {answer.body[:80]!r}"
            self._checker.report_violation(Property.WHOLE, text)

    async def _send(
        self,
        gateway: Gateway,
        path: str,
        attempt: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Answer:
        address = (LOOPBACK, gateway.caller_proxy.port)
        try:
            connection = await connect(address, timeout=CONNECT_SECONDS)
        except ExchangeError:
            return Answer(attempt=attempt)
        try:
            return await exchange(
                connection, gateway, path, attempt, body, headers, self._checker
            )
        finally:
            connection.abort()


async def exchange(
    connection: ClientConnection,
    gateway: Gateway,
    path: str,
    attempt: str,
    body: bytes,
    headers: dict[str, str],
    checker: PropertyChecker,
) -> Answer:
    """Send one request on a connection and return its answer."""
    sent = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(int(DEADLINE * 1000)),
        "Api-Key": UNLIMITED_KEY,
        **headers,
    }
    now = asyncio.get_running_loop().time()
    checker.sent_requests[attempt] = SentRequest(
        key=sent["Api-Key"],
        at=now,
        undisturbed_since=lambda: gateway.undisturbed_since,
    )
    message = RequestMessage(
        method=b"POST",
        target=path.encode(),
        headers=[(name.encode(), value.encode()) for name, value in sent.items()],
        body=body,
    )
    answer = Answer(attempt=attempt)
    disturbed_at, seconds = gateway.disturbed_at, 0.0
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT):
            await connection.send(message)
            answer.sent = True
            head = await connection.read_head()
            seconds = asyncio.get_running_loop().time() - now
            answer.status = head.status
            answer.headers = {
                name.decode().lower(): value.decode() for name, value in head.headers
            }
            while (part := await connection.read_body_part()) is not None:
                answer.body += part
            answer.complete = True
    except (ExchangeError, TimeoutError):
        checker.counts["cut"] += 1
    checker.record_status(attempt, answer.status)
    if answer.status in OVERLOAD_STATUSES:
        undisturbed = disturbed_at == gateway.disturbed_at
        retry_after = answer.headers.get("retry-after")
        checker.check_refusal(
            attempt,
            answer.status,
            retry_after,
            seconds=seconds if undisturbed else None,
            deadline=float(sent["X-Deadline-Ms"]) / 1000,
        )
    return answer


class KeepAliveCaller:
    """Send requests on one connection for as long as the gateway keeps it open.

    Call routes of random configuration versions, and report a gateway that no longer
    knows a route that it has served.
    """

    def __init__(
        self, *, gateway: Gateway, checker: PropertyChecker, rng: random.Random
    ) -> None:
        self._gateway = gateway
        self._checker = checker
        self._rng = rng
        self._seen_versions: dict[int, int] = {}
        self.newest_version = 0

    async def run(self, until: float) -> None:
        """Open connections and use them until the loop time `until`."""
        while asyncio.get_running_loop().time() < until:
            address = (LOOPBACK, self._gateway.caller_proxy.port)
            try:
                connection = await connect(address, timeout=CONNECT_SECONDS)
            except ExchangeError:
                await asyncio.sleep(RETRY_DELAY)
                continue
            try:
                await self._use(connection, until)
            finally:
                connection.abort()

    async def _use(self, connection: ClientConnection, until: float) -> None:
        while asyncio.get_running_loop().time() < until:
            attempt = f"{self._rng.getrandbits(64):016x}"
            self._checker.idempotent.add(attempt)
            generation = self._gateway.generation
            # Every configuration version after the first adds a route.
            version = self._rng.randint(1, max(1, self.newest_version))
            path = f"/added-{version}/x" if version > 1 else "/safe/x"
            last_fault = self._gateway.disturbed_at
            answer = await exchange(
                connection, self._gateway, path, attempt, b"", {}, self._checker
            )
            same_process = generation == self._gateway.generation
            if same_process:
                self._check_route(version, generation, answer)
            if not answer.complete:
                undisturbed = same_process and last_fault == self._gateway.disturbed_at
                if answer.sent and undisturbed and attempt in self._checker.runs:
                    text = f"{attempt} ran and {self._gateway.name} cut its answer off"
                    self._checker.report_violation(Property.STOP, text)
                await asyncio.sleep(RETRY_DELAY)
                return
            if (
                answer.headers.get("connection", "") == "close"
                or not connection.finish()
            ):
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.03))

    def _check_route(self, version: int, generation: int, answer: Answer) -> None:
        seen = self._seen_versions.get(generation, 0)
        if answer.status == NOT_FOUND and version <= seen:
            text = f"{self._gateway.name} served version {seen} and lacks {version}"
            self._checker.report_violation(Property.CONFIGURATION, text)
        if answer.status == OK:
            self._seen_versions[generation] = max(seen, version)
