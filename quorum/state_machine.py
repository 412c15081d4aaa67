"""The replicated state: sessions, leases with their tokens, and small records. Pure; all members apply alike.

No time is in here: a lease runs out by an ``Expire`` that the leader proposes by its own monotonic clock, so
that every member sees the same end at the same place in the log.
"""

from __future__ import annotations

import msgspec

from quorum.incarnations import MAX_SHUNNED_FOLDERS

MAX_SESSIONS, MAX_LEASES, MAX_RECORDS = 8192, 4096, 4096
MAX_NAME_BYTES, MAX_VALUE_BYTES = 128, 64 * 1024  # bytes of a name and of a record
MAX_RECORDS_BYTES = 8 * 1024 * 1024  # of all records: the state has to pass in one frame
NO_SESSION = "no such session"
RESTORED_TOKEN_GAP = 1_000_000_000  # more than any quorum gives between a copy and its restoration
MAX_TTL_MS, MIN_TTL_MS = 600_000, 100
MAX_DELAY_MS = 600_000


class Open(msgspec.Struct, frozen=True, tag="open"):
    """Begin a session; ``owner`` names it for people. The answer's ``session`` counts from then on."""

    owner: str


class Close(msgspec.Struct, frozen=True, tag="close"):
    """End a session; its leases are released."""

    session: int
    seq: int


class Acquire(msgspec.Struct, frozen=True, tag="acquire"):
    """Take a lease that nobody holds."""

    session: int
    seq: int
    lease: str
    ttl_ms: int
    delay_ms: int = 0  # after an unclean end nobody gets it for so long


class Renew(msgspec.Struct, frozen=True, tag="renew"):
    """Hold a lease on; refused unless the token is still the one in force."""

    session: int
    seq: int
    lease: str
    token: int


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Give a lease back in order: the next one may have it at once."""

    session: int
    seq: int
    lease: str
    token: int


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Write a record if its version is the expected one (0: it is not there); an empty value takes it away.

    With a ``lease`` only if that lease is in force under ``token``.
    """

    session: int
    seq: int
    key: str
    version: int
    value: bytes
    lease: str = ""
    token: int = 0


class Expire(msgspec.Struct, frozen=True, tag="expire"):
    """The leader's: a lease has had its time since its ``beat``-th renewal."""

    lease: str
    token: int
    beat: int


class Free(msgspec.Struct, frozen=True, tag="free"):
    """The leader's: a lease's delay is over."""

    lease: str
    token: int


class Shun(msgspec.Struct, frozen=True, tag="shun"):
    """The leader's: a member's folder has forgotten a promise, and is not to be heard."""

    folder: str


ClientCommand = Open | Close | Acquire | Renew | Release | Put
Command = ClientCommand | Expire | Free | Shun


class Done(msgspec.Struct, frozen=True, tag="done"):
    """It is so; what counts of the rest depends on what was asked."""

    session: int = 0
    token: int = 0
    version: int = 0


class Held(msgspec.Struct, frozen=True, tag="held"):
    """Another holds the lease, or its delay runs (``owner`` is empty)."""

    owner: str
    token: int


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """It cannot be: ``why`` in one line; nothing has changed."""

    why: str


Answer = Done | Held | Refused


class Lease(msgspec.Struct):
    """A lease that is held, or that waits out its delay (``session`` 0)."""

    session: int
    owner: str
    token: int
    ttl_ms: int
    delay_ms: int
    beat: int = 0  # renewals under this token


class Item(msgspec.Struct):
    """A record."""

    version: int
    value: bytes


class Session(msgspec.Struct):
    """Who asks, and the answer to the last that was asked, so that a repeat counts once (thesis, 6.3)."""

    owner: str
    used: int  # the index of its last entry
    seq: int = 0
    answer: Answer = Done()


class State(msgspec.Struct):
    """All of it."""

    token: int = 0  # the last that was given
    sessions: dict[int, Session] = {}
    leases: dict[str, Lease] = {}
    records: dict[str, Item] = {}
    bytes: int = 0  # of all records' values
    shunned: list[str] = []  # folders, the latest last


_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
_STATE_DECODER = msgspec.msgpack.Decoder(State)


def decode_command(data: bytes) -> Command:
    """A command as it stands in the log; ``msgspec.DecodeError`` where it is none."""
    return _COMMAND_DECODER.decode(data)


def validation_error(command: Command) -> str:
    """What makes a command impossible whatever the state; empty where nothing does."""
    names = [getattr(command, name) for name in ("owner", "lease", "key") if hasattr(command, name)]
    if any(len(name.encode()) > MAX_NAME_BYTES for name in names):
        return f"a name is over {MAX_NAME_BYTES} bytes"
    if isinstance(command, Acquire):
        if not command.lease:
            return "a lease has a name"
        if not MIN_TTL_MS <= command.ttl_ms <= MAX_TTL_MS:
            return f"ttl_ms is from {MIN_TTL_MS} to {MAX_TTL_MS}"
        if not 0 <= command.delay_ms <= MAX_DELAY_MS:
            return f"delay_ms is from 0 to {MAX_DELAY_MS}"
    if isinstance(command, Put):
        if not command.key:
            return "a record has a name"
        if len(command.value) > MAX_VALUE_BYTES:
            return f"a record is over {MAX_VALUE_BYTES} bytes"
    return ""


def may_grow_state(command: Command) -> bool:
    """Whether a command may make the state larger."""
    return isinstance(command, Open | Acquire) or (isinstance(command, Put) and bool(command.value))


