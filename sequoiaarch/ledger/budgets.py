"""Hold budgets: nothing is handed out that was not granted durably before."""

from __future__ import annotations

import asyncio

import logbook

from ..ids import Offset, ProgramId, WriterId
from ..storage.keyed import KeyedRecord
from .account import Account, TurnAllocation
from .partition import LedgerPartition
from .records import GrantRecord, encode_record, grant_key
from .reservation import Reservation, initial_share
from .split import BudgetSplit, LogOnlySplit
from .terms import BudgetVerdict, TurnTerms

log = logbook.Logger("budget")

# A budget of fewer turns at their most than this is granted turn by turn.
SMALL_BUDGET_TURNS = 4
# Below this share of the budget a grant is checked beside the engine's work;
# above it, before the request is sent, so that a refusal stays true.
EARLY_START_SHARE = 0.5
# A program that has been still for this long here returns what it doesn't use;
# the pauses between its turns are shorter. Seconds.
RELEASE_AFTER = 0.8
RELEASE_INTERVAL = 0.4
# Another process returns its rest within this time. Seconds.
RELEASE_DEADLINE = 2.0
# An account is kept for this time beyond the retention of its program: what was
# handed out here counts if the program comes back at the last moment. Seconds.
FORGET_AFTER = 60.0


class Budgets:
    """Grant turns their part of a budget, in the order of the log.

    Nothing is granted beyond what open turns may need: a process that is lost can't
    return it, and the program would be refused for tokens that nobody handed out.
    """

    def __init__(self, *, writer: WriterId, split: BudgetSplit | None = None) -> None:
        self._writer = writer
        self._split = split or LogOnlySplit()
        self._accounts: dict[ProgramId, Account] = {}

    def knows(self, program: ProgramId) -> bool:
        """Return whether turns of a program were admitted here."""
        return program in self._accounts

    def granted(self, program: ProgramId) -> int | None:
        """Return what this process was granted; None for an unknown program."""
        account = self._accounts.get(program)
        return account.granted if account is not None else None

    def spent(self, partition: LedgerPartition, program: ProgramId) -> int:
        """Return the tokens that a program has used, as far as is known here."""
        account = self._accounts.get(program)
        own = account.used if account is not None else 0
        return partition.state.used_by_others(program) + own

    async def admit(
        self, partition: LedgerPartition, terms: TurnTerms
    ) -> Reservation | BudgetVerdict:
        """Reserve the most that a turn may use, or say why not.

        Near the limit the answer waits for the log, since a request that was
        refused for its budget must never have run. So does the first turn of
        a program here: what others were granted is not known before.
        """
        if not partition.loaded and not await partition.sync():
            return BudgetVerdict.UNCERTAIN
        account = self._account(partition, terms)
        if account.wanted + terms.most <= account.granted:
            return self._make_reservation(account, terms, reserved=terms.most)
        refusal = await self._check_fit(account, terms)
        if refusal is not None:
            return self._refused(account, refusal)
        starts_early = self._may_start_early(account, terms)
        whole_turn = self._may_reserve_fully(account, terms)
        reserved = terms.most if whole_turn else initial_share(terms.most)
        reservation = self._make_reservation(account, terms, reserved=reserved)
        self.raise_grant(account)
        if starts_early:
            return reservation
        verdict = BudgetVerdict.UNCERTAIN
        try:
            verdict = await reservation.verdict()
        finally:
            if verdict is not BudgetVerdict.FITS:
                reservation.close()
        if verdict is BudgetVerdict.FITS:
            return reservation
        if verdict is BudgetVerdict.EXCEEDED:
            verdict = self._shortage_verdict(account, terms)
        return self._refused(account, verdict)

    def release_unused(self, program: ProgramId) -> None:
        """Return what no open turn needs, beside a record that is written anyway."""
        account = self._accounts.get(program)
        if account is not None:
            self._lower_grant(account)

    def raise_grant(self, account: Account) -> None:
        """Ask for a larger grant, after one that is under way."""
        account.raise_task = asyncio.create_task(
            self._raise_after(account, account.raise_task)
        )

    def has_free(self, account: Account, tokens: int) -> bool:
        """Return whether so much is free beside what all turns may come to."""
        return (
            self._wanted_by_others(account) + account.wanted + tokens <= account.limit
        )

    def turn_ended(self, account: Account, *, unused: bool) -> None:
        """Return at once what an ended turn leaves, where it may be missing.

        What a process has not returned when it is lost counts as spent for
        good: a program that comes back later would be refused although its budget
        holds several more turns. An unused turn most likely runs elsewhere and
        waits there for what it held here.
        """
        if account.raise_task is None and not account.up_to_date:
            self.raise_grant(account)
        elif self._is_scarce(account):
            # Also while an answer is awaited, as the process may be lost before it
            # comes: all that it had asked for would count as spent.
            self._lower_grant(account, urgent=unused)

    def release_all(self) -> None:
        """Return all that no open turn needs, as the process is to end.

        What is not returned counts as spent by whoever follows: after a
        planned restart programs would be refused that have used little.
        """
        for account in self._accounts.values():
            self._lower_grant(account)

    def release_idle(self) -> None:
        """Return what still programs don't use, and forget those long ended."""
        now = asyncio.get_running_loop().time()
        for program, account in list(self._accounts.items()):
            if account.raise_task is not None:
                continue
            if account.open:
                self._refresh(account, now)
            elif account.has_excess:
                # Also what was asked for and never read: the log may have granted
                # it, and others would refuse turns for it.
                idle = account.last_used + RELEASE_AFTER < now
                if (
                    idle or self._is_scarce(account)
                ) and not account.partition.unavailable:
                    self._lower_grant(account)
            elif account.last_used + account.retention + FORGET_AFTER < now:
                del self._accounts[program]

    def _refresh(self, account: Account, now: float) -> None:
        """Tell the others again what open turns may come to, while they run.

        They leave it free for two seconds. A turn that waits for longer at a full
        engine would find the rest of its budget taken, and be cut.
        """
        partly = account.wanted > account.granted
        due = account.published_at + RELEASE_DEADLINE / 2 < now
        if partly and due and account.up_to_date and not account.partition.unavailable:
            self._write(account, account.granted, urgent=False)

    def _lower_grant(self, account: Account, *, urgent: bool = False) -> None:
        """Ask for no more than is needed, also while an answer is awaited."""
        if account.has_excess:
            requested = min(max(account.granted, account.requested), account.needed)
            account.granted = min(account.granted, requested)
            self._write(account, requested, urgent=urgent)

    def _is_scarce(self, account: Account) -> bool:
        """Return whether what is held ahead may be missing elsewhere."""
        if _is_small(account):
            return True
        own = max(account.granted, account.published)
        return (
            self._wanted_by_others(account) + own > account.budget * EARLY_START_SHARE
        )

    def _wanted_by_others(self, account: Account) -> int:
        """Return what others were granted, and what their open turns may need.

        A process that was lost a while ago needs nothing more.
        """
        state = account.partition.state
        return state.wanted_by_others(account.program, state.now() - RELEASE_DEADLINE)

    def _account(self, partition: LedgerPartition, terms: TurnTerms) -> Account:
        account = self._accounts.get(terms.program)
        if account is None:
            account = Account(terms=terms, partition=partition)
            self._accounts[terms.program] = account
            # Forgotten here a while ago: what was handed out then still counts.
            account.used = partition.state.granted(terms.program, self._writer)
            account.granted = account.requested = account.used
        account.budget = terms.budget
        account.max_turn_tokens = max(account.max_turn_tokens, terms.most)
        account.limit = max(account.limit, self._split.log_limit(terms))
        account.last_used = asyncio.get_running_loop().time()
        return account

    def _make_reservation(
        self, account: Account, terms: TurnTerms, *, reserved: int
    ) -> Reservation:
        allocation = TurnAllocation(
            remaining=terms.most, reserved=reserved, session=terms.session
        )
        return Reservation(
            terms=terms, account=account, allocation=allocation, updater=self
        )

    async def _check_fit(
        self, account: Account, terms: TurnTerms
    ) -> BudgetVerdict | None:
        """Return why a turn can't be granted, as the log stands.

        Where little is left the log is read first. What a process asks for by an
        old view is granted as a part, found to be too much, and taken back. A
        program that loops through several processes would do so all the time, and
        turns that never begin would take the parts that its running turns need.
        """
        if account.partition.unavailable:
            return BudgetVerdict.UNCERTAIN
        if self._fits(account, terms) and self._may_reserve_fully(account, terms):
            return None
        if not await account.partition.sync():
            return BudgetVerdict.UNCERTAIN
        if self._fits(account, terms):
            return None
        if self._fits_superseding(account, terms):
            self._supersede_earlier(account, terms)
            return None
        return self._shortage_verdict(account, terms)

    def _shortage_verdict(self, account: Account, terms: TurnTerms) -> BudgetVerdict:
        """Return whether the budget is spent, or held for a moment.

        Open turns return most of what they hold: a program with four
        sub-agents at once would be told that its budget is spent, which ends
        it, with a third of it used. One that loops must be told at once: its
        turns never end, and each would be tried again and again.
        """
        state = account.partition.state
        total = state.used_by_others(account.program) + account.used
        if total + account.max_turn_tokens > account.limit:
            return BudgetVerdict.EXCEEDED
        releasing = state.may_release(account.program, state.now() - RELEASE_DEADLINE)
        open_here = any(allocation.remaining for allocation in account.open)
        # What was in the way of a grant may be gone by the time that it is read.
        fits_now = self._fits(account, terms)
        temporary = releasing or open_here or fits_now
        return BudgetVerdict.HELD if temporary else BudgetVerdict.EXCEEDED

    def _refused(self, account: Account, verdict: BudgetVerdict) -> BudgetVerdict:
        """Log what was counted against a refused turn, and return its verdict."""
        log.info(
            "a turn of {} is refused, its budget of {} is {}: {} handed out and {} "
            "wanted here, granted to others: {}",
            account.program,
            account.budget,
            verdict.value,
            account.used,
            account.wanted,
            account.partition.state.describe_others(account.program) or "nothing",
        )
        return verdict

    def _may_start_early(self, account: Account, terms: TurnTerms) -> bool:
        """Return whether a turn may begin before its grant is known."""
        after = self._wanted_by_others(account) + account.wanted + terms.most
        return after <= terms.budget * EARLY_START_SHARE

    def _may_reserve_fully(self, account: Account, terms: TurnTerms) -> bool:
        """Return whether a turn may hold its most from its beginning."""
        return self._may_start_early(account, terms) and not _is_small(account)

    def _fits(self, account: Account, terms: TurnTerms) -> bool:
        return self.has_free(account, terms.most)

    def _fits_superseding(self, account: Account, terms: TurnTerms) -> bool:
        """Return whether a turn fits in place of earlier ones of its session."""
        freed = _unreserved(account.partly_reserved(terms.session))
        return self.has_free(account, terms.most - freed)

    def _supersede_earlier(self, account: Account, terms: TurnTerms) -> None:
        """Have the earlier turns of a session claim no more than they hold.

        Whoever has them may be lost: their caller would be refused for what nobody
        is to use. What they hold may have been handed out, so it stays theirs.
        """
        earlier = account.partly_reserved(terms.session)
        log.info(
            "turn {} of {} takes the place of earlier ones of its session, which "
            "leave {} tokens",
            terms.turn,
            account.program,
            _unreserved(earlier),
        )
        for allocation in earlier:
            allocation.superseded = True

    async def _raise_after(
        self, account: Account, before: asyncio.Task[bool] | None
    ) -> bool:
        """Write a grant and read whether it holds; False if that is unknown."""
        own = asyncio.current_task()
        try:
            if before is not None:
                await asyncio.wait([before])
            known = await self._raise_now(account)
        finally:
            if account.raise_task is own:
                account.raise_task = None
        # Turns that ended meanwhile returned nothing.
        if (
            account.raise_task is None
            and account.up_to_date
            and self._is_scarce(account)
        ):
            self._lower_grant(account, urgent=not account.open)
        return known

    async def _raise_now(self, account: Account) -> bool:
        partition = account.partition
        if account.up_to_date:
            return True
        tokens = max(account.granted, account.needed)
        offset = await self._write(account, tokens, urgent=True)
        while partition.cursor <= offset:
            if not await partition.sync():
                return False
        state = partition.state
        # Less may have been asked for meanwhile, which counts at its place.
        tokens = min(tokens, account.requested)
        if state.granted(account.program, self._writer) >= tokens:
            account.granted = tokens
            self._update_ceiling(account)
            return True
        # The newest record names more than is valid: put that right.
        self._write(account, account.granted, urgent=False)
        return True

    def _update_ceiling(self, account: Account) -> None:
        """Keep what others left free where the newest grant stands in the log."""
        state = account.partition.state
        since = state.now() - RELEASE_DEADLINE
        beside = state.wanted_by_others_at_grant(account.program, self._writer, since)
        account.ceiling = None if beside is None else account.limit - beside

    def _write(
        self, account: Account, tokens: int, *, urgent: bool
    ) -> asyncio.Future[Offset]:
        account.requested = tokens
        account.published = account.wanted
        account.published_at = asyncio.get_running_loop().time()
        record = GrantRecord(
            program=account.program,
            retention=account.retention,
            writer=self._writer,
            budget=account.budget,
            tokens=tokens,
            used=account.used,
            limit=account.limit,
            wanted=account.wanted,
        )
        key = grant_key(account.program, self._writer)
        keyed = KeyedRecord(key=key, value=encode_record(record))
        return account.partition.append(keyed, urgent=urgent)


def _unreserved(allocations: list[TurnAllocation]) -> int:
    """Return what parts may come to beyond what they hold."""
    return sum(allocation.remaining - allocation.reserved for allocation in allocations)


def _is_small(account: Account) -> bool:
    return account.budget < SMALL_BUDGET_TURNS * account.max_turn_tokens
