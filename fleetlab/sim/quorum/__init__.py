"""Simulated schedules of a quorum: members and holders with drifting clocks, faults, and checked rules.

Members, state machine and holders are the service's own classes. Most rules are checked after each step. They
are, by name:

- ``election``: at most one leader in a term; ``completeness``: a new leader has every committed entry;
- ``matching``: logs that agree on an entry agree on all entries before it; ``machine``: all members apply the
  same entry at an index and have the same state after it; ``term``: after a restart, a member's term is not
  older than one that it has sent to others;
- ``token``: no token is issued twice, and later tokens are larger; ``overlap``: no two holders may act on
  a lease at once; ``late``: a holder that had to stop does not continue under the same token;
- ``fence``: the resource admits no older token after a newer one (checked by the proving ground's checker, on
  a history in its format and with its names of faults); ``once``: a repeated request takes effect once;
- ``room``: with all disks full, no request is accepted that makes the state larger;
- ``linear``: reads and writes of a record are linearizable; ``stuck``: requests are served again soon after
  all faults have ended.
"""

from fleetlab.sim.quorum.campaigns import CampaignResult, record_schedule, run_campaign, run_schedules
from fleetlab.sim.quorum.judge import BrokenError, step_record
from fleetlab.sim.quorum.plan import Parts, Plan, draw_plan
from fleetlab.sim.quorum.simulation import QuorumSim

__all__ = [
    "BrokenError",
    "CampaignResult",
    "Parts",
    "Plan",
    "QuorumSim",
    "draw_plan",
    "record_schedule",
    "run_campaign",
    "run_schedules",
    "step_record",
]
