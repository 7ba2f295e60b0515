"""Enforce budgets: no token is used before the log has durably granted it."""

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

# Budgets that hold fewer turns of maximum size than this are granted in steps.
SMALL_BUDGET_TURNS = 4
# Up to this fraction of the budget a turn may start before its grant is known. Beyond
# it the turn waits for the log, so that a refused turn has never run.
EARLY_START_FRACTION = 0.5
# Idle time after which a program's unused grant is released, longer than the usual
# pause between its turns. Seconds.
RELEASE_AFTER = 0.8
RELEASE_INTERVAL = 0.4
# Time within which a live process releases what its turns left unused. Seconds.
RELEASE_TIMEOUT = 2.0
# Accounts outlive the retention of their program by this margin, as the program may
# resume at the last moment. Seconds.
EXPIRY_MARGIN = 60.0


class Budgets:
    """Grant tokens to turns; the order of the log decides between processes.

    No more is requested than open turns may need: what a lost process was granted can't
    be released and counts as spent.
    """

    def __init__(self, *, writer: WriterId, split: BudgetSplit | None = None) -> None:
        self._writer = writer
        self._split = split or LogOnlySplit()
        self._accounts: dict[ProgramId, Account] = {}

    def knows(self, program: ProgramId) -> bool:
        """Return whether this process has admitted turns of a program."""
        return program in self._accounts

    def granted(self, program: ProgramId) -> int | None:
        """Return the tokens granted to this process; None for an unknown program."""
        account = self._accounts.get(program)
        return account.granted if account is not None else None

    def spent(self, partition: LedgerPartition, program: ProgramId) -> int:
        """Return the tokens that a program is known here to have used."""
        account = self._accounts.get(program)
        own = account.used if account is not None else 0
        return partition.state.used_by_others(program) + own

    async def admit(
        self, partition: LedgerPartition, terms: TurnTerms
    ) -> Reservation | BudgetVerdict:
        """Reserve the maximum that a turn may use, or return why that is refused.

        Near the limit this waits for the log, as a turn that is refused for its budget
        must not have run. The first turn of a program in this process waits too: the
        grants of other processes are not known before.
        """
        if not partition.loaded and not await partition.sync():
            return BudgetVerdict.UNCERTAIN
        account = self._get_account(partition, terms)
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
        """Release what no open turn needs, along with a record that is due anyway."""
        account = self._accounts.get(program)
        if account is not None:
            self._lower_grant(account)

    def raise_grant(self, account: Account) -> None:
        """Request a larger grant, after the request that is under way."""
        account.raise_task = asyncio.create_task(
            self._raise_after(account, account.raise_task)
        )

    def has_free(self, account: Account, tokens: int) -> bool:
        """Return whether that many tokens are free beyond the demand of all turns."""
        return (
            self._wanted_by_others(account) + account.wanted + tokens <= account.limit
        )

    def turn_ended(self, account: Account, *, unused: bool) -> None:
        """Release at once what an ended turn left unused, if the budget is scarce.

        If this process is lost before it releases them, the tokens count as spent and
        the program may be refused although its budget holds several more turns.
        `unused` says that the turn used none, as most likely it runs on another
        process, which waits for these tokens.
        """
        if account.raise_task is None and not account.up_to_date:
            self.raise_grant(account)
        elif self._is_scarce(account):
            # Even while a request is pending: if the process is lost before the answer,
            # everything it requested counts as spent.
            self._lower_grant(account, urgent=unused)

    def release_all(self) -> None:
        """Release everything that no open turn needs, before a planned stop.

        What is not released counts as spent for the processes that remain.
        """
        for account in self._accounts.values():
            self._lower_grant(account)

    def release_idle(self) -> None:
        """Release what idle programs don't use, and forget programs that ended."""
        now = asyncio.get_running_loop().time()
        for program, account in list(self._accounts.items()):
            if account.raise_task is not None:
                continue
            if account.open:
                self._refresh(account, now)
            elif account.has_excess:
                # Includes requests whose answer was never read: the log may have
                # granted them, and other processes would refuse turns for it.
                idle = account.last_used + RELEASE_AFTER < now
                if (
                    idle or self._is_scarce(account)
                ) and not account.partition.unavailable:
                    self._lower_grant(account)
            elif account.last_used + account.retention + EXPIRY_MARGIN < now:
                del self._accounts[program]

    def _refresh(self, account: Account, now: float) -> None:
        """Publish the demand of open turns again while they run.

        Other processes ignore a demand that is older than `RELEASE_TIMEOUT`. Without
        the refresh, a turn queued at a busy engine would lose the rest of its budget
        and be cut off.
        """
        partly = account.wanted > account.granted
        due = account.published_at + RELEASE_TIMEOUT / 2 < now
        if partly and due and account.up_to_date and not account.partition.unavailable:
            self._write(account, account.granted, urgent=False)

    def _lower_grant(self, account: Account, *, urgent: bool = False) -> None:
        """Reduce the grant to what is needed, even while a request is pending."""
        if account.has_excess:
            requested = min(max(account.granted, account.requested), account.needed)
            account.granted = min(account.granted, requested)
            self._write(account, requested, urgent=urgent)

    def _is_scarce(self, account: Account) -> bool:
        """Return whether unused grants may be needed by other processes."""
        if _is_small(account):
            return True
        own = max(account.granted, account.published)
        return (
            self._wanted_by_others(account) + own
            > account.budget * EARLY_START_FRACTION
        )

    def _wanted_by_others(self, account: Account) -> int:
        """Return what others were granted, plus the recent demand of their turns.

        The demand of a process that has not written lately is left out, as it may be
        lost.
        """
        state = account.partition.state
        return state.wanted_by_others(account.program, state.now() - RELEASE_TIMEOUT)

    def _get_account(self, partition: LedgerPartition, terms: TurnTerms) -> Account:
        account = self._accounts.get(terms.program)
        if account is None:
            account = Account(terms=terms, partition=partition)
            self._accounts[terms.program] = account
            # The account was dropped and its program resumed: count its whole earlier
            # grant as used.
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
        """Return why a turn can't be granted, or None if it can.

        Near the limit the log is read first. A request based on an outdated view would
        be written, found too large and withdrawn; a program that retries in a loop on
        several processes would keep blocking the grants of its own running turns.
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
        """Return whether the budget is spent, or only held for a moment.

        Open turns release most of their reservation, so a program with parallel
        sub-agents must not be told that its budget is spent. A budget that is really
        spent must be reported as such, or the caller would retry without end.
        """
        state = account.partition.state
        total = state.used_by_others(account.program) + account.used
        if total + account.max_turn_tokens > account.limit:
            return BudgetVerdict.EXCEEDED
        releasing = state.may_release(account.program, state.now() - RELEASE_TIMEOUT)
        open_here = any(allocation.remaining for allocation in account.open)
        # The conflicting grant may have been released by the time this is read.
        fits_now = self._fits(account, terms)
        temporary = releasing or open_here or fits_now
        return BudgetVerdict.HELD if temporary else BudgetVerdict.EXCEEDED

    def _refused(self, account: Account, verdict: BudgetVerdict) -> BudgetVerdict:
        """Log what was counted against a refused turn, and return the verdict."""
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
        """Return whether a turn may start before its grant is known."""
        total = self._wanted_by_others(account) + account.wanted + terms.most
        return total <= terms.budget * EARLY_START_FRACTION

    def _may_reserve_fully(self, account: Account, terms: TurnTerms) -> bool:
        """Return whether a turn may reserve its maximum when it starts."""
        return self._may_start_early(account, terms) and not _is_small(account)

    def _fits(self, account: Account, terms: TurnTerms) -> bool:
        return self.has_free(account, terms.most)

    def _fits_superseding(self, account: Account, terms: TurnTerms) -> bool:
        """Return whether a turn fits if it replaces earlier ones of its session."""
        freed = _unreserved_tokens(account.partly_reserved(terms.session))
        return self.has_free(account, terms.most - freed)

    def _supersede_earlier(self, account: Account, terms: TurnTerms) -> None:
        """Limit the earlier turns of a session to what they have reserved.

        Their process may be lost, and their caller has moved on. The reserved part may
        already have been used, so it is not taken back.
        """
        earlier = account.partly_reserved(terms.session)
        log.info(
            "turn {} of {} supersedes earlier turns of its session, which frees {} "
            "tokens",
            terms.turn,
            account.program,
            _unreserved_tokens(earlier),
        )
        for allocation in earlier:
            allocation.superseded = True

    async def _raise_after(
        self, account: Account, before: asyncio.Task[bool] | None
    ) -> bool:
        """Raise the grant after `before`; return False if the result stays unknown."""
        this_task = asyncio.current_task()
        try:
            if before is not None:
                await asyncio.wait([before])
            known = await self._raise_now(account)
        finally:
            if account.raise_task is this_task:
                account.raise_task = None
        # Turns that ended in the meantime have not released their rest.
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
        # A smaller grant may have been requested since; its record follows this one.
        tokens = min(tokens, account.requested)
        if state.granted(account.program, self._writer) >= tokens:
            account.granted = tokens
            self._update_ceiling(account)
            return True
        # The newest record names more than was granted: write the valid amount.
        self._write(account, account.granted, urgent=False)
        return True

    def _update_ceiling(self, account: Account) -> None:
        """Store what other writers left free at the position of the newest grant."""
        state = account.partition.state
        since = state.now() - RELEASE_TIMEOUT
        others = state.wanted_by_others_at_grant(account.program, self._writer, since)
        account.ceiling = None if others is None else account.limit - others

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


def _unreserved_tokens(allocations: list[TurnAllocation]) -> int:
    """Return what allocations may use beyond their reserved part."""
    return sum(allocation.remaining - allocation.reserved for allocation in allocations)


def _is_small(account: Account) -> bool:
    return account.budget < SMALL_BUDGET_TURNS * account.max_turn_tokens
