"""The replicated state machine: sessions, leases with their fencing tokens, and small records.

It is deterministic and uses no clock. A lease ends by an ``Expire`` command, which the leader proposes by its
own monotonic clock, so that the lease ends at the same place in the log on every member.

The texts of refusals are part of the replicated state (a session keeps its last answer), so all builds that
run in one quorum have to produce the same ones.
"""

from __future__ import annotations

import msgspec

from quorum.incarnations import MAX_SHUNNED_FOLDERS

MAX_SESSIONS = 8192
MAX_LEASES = 4096
MAX_RECORDS = 4096
MAX_NAME_BYTES = 128  # of an owner, a lease or a record
MAX_VALUE_BYTES = 64 * 1024  # of one record
MAX_RECORDS_BYTES = 8 * 1024 * 1024  # of all records' values, since the whole state is sent in one frame
NO_SESSION = "no such session"  # clients recognise the end of their session by this text
RESTORED_TOKEN_GAP = 1_000_000_000  # more tokens than a quorum issues between a backup and its restoration
MAX_TTL_MS = 600_000
MIN_TTL_MS = 100
MAX_DELAY_MS = 600_000


class Open(msgspec.Struct, frozen=True, tag="open"):
    """Begin a session, whose id is the answer's ``session``; ``owner`` is a name for operators to read."""

    owner: str


class Close(msgspec.Struct, frozen=True, tag="close"):
    """End a session and release its leases."""

    session: int
    seq: int


class Acquire(msgspec.Struct, frozen=True, tag="acquire"):
    """Take a lease that nobody holds."""

    session: int
    seq: int
    lease: str
    ttl_ms: int
    delay_ms: int = 0  # how long nobody can acquire the lease after it expired instead of being released


class Renew(msgspec.Struct, frozen=True, tag="renew"):
    """Renew a lease; refused unless ``token`` is still in force."""

    session: int
    seq: int
    lease: str
    token: int


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Release a lease; another session can acquire it at once, without the delay."""

    session: int
    seq: int
    lease: str
    token: int


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Write a record if it has the given version (0: it does not exist); an empty value deletes it.

    If ``lease`` is given, that lease also has to be in force under ``token``.
    """

    session: int
    seq: int
    key: str
    version: int
    value: bytes
    lease: str = ""
    token: int = 0


class Expire(msgspec.Struct, frozen=True, tag="expire"):
    """Proposed by the leader: a lease's time has passed since its ``beat``-th renewal."""

    lease: str
    token: int
    beat: int


class Free(msgspec.Struct, frozen=True, tag="free"):
    """Proposed by the leader: a lease's delay after its expiry is over."""

    lease: str
    token: int


class Shun(msgspec.Struct, frozen=True, tag="shun"):
    """Proposed by the leader: a member's folder has lost durable state and is to be rejected."""

    folder: str


ClientCommand = Open | Close | Acquire | Renew | Release | Put
Command = ClientCommand | Expire | Free | Shun


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The command took effect; which of the fields are set depends on the command."""

    session: int = 0
    token: int = 0
    version: int = 0


class Held(msgspec.Struct, frozen=True, tag="held"):
    """Another session holds the lease, or its delay has not passed (then ``owner`` is empty)."""

    owner: str
    token: int


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The command was refused for the reason in ``why`` and changed nothing."""

    why: str


Answer = Done | Held | Refused


class Lease(msgspec.Struct):
    """A lease that is held, or that is in its delay after expiry (``session`` is 0)."""

    session: int
    owner: str
    token: int
    ttl_ms: int
    delay_ms: int
    beat: int = 0  # renewals under this token


class Item(msgspec.Struct):
    """A small record."""

    version: int
    value: bytes


class Session(msgspec.Struct):
    """A client's session, with its last command's answer so that a repeat takes effect once (thesis, 6.3)."""

    owner: str
    used: int  # the log index of its last command
    seq: int = 0
    answer: Answer = Done()