def prepare_restored_state(data: bytes) -> bytes:
    """The state of a copy that a new quorum begins from.

    What was given since the copy is not known: tokens go on far above it, sessions are over, and what was
    held is held by nobody for its full time and delay.
    """
    state = _STATE_DECODER.decode(data)
    state.token += RESTORED_TOKEN_GAP
    state.sessions.clear()
    for lease in state.leases.values():
        lease.session, lease.owner, lease.delay_ms = 0, "", lease.delay_ms + lease.ttl_ms
    return msgspec.msgpack.encode(state)


class StateMachine:
    """The state, and how a command changes it."""

    def __init__(self, data: bytes = b"") -> None:
        self.state = State()
        self.restore(data)

    def snapshot(self) -> bytes:
        """All of the state."""
        return msgspec.msgpack.encode(self.state)

    def restore(self, data: bytes) -> None:
        """Start anew from a snapshot; empty: from nothing."""
        self.state = _STATE_DECODER.decode(data) if data else State()

    def apply(self, index: int, command: Command) -> Answer:
        """The command at that index; the same state and command give the same answer everywhere."""
        if fault := validation_error(command):
            return Refused(fault)
        match command:
            case Open():
                return self._open(index, command)
            case Expire():
                return self._expire(command)
            case Free():
                return self._free(command)
            case Shun():
                others = [folder for folder in self.state.shunned if folder != command.folder]
                self.state.shunned = [*others, command.folder][-MAX_SHUNNED_FOLDERS:]
                return Done()
            case _:
                return self._apply_once(index, command)

    def _open(self, index: int, command: Open) -> Answer:
        sessions = self.state.sessions
        if len(sessions) >= MAX_SESSIONS and not self._evict_idle_session():
            return Refused(f"there are {MAX_SESSIONS} sessions that hold leases")
        sessions[index] = Session(command.owner, index)
        return Done(session=index)

    def _evict_idle_session(self) -> bool:
        """Drop the session that was used longest ago among those without a lease; False where none is."""
        holders = {lease.session for lease in self.state.leases.values()}
        idle = [(item.used, number) for number, item in self.state.sessions.items() if number not in holders]
        if not idle:
            return False
        del self.state.sessions[min(idle)[1]]
        return True

    def _apply_once(self, index: int, command: Close | Acquire | Renew | Release | Put) -> Answer:
        """A session's command: a repeat of the last gets its answer again, an older one none."""
        session = self.state.sessions.get(command.session)
        if session is None:
            return Refused(NO_SESSION)
        if command.seq == session.seq:
            return session.answer
        if command.seq < session.seq:
            return Refused("older than the session's last")
        session.used = index
        answer = self._apply_session_command(session, command)
        session.seq, session.answer = command.seq, answer
        return answer

    def _apply_session_command(
        self, session: Session, command: Close | Acquire | Renew | Release | Put
    ) -> Answer:
        match command:
            case Acquire():
                return self._acquire(session, command)
            case Renew():
                lease = self._lease_in_force(command.lease, command.token, command.session)
                if lease is None:
                    return Refused("the lease has passed on")
                lease.beat += 1
                return Done(token=lease.token)
            case Release():
                if self._lease_in_force(command.lease, command.token, command.session) is None:
                    return Refused("the lease has passed on")
                del self.state.leases[command.lease]
                return Done(token=command.token)
            case Put():
                return self._put(command)
            case Close():
                held = [name for name, item in self.state.leases.items() if item.session == command.session]
                for name in held:
                    del self.state.leases[name]
                del self.state.sessions[command.session]
                return Done()

    def _lease_in_force(self, name: str, token: int, session: int | None = None) -> Lease | None:
        lease = self.state.leases.get(name)
        if lease is None or not lease.session or lease.token != token:
            return None
        return lease if session in (None, lease.session) else None

    def _acquire(self, session: Session, command: Acquire) -> Answer:
        lease = self.state.leases.get(command.lease)
        if lease is not None:
            return Held(lease.owner if lease.session else "", lease.token)
        if len(self.state.leases) >= MAX_LEASES:
            return Refused(f"there are {MAX_LEASES} leases")
        token = self._next_token()
        self.state.leases[command.lease] = Lease(
            command.session, session.owner, token, command.ttl_ms, command.delay_ms
        )
        return Done(token=token)

    def _next_token(self) -> int:
        """Tokens only grow, over every restart: they are part of the state."""
        self.state.token += 1
        return self.state.token

    def _put(self, command: Put) -> Answer:
        if command.lease and self._lease_in_force(command.lease, command.token) is None:
            return Refused("the lease has passed on")
        records = self.state.records
        item = records.get(command.key)
        version = item.version if item is not None else 0
        if version != command.version:
            return Refused(f"its version is {version}")
        more = len(command.value) - (len(item.value) if item is not None else 0)
        if not command.value:
            records.pop(command.key, None)
            self.state.bytes += more
            return Done(version=0)
        if item is None and len(records) >= MAX_RECORDS:
            return Refused(f"there are {MAX_RECORDS} records")
        if self.state.bytes + more > MAX_RECORDS_BYTES:
            return Refused(f"all records together would be over {MAX_RECORDS_BYTES} bytes")
        self.state.bytes += more
        # A record that comes again under its name goes on counting: tokens are never given twice either.
        self.state.token += item is None
        records[command.key] = Item(version + 1 if item is not None else self.state.token, command.value)
        return Done(version=records[command.key].version)

    def _expire(self, command: Expire) -> Answer:
        lease = self._lease_in_force(command.lease, command.token)
        if lease is None or lease.beat != command.beat:
            return Refused("renewed or passed on")
        if lease.delay_ms:
            lease.session, lease.owner = 0, ""
        else:
            del self.state.leases[command.lease]
        return Done()

    def _free(self, command: Free) -> Answer:
        lease = self.state.leases.get(command.lease)
        if lease is None or lease.session or lease.token != command.token:
            return Refused("not in its delay")
        del self.state.leases[command.lease]
        return Done()
