"""Run programs as callers do, and check what they get."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from ....http1.client import ClientConnection, connect
from ....http1.messages import ExchangeError, RequestMessage
from ..site import EVENT_TOKENS, HOST, events_of
from .gateways import Gateway
from .proxy import LOOPBACK
from .tally import NOT_RUN_STATUSES, OPEN_KEY, Promise, Sent, Tally
from .targets import MOST_TOKENS, event_count

DEADLINE = 3.0
CONNECT_SECONDS = 1.0
# Beyond the deadline a gateway owes an answer that it has begun; a caller that
# waits longer has lost its connection. Seconds.
PATIENCE = DEADLINE + 2.0
TRIES = 6
TRY_PAUSE = 0.25
MOST_PAUSE = 1.0
BUDGET_TURNS = 8
OK = 200
BUDGET_SPENT = 402
UNKNOWN_TURN = 404


@dataclass(kw_only=True)
class Answer:
    """Hold what came back; status 0 where nothing did."""

    attempt: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    sent: bool = False

    @property
    def served(self) -> bool:
        """Return whether the answer is a whole success."""
        return self.whole and self.status == OK


@dataclass(kw_only=True)
class Line:
    """Hold a program and the turn that its next one continues."""

    program: str
    budget: int
    kept: bool
    previous: str | None = None
    prompt: bytes = b""
    tokens: int = 0
    # The tokens that count as spent: a turn that broke counts at its most.
    counted: int = 0


class Caller:
    """Send requests of programs to gateways drawn by lot."""

    def __init__(
        self,
        *,
        name: str,
        gateways: list[Gateway],
        tally: Tally,
        rng: random.Random,
        deadline: float = DEADLINE,
    ) -> None:
        self.lines: list[Line] = []
        self._deadline = deadline
        self._name = name
        self._gateways = gateways
        self._tally = tally
        self._rng = rng
        self._count = 0

    async def run(self, until: float) -> None:
        """Run one program after the other until a time of the loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self.program(until)

    async def program(self, until: float) -> None:
        """Run turns, branches and tools of one program."""
        self._count += 1
        line = Line(
            program=f"{self._name}-p{self._count}",
            budget=BUDGET_TURNS * MOST_TOKENS,
            kept=self._rng.random() < 0.7,
        )
        self.lines.append(line)
        for _ in range(self._rng.randint(2, 12)):
            if asyncio.get_running_loop().time() > until:
                return
            if not await self.turn(line):
                return
            if self._rng.random() < 0.2:
                await asyncio.gather(self.branch(line), self.branch(line))
            if self._rng.random() < 0.6:
                await self.tool(self._rng.choice(("/safe/", "/once/")))
        self._tally.counts["programs"] += 1

    async def branch(self, line: Line) -> None:
        """Run a turn of a sub-agent from where its parent stands."""
        branch = Line(
            program=line.program,
            budget=line.budget,
            kept=line.kept,
            previous=line.previous,
            prompt=line.prompt,
        )
        await self.turn(branch, shared=line)

    async def turn(self, line: Line, *, shared: Line | None = None) -> bool:
        """Run a turn, trying again as callers do; return whether it was served."""
        for number in range(TRIES):
            answer = await self._turn_once(line, shared or line)
            if answer.served:
                self._tally.counts["turns"] += 1
                return True
            if answer.status in (BUDGET_SPENT, UNKNOWN_TURN):
                return False
            await asyncio.sleep(self._pause(answer, number))
        return False

    async def tool(self, path: str) -> Answer:
        """Call a service, and again where the answer allows it."""
        answer = Answer(attempt="")
        for number in range(TRIES):
            attempt = self._fresh_id()
            if path == "/safe/":
                self._tally.repeatable.add(attempt)
            gateway = self._rng.choice(self._gateways)
            answer = await self._send(gateway, path + "x", attempt, b"", {})
            self._check_tool(answer)
            promised = answer.status in NOT_RUN_STATUSES
            if answer.served or not (promised or path == "/safe/"):
                break
            await asyncio.sleep(self._pause(answer, number))
        return answer

    def _pause(self, answer: Answer, number: int) -> float:
        told = float(answer.headers.get("retry-after", TRY_PAUSE))
        return min(told, MOST_PAUSE) * self._rng.uniform(1.0, 1.2 + number / 4)

    def _fresh_id(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    async def _turn_once(self, line: Line, paying: Line) -> Answer:
        attempt = self._fresh_id()
        given = f"[{attempt}]".encode()
        headers = {
            "X-Program-Id": line.program,
            "X-Token-Budget": str(line.budget),
            "X-Token-Usage": f"10,{MOST_TOKENS}",
            "X-Deadline-Ms": str(int(self._deadline * 1000)),
        }
        prompt = given
        if line.kept:
            prompt = line.prompt + given
            if line.previous:
                headers["X-Previous-Turn"] = line.previous
        else:
            self._tally.repeatable.add(attempt)
        self._tally.prompts[attempt] = prompt
        path = "/kept/a" if line.kept else "/free/a"
        gateway = self._rng.choice(self._gateways)
        answer = await self._send(gateway, path, attempt, given, headers)
        self._check_turn(answer, line, paying)
        if answer.served and line.kept:
            line.previous = attempt
            data = b"".join(
                f"{attempt}-{one}\n".encode()
                for one in range(1, event_count(attempt) + 1)
            )
            line.prompt = prompt + data
        return answer

    def _check_turn(self, answer: Answer, line: Line, paying: Line) -> None:
        attempt = answer.attempt
        tokens = answer.body.count(b"data:") * EVENT_TOKENS
        paying.tokens += tokens
        if answer.status == BUDGET_SPENT:
            early = paying.counted + MOST_TOKENS <= paying.budget
            self._tally.counts["budget refused early"] += early
        elif answer.status not in NOT_RUN_STATUSES:
            paying.counted += tokens if answer.whole else MOST_TOKENS
        if paying.tokens > paying.budget + MOST_TOKENS:
            text = f"{line.program} got {paying.tokens} of {paying.budget}"
            self._tally.violate(Promise.BUDGET, text)
        wanted = b"".join(events_of(attempt, event_count(attempt)))
        if answer.served and answer.body != wanted:
            self._tally.violate(Promise.WHOLE, f"{attempt} got {answer.body!r}")
        if answer.status == OK and not wanted.startswith(answer.body):
            self._tally.violate(Promise.WHOLE, f"{attempt} began {answer.body!r}")
        if answer.status == UNKNOWN_TURN:
            text = f"{attempt} of {line.program}: {line.previous} is not known"
            self._tally.violate(Promise.HISTORY, text)

    def _check_tool(self, answer: Answer) -> None:
        wanted = f"done {answer.attempt}".encode()
        if answer.served and answer.body != wanted:
            text = f"{answer.attempt} got {answer.body[:80]!r}"
            self._tally.violate(Promise.WHOLE, text)

    async def _send(
        self,
        gateway: Gateway,
        path: str,
        attempt: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Answer:
        address = (LOOPBACK, gateway.callers.port)
        try:
            link = await connect(address, timeout=CONNECT_SECONDS)
        except ExchangeError:
            return Answer(attempt=attempt)
        try:
            return await exchange(link, path, attempt, body, headers, self._tally)
        finally:
            link.abort()


async def exchange(
    link: ClientConnection,
    path: str,
    attempt: str,
    body: bytes,
    headers: dict[str, str],
    tally: Tally,
) -> Answer:
    """Send one request on a connection and return what came."""
    sent = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(int(DEADLINE * 1000)),
        "Api-Key": OPEN_KEY,
        **headers,
    }
    now = asyncio.get_running_loop().time()
    tally.sent[attempt] = Sent(key=sent["Api-Key"], at=now)
    message = RequestMessage(
        method=b"POST",
        target=path.encode(),
        headers=[(name.encode(), value.encode()) for name, value in sent.items()],
        body=body,
    )
    answer = Answer(attempt=attempt)
    try:
        async with asyncio.timeout(PATIENCE):
            await link.send(message)
            answer.sent = True
            head = await link.read_head()
            answer.status = head.status
            answer.headers = {
                name.decode().lower(): value.decode() for name, value in head.headers
            }
            while (part := await link.read_body_part()) is not None:
                answer.body += part
            answer.whole = True
    except (ExchangeError, TimeoutError):
        tally.counts["cut"] += 1
    tally.answered(attempt, answer.status)
    return answer


class KeptCaller:
    """Send requests on one connection for as long as its gateway keeps it.

    It also asks for the newest route that its gateway has shown.
    """

    def __init__(self, *, gateway: Gateway, tally: Tally, rng: random.Random) -> None:
        self._gateway = gateway
        self._tally = tally
        self._rng = rng
        self._shown: dict[int, int] = {}
        self.newest = 0

    async def run(self, until: float) -> None:
        """Open connections and use them until a time of the loop."""
        while asyncio.get_running_loop().time() < until:
            address = (LOOPBACK, self._gateway.callers.port)
            try:
                link = await connect(address, timeout=CONNECT_SECONDS)
            except ExchangeError:
                await asyncio.sleep(TRY_PAUSE)
                continue
            try:
                await self._use(link, until)
            finally:
                link.abort()

    async def _use(self, link: ClientConnection, until: float) -> None:
        while asyncio.get_running_loop().time() < until:
            attempt = f"{self._rng.getrandbits(64):016x}"
            self._tally.repeatable.add(attempt)
            life = self._gateway.life
            # The first version has none of the routes that later ones add.
            asked = self._rng.randint(1, max(1, self.newest))
            path = f"/added-{asked}/x" if asked > 1 else "/safe/x"
            quiet = self._gateway.quiet_since
            answer = await exchange(link, path, attempt, b"", {}, self._tally)
            same = life == self._gateway.life
            if same:
                self._check_route(asked, life, answer)
            if not answer.whole:
                undisturbed = same and quiet == self._gateway.quiet_since
                if answer.sent and undisturbed and attempt in self._tally.runs:
                    text = f"{attempt} ran and {self._gateway.name} cut it"
                    self._tally.violate(Promise.STOP, text)
                await asyncio.sleep(TRY_PAUSE)
                return
            if answer.headers.get("connection", "") == "close" or not link.finish():
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.03))

    def _check_route(self, asked: int, life: int, answer: Answer) -> None:
        shown = self._shown.get(life, 0)
        if answer.status == UNKNOWN_TURN and asked <= shown:
            text = f"{self._gateway.name} had version {shown} and denies {asked}"
            self._tally.violate(Promise.CONFIGURATION, text)
        if answer.status == OK:
            self._shown[life] = max(shown, asked)