class State(msgspec.Struct):
    """The complete replicated state."""

    token: int = 0  # the last one issued
    sessions: dict[int, Session] = {}  # by the log index of their ``Open``
    leases: dict[str, Lease] = {}
    records: dict[str, Item] = {}
    bytes: int = 0  # of all records' values
    shunned: list[str] = []  # folders whose messages are rejected, oldest first


_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
_STATE_DECODER = msgspec.msgpack.Decoder(State)


def decode_command(data: bytes) -> Command:
    """Decode a command from a log entry; raises ``msgspec.DecodeError`` if the data is not a command."""
    return _COMMAND_DECODER.decode(data)


def validation_error(command: Command) -> str:
    """Describe what makes a command invalid in any state; empty if it is valid."""
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
    """Whether a command may enlarge the state."""
    return isinstance(command, Open | Acquire) or (isinstance(command, Put) and bool(command.value))


def prepare_restored_state(data: bytes) -> bytes:
    """Convert the state in a backup into the initial state of a new quorum.

    What the old quorum granted after the backup is not known. Therefore tokens continue far above the
    backup's, all sessions end, and each lease stays unavailable for its full time plus its delay.
    """
    state = _STATE_DECODER.decode(data)
    state.token += RESTORED_TOKEN_GAP
    state.sessions.clear()
    for lease in state.leases.values():
        lease.session, lease.owner, lease.delay_ms = 0, "", lease.delay_ms + lease.ttl_ms
    return msgspec.msgpack.encode(state)


class StateMachine:
    """The replicated state and the effects of commands on it."""

    def __init__(self, data: bytes = b"") -> None:
        self.state = State()
        self.restore(data)

    def snapshot(self) -> bytes:
        """Encode the complete state."""
        return msgspec.msgpack.encode(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot, or by the initial state if ``data`` is empty."""
        self.state = _STATE_DECODER.decode(data) if data else State()

    def apply(self, index: int, command: Command) -> Answer:
        """Apply the command at ``index``; the same state and command give the same answer on all members."""
        if error := validation_error(command):
            return Refused(error)
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
        """Drop the least recently used session that holds no lease; returns False if there is none."""
        holders = {lease.session for lease in self.state.leases.values()}
        idle = [
            (session.used, number) for number, session in self.state.sessions.items() if number not in holders
        ]
        if not idle:
            return False
        del self.state.sessions[min(idle)[1]]
        return True

    def _apply_once(self, index: int, command: Close | Acquire | Renew | Release | Put) -> Answer:
        """Apply a command once: a repeat of the session's last gets the same answer, older ones a refusal."""
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
                held = [name for name, lease in self.state.leases.items() if lease.session == command.session]
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
        """Issue a token. Tokens are part of the state, so they only grow, across restarts too."""
        self.state.token += 1
        return self.state.token

    def _put(self, command: Put) -> Answer:
        if command.lease and self._lease_in_force(command.lease, command.token) is None:
            return Refused("the lease has passed on")
        records = self.state.records
        record = records.get(command.key)
        version = record.version if record is not None else 0
        if version != command.version:
            return Refused(f"its version is {version}")
        growth = len(command.value) - (len(record.value) if record is not None else 0)
        if not command.value:
            records.pop(command.key, None)
            self.state.bytes += growth
            return Done(version=0)
        if record is None and len(records) >= MAX_RECORDS:
            return Refused(f"there are {MAX_RECORDS} records")
        if self.state.bytes + growth > MAX_RECORDS_BYTES:
            return Refused(f"all records together would be over {MAX_RECORDS_BYTES} bytes")
        self.state.bytes += growth
        # A new record starts at a fresh token as its version, so that a record which is deleted and created
        # again never repeats a version.
        self.state.token += record is None
        records[command.key] = Item(version + 1 if record is not None else self.state.token, command.value)
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
